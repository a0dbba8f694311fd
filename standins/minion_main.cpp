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
constexpr double serviceSigma = 0.5; // of the log-normal service time

//! How the minion fails, switched at PUT /admin/faults.
struct minion_faults
{
    //! "none", "close" (reads, records, closes), "truncate", "wrong-id", "fail" (500) or "hang".
    std::string mode = "none";
    double slowFactor = 1;
};

//! The parts of a stand-in minion that live as long as its process.
struct minion_process
{
    std::string id;
    std::size_t slots = 8;
    double meanServiceMs = 5;
    bool leaving = false;
    kernel::milliseconds leaveTime{0};
    std::size_t busy = 0;
    minion_faults faults;
    nlohmann::json host;
    std::string platform;
    std::mt19937_64 random{1};
    std::unique_ptr<standins::record_log> log;
    std::unique_ptr<http::connection_pool> pool;
    std::unique_ptr<http::server> server;
};

reply refuse(std::string_view reason)
{
    reply answer = http::makeErrorReply(status::service_unavailable, reason);
    answer.message.set("Almond-Refused", boost::beast::string_view(reason.data(), reason.size()));
    return answer;
}

reply takeFaults(minion_process &minion, const http::request &asked)
{
    const auto body = nlohmann::json::parse(asked.body(), nullptr, false);
    if (!body.is_object())
        return http::makeErrorReply(status::bad_request, "PUT an object");
    minion.faults.mode = body.value("mode", minion.faults.mode);
    minion.faults.slowFactor = body.value("slowFactor", minion.faults.slowFactor);
    return http::makeReply(status::ok, "");
}

std::size_t requestedBytes(const http::request &asked)
{
    const std::string text(http::header(asked, "Almond-Test-Bytes"));
    return text.empty() ? 0 : std::stoul(text);
}

reply answerOf(const minion_process &minion, const http::request &asked)
{
    std::string body(requestedBytes(asked), 'x');
    const std::string id(http::header(asked, "Almond-Request-Id"));
    body += id + " " + minion.id + "\n";
    const bool failed = minion.faults.mode == "fail";
    reply answer = http::makeReply(failed ? status::internal_server_error : status::ok, std::move(body));
    answer.message.set("Almond-Request-Id", minion.faults.mode == "wrong-id" ? "other" : id);
    if (minion.faults.mode == "truncate")
        answer.action = http::reply_action::truncate;
    if (minion.faults.mode == "close")
        answer.action = http::reply_action::dropConnection;
    return answer;
}

kernel::task<void> serve(minion_process &minion)
{
    std::lognormal_distribution<double> service(
        std::log(minion.meanServiceMs) - serviceSigma * serviceSigma / 2, serviceSigma);
    const double timeMs = service(minion.random) * minion.faults.slowFactor;
    const auto micros = std::chrono::microseconds(static_cast<std::int64_t>(timeMs * 1000));
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, micros);
    co_await timer.async_wait(boost::asio::use_awaitable);
    while (minion.faults.mode == "hang")
        co_await kernel::sleepFor(kernel::milliseconds(10));
}

kernel::task<reply> execute(minion_process &minion, http::request asked)
{
    ++minion.busy;
    minion.log->write("execute",
                      {{"minion", minion.id},
                       {"request", std::string(http::header(asked, "Almond-Request-Id"))},
                       {"method", std::string(asked.method_string())},
                       {"busy", minion.busy},
                       {"connections", minion.server->connectionCount()}});
    co_await serve(minion);
    --minion.busy;
    co_return answerOf(minion, asked);
}

kernel::task<reply> handle(minion_process &minion, http::request asked)
{
    if (asked.target() == "/admin/faults")
        co_return takeFaults(minion, asked);
    reply answer;
    if (minion.leaving)
        answer = refuse("leaving");
    else if (minion.busy >= minion.slots)
        answer = refuse("slots");
    else
        answer = co_await execute(minion, std::move(asked));
    answer.message.set("Almond-Busy", std::to_string(minion.busy));
    co_return answer;
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

//! The stand-in of a minion: answers requests in a bounded number of slots and records each execution.
int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Stand-in of a minion", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("l", "listen", "address", true, "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> platform("p", "platform", "the platform", true, "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> id("i", "id", "name of the minion", true, "", "ID", command);
    TCLAP::ValueArg<std::string> service("", "service", "what it serves", true, "", "NAME", command);
    TCLAP::ValueArg<std::string> domain("d", "failure-domain", "its failure domain", true, "", "NAME",
                                        command);
    TCLAP::ValueArg<std::size_t> slots("", "slots", "requests at once", false, 8, "N", command);
    TCLAP::ValueArg<std::size_t> connections("", "connections", "open at once", false, 64, "N", command);
    TCLAP::ValueArg<double> mean("", "service-ms", "mean service time", false, 5, "MS", command);
    TCLAP::ValueArg<std::int64_t> leave("", "leave-ms", "time between leaving and the end", false, 3000, "MS",
                                        command);
    TCLAP::ValueArg<std::string> listed("", "listed-address", "address in the host list", false, "",
                                        "IP:PORT", command);
    TCLAP::ValueArg<std::string> record("", "record", "file for the record", false, "", "FILE", command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "of the service times", false, 1, "N", command);
    if (!standins::parseCommandLine(command, argc, argv))
        return 2;
    minion_process minion;
    minion.id = id.getValue();
    minion.slots = slots.getValue();
    minion.meanServiceMs = mean.getValue();
    minion.leaveTime = kernel::milliseconds(leave.getValue());
    minion.platform = platform.getValue();
    minion.random.seed(seed.getValue());
    minion.log = std::make_unique<standins::record_log>(record.getValue());
    minion.host = {{"id", id.getValue()},
                   {"role", "minion"},
                   {"service", service.getValue()},
                   {"address", listed.isSet() ? listed.getValue() : listen.getValue()},
                   {"failureDomain", domain.getValue()},
                   {"leaving", false}};
    const auto start = [&](boost::asio::io_context &context) {
        minion.pool = std::make_unique<http::connection_pool>(context, http::pool_limits{});
        http::server_limits limits;
        limits.connections = connections.getValue();
        auto answer = [&minion](http::request asked) { return handle(minion, std::move(asked)); };
        minion.server = std::make_unique<http::server>(context, limits, answer);
        minion.server->listen(listen.getValue());
        kernel::spawn(context.get_executor(),
                      standins::registerHost(*minion.pool, minion.platform, minion.host));
    };
    return kernel::runProcess(argc, argv, start, [&] { return stop(minion); });
}
