#include "http/server.h"
#include "standins/host_registration.h"
#include "standins/record_log.h"
#include "standins/standin_process.h"

#include <memory>
#include <random>

namespace {

using namespace almond;
using http::reply;
using http::status;

constexpr kernel::milliseconds drainLimit{10'000};
constexpr double serviceTimeSigma = 0.5; // shape parameter of the log-normal service time

//! Faults that a test injects with PUT /admin/faults.
struct minion_faults
{
    //! "none", "close" (executes the request, then closes the connection without a reply), "truncate"
    //! (sends a truncated reply), "wrong-id" (sends the id of another request), "fail" (status 500) or
    //! "hang" (does not respond while the mode is set).
    std::string mode = "none";
    //! Factor by which service times are multiplied.
    double slowFactor = 1;
};

//! State and services of the minion process.
struct minion_process
{
    std::string id;
    std::size_t slots = 8;
    double meanServiceMs = 5;
    bool leaving = false;
    //! Time from the announcement that the minion leaves until its server stops. Requests are refused
    //! meanwhile.
    kernel::milliseconds leaveTime{0};
    //! Number of slots in use.
    std::size_t busy = 0;
    minion_faults faults;
    nlohmann::json host;
    std::string platform;
    std::mt19937_64 random{1};
    std::unique_ptr<standins::record_log> log;
    std::unique_ptr<http::connection_pool> pool;
    std::unique_ptr<http::server> server;
};

reply makeRefusal(std::string_view reason)
{
    http::reply reply = http::makeErrorReply(status::service_unavailable, reason);
    reply.message.set("Almond-Refused", boost::beast::string_view(reason.data(), reason.size()));
    return reply;
}

reply setFaults(minion_process &minion, const http::request &request)
{
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    if (!body.is_object())
        return http::makeErrorReply(status::bad_request, "PUT an object");
    minion.faults.mode = body.value("mode", minion.faults.mode);
    minion.faults.slowFactor = body.value("slowFactor", minion.faults.slowFactor);
    return http::makeReply(status::ok, "");
}

std::size_t requestedBodyBytes(const http::request &request)
{
    const std::string text(http::header(request, "Almond-Test-Bytes"));
    return text.empty() ? 0 : std::stoul(text);
}

reply makeExecutionReply(const minion_process &minion, const http::request &request)
{
    std::string body(requestedBodyBytes(request), 'x');
    const std::string id(http::header(request, "Almond-Request-Id"));
    body += id + " " + minion.id + "\n";
    const bool failed = minion.faults.mode == "fail";
    http::reply reply = http::makeReply(failed ? status::internal_server_error : status::ok, std::move(body));
    reply.message.set("Almond-Request-Id", minion.faults.mode == "wrong-id" ? "other" : id);
    if (minion.faults.mode == "truncate")
        reply.action = http::reply_action::truncate;
    if (minion.faults.mode == "close")
        reply.action = http::reply_action::dropConnection;
    return reply;
}

kernel::task<void> simulateService(minion_process &minion)
{
    std::lognormal_distribution<double> service(
        std::log(minion.meanServiceMs) - serviceTimeSigma * serviceTimeSigma / 2, serviceTimeSigma);
    const double timeMs = service(minion.random) * minion.faults.slowFactor;
    const auto micros = std::chrono::microseconds(static_cast<std::int64_t>(timeMs * 1000));
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, micros);
    co_await timer.async_wait(boost::asio::use_awaitable);
    while (minion.faults.mode == "hang")
        co_await kernel::sleepFor(kernel::milliseconds(10));
}

kernel::task<reply> execute(minion_process &minion, http::request request)
{
    ++minion.busy;
    minion.log->write("execute",
                      {{"minion", minion.id},
                       {"request", std::string(http::header(request, "Almond-Request-Id"))},
                       {"method", std::string(request.method_string())},
                       {"busy", minion.busy},
                       {"connections", minion.server->connectionCount()}});
    co_await simulateService(minion);
    --minion.busy;
    co_return makeExecutionReply(minion, request);
}

kernel::task<reply> handle(minion_process &minion, http::request request)
{
    if (request.target() == "/admin/faults")
        co_return setFaults(minion, request);
    http::reply reply;
    if (minion.leaving)
        reply = makeRefusal("leaving");
    else if (minion.busy >= minion.slots)
        reply = makeRefusal("slots");
    else
        reply = co_await execute(minion, std::move(request));
    reply.message.set("Almond-Busy", std::to_string(minion.busy));
    co_return reply;
}

kernel::task<void> stop(minion_process &minion)
{
    minion.leaving = true;
    minion.host["leaving"] = true;
    minion.log->write("leaving", {{"minion", minion.id}});
    co_await standins::registerHost(*minion.pool, minion.platform, minion.host);
    co_await kernel::sleepFor(minion.leaveTime);
    co_await minion.server->drain(drainLimit);
}

} // namespace

//! Stand-in for a minion: executes requests in a limited number of slots and records each execution.
int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Stand-in for a minion", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("l", "listen", "address to listen on", true, "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> platform("p", "platform", "address of the platform", true, "", "IP:PORT",
                                          command);
    TCLAP::ValueArg<std::string> id("i", "id", "id of the minion", true, "", "ID", command);
    TCLAP::ValueArg<std::string> service("", "service", "service that the minion serves", true, "", "NAME",
                                         command);
    TCLAP::ValueArg<std::string> domain("d", "failure-domain", "failure domain of the minion", true, "",
                                        "NAME", command);
    TCLAP::ValueArg<std::size_t> slots("", "slots", "requests executed at the same time", false, 8, "N",
                                       command);
    TCLAP::ValueArg<std::size_t> connections("", "connections", "limit of open connections", false, 64, "N",
                                             command);
    TCLAP::ValueArg<double> meanServiceTime("", "service-ms", "mean service time", false, 5, "MS", command);
    TCLAP::ValueArg<std::int64_t> leaveTime("", "leave-ms", "time from leaving until the server stops", false,
                                            3000, "MS", command);
    TCLAP::ValueArg<std::string> listedAddress(
        "", "listed-address", "address in the host list (default: --listen)", false, "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> record("", "record", "file to which events are appended", false, "", "FILE",
                                        command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "random seed of the service times", false, 1, "N",
                                        command);
    if (!standins::parseCommandLine(command, argc, argv))
        return 2;
    minion_process minion;
    minion.id = id.getValue();
    minion.slots = slots.getValue();
    minion.meanServiceMs = meanServiceTime.getValue();
    minion.leaveTime = kernel::milliseconds(leaveTime.getValue());
    minion.platform = platform.getValue();
    minion.random.seed(seed.getValue());
    minion.log = std::make_unique<standins::record_log>(record.getValue());
    minion.host = {{"id", id.getValue()},
                   {"role", "minion"},
                   {"service", service.getValue()},
                   {"address", listedAddress.isSet() ? listedAddress.getValue() : listen.getValue()},
                   {"failureDomain", domain.getValue()},
                   {"leaving", false}};
    const auto start = [&](boost::asio::io_context &context) {
        minion.pool = std::make_unique<http::connection_pool>(context, http::pool_limits{});
        http::server_limits limits;
        limits.connections = connections.getValue();
        auto handler = [&minion](http::request request) { return handle(minion, std::move(request)); };
        minion.server = std::make_unique<http::server>(context, limits, handler);
        minion.server->listen(listen.getValue());
        kernel::spawn(context.get_executor(),
                      standins::registerHost(*minion.pool, minion.platform, minion.host));
    };
    return kernel::runProcess(argc, argv, start, [&] { return stop(minion); });
}
