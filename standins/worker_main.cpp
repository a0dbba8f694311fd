#include "http/server.h"
#include "standins/host_registration.h"
#include "standins/record_log.h"
#include "standins/standin_process.h"
#include "standins/worker_state.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <memory>

namespace {

using namespace almond;

constexpr kernel::milliseconds advanceInterval{10};
constexpr kernel::milliseconds drainLimit{500};

//! State and services of the worker process.
struct worker_process
{
    standins::worker_state state;
    nlohmann::json host;
    std::string platform;
    std::unique_ptr<http::connection_pool> pool;
    std::unique_ptr<http::server> server;
};

kernel::task<http::reply> handle(worker_process &worker, http::request request)
{
    const std::string_view target(request.target().data(), request.target().size());
    const nlohmann::json body = nlohmann::json::parse(request.body(), nullptr, false);
    if (target == "/admin/faults" && body.is_object()) {
        worker.state.failsEverything = body.value("failsEverything", worker.state.failsEverything);
        co_return http::makeReply(http::status::ok, "");
    }
    if (target != "/v1/sync" || !body.is_object())
        co_return http::makeErrorReply(http::status::bad_request, "POST an object to /v1/sync");
    const auto syncRequest = body.get<placement::sync_request>();
    co_return http::makeJsonReply(http::status::ok,
                                  standins::handleSync(worker.state, syncRequest, kernel::systemNow()));
}

kernel::task<void> advanceLoop(worker_process &worker)
{
    while (true) {
        standins::advance(worker.state, kernel::systemNow());
        co_await kernel::sleepFor(advanceInterval);
    }
}

kernel::task<void> stop(worker_process &worker)
{
    worker.host["leaving"] = true;
    co_await standins::registerHost(*worker.pool, worker.platform, worker.host);
    standins::stopAll(worker.state, kernel::systemNow());
    co_await worker.server->drain(drainLimit);
}

} // namespace

//! Stand-in for a worker: runs simulated task attempts under leases.
int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Stand-in for a worker", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("l", "listen", "address to listen on", true, "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> platform("p", "platform", "address of the platform", true, "", "IP:PORT",
                                          command);
    TCLAP::ValueArg<std::string> id("i", "id", "id of the worker", true, "", "ID", command);
    TCLAP::ValueArg<std::string> domain("d", "failure-domain", "failure domain of the worker", true, "",
                                        "NAME", command);
    TCLAP::ValueArg<std::string> rack("", "rack", "rack of the worker", false, "rack-0", "NAME", command);
    TCLAP::ValueArg<std::int64_t> millicores("", "millicores", "processor capacity in millicores", false,
                                             32'000, "N", command);
    TCLAP::ValueArg<std::int64_t> memory("", "memory-mb", "memory capacity in MB", false, 128'000, "MB",
                                         command);
    TCLAP::ValueArg<std::int64_t> accelerators("", "accelerators", "number of accelerators", false, 0, "N",
                                               command);
    TCLAP::ValueArg<std::string> listedAddress(
        "", "listed-address", "address in the host list (default: --listen)", false, "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> record("", "record", "file to which events are appended", false, "", "FILE",
                                        command);
    if (!standins::parseCommandLine(command, argc, argv))
        return 2;
    standins::record_log log(record.getValue());
    worker_process worker;
    worker.platform = platform.getValue();
    worker.state.id = id.getValue();
    worker.state.incarnation = to_string(boost::uuids::random_generator()());
    worker.state.capacity = {millicores.getValue(), memory.getValue(), accelerators.getValue()};
    worker.state.advancedAt = kernel::systemNow();
    worker.state.sink
        = [&log](std::string_view event, nlohmann::json fields) { log.write(event, std::move(fields)); };
    worker.host = {{"id", id.getValue()},
                   {"role", "worker"},
                   {"address", listedAddress.isSet() ? listedAddress.getValue() : listen.getValue()},
                   {"failureDomain", domain.getValue()},
                   {"rack", rack.getValue()},
                   {"leaving", false}};
    const nlohmann::json capacity = worker.state.capacity;
    worker.host["capacity"] = capacity;
    log.write("worker-started",
              {{"worker", worker.state.id},
               {"incarnation", worker.state.incarnation},
               {"failureDomain", domain.getValue()},
               {"capacity", capacity}});
    const auto start = [&](boost::asio::io_context &context) {
        worker.pool = std::make_unique<http::connection_pool>(context, http::pool_limits{});
        auto handler = [&worker](http::request request) { return handle(worker, std::move(request)); };
        worker.server = std::make_unique<http::server>(context, http::server_limits{}, handler);
        worker.server->listen(listen.getValue());
        kernel::spawn(context.get_executor(), advanceLoop(worker));
        kernel::spawn(context.get_executor(),
                      standins::registerHost(*worker.pool, worker.platform, worker.host));
    };
    return kernel::runProcess(argc, argv, start, [&] { return stop(worker); });
}
