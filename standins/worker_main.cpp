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

constexpr kernel::milliseconds tickInterval{10};
constexpr kernel::milliseconds drainLimit{500};

//! The parts of a stand-in worker that live as long as its process.
struct worker_process
{
    standins::worker_state state;
    nlohmann::json host;
    std::string platform;
    std::unique_ptr<http::connection_pool> pool;
    std::unique_ptr<http::server> server;
};

kernel::task<http::reply> handle(worker_process &worker, http::request asked)
{
    const std::string_view target(asked.target().data(), asked.target().size());
    const nlohmann::json body = nlohmann::json::parse(asked.body(), nullptr, false);
    if (target == "/admin/faults" && body.is_object()) {
        worker.state.failsEverything = body.value("failsEverything", worker.state.failsEverything);
        co_return http::makeReply(http::status::ok, "");
    }
    if (target != "/v1/sync" || !body.is_object())
        co_return http::makeErrorReply(http::status::bad_request, "POST an object to /v1/sync");
    const auto request = body.get<placement::sync_request>();
    co_return http::makeJsonReply(http::status::ok,
                                  standins::handleSync(worker.state, request, kernel::systemNow()));
}

kernel::task<void> tick(worker_process &worker)
{
    while (true) {
        standins::advance(worker.state, kernel::systemNow());
        co_await kernel::sleepFor(tickInterval);
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

//! The stand-in of a worker: runs task attempts under leases.
int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Stand-in of a worker", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("l", "listen", "address", true, "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> platform("p", "platform", "the platform", true, "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> id("i", "id", "name of the worker", true, "", "ID", command);
    TCLAP::ValueArg<std::string> domain("d", "failure-domain", "its failure domain", true, "", "NAME",
                                        command);
    TCLAP::ValueArg<std::string> rack("", "rack", "its rack", false, "rack-0", "NAME", command);
    TCLAP::ValueArg<std::int64_t> cores("", "millicores", "processors", false, 32'000, "N", command);
    TCLAP::ValueArg<std::int64_t> memory("", "memory-mb", "memory", false, 128'000, "MB", command);
    TCLAP::ValueArg<std::int64_t> accelerators("", "accelerators", "accelerators", false, 0, "N", command);
    TCLAP::ValueArg<std::string> listed("", "listed-address", "address in the host list", false, "",
                                        "IP:PORT", command);
    TCLAP::ValueArg<std::string> record("", "record", "file for the record", false, "", "FILE", command);
    if (!standins::parseCommandLine(command, argc, argv))
        return 2;
    standins::record_log log(record.getValue());
    worker_process worker;
    worker.platform = platform.getValue();
    worker.state.id = id.getValue();
    worker.state.incarnation = to_string(boost::uuids::random_generator()());
    worker.state.capacity = {cores.getValue(), memory.getValue(), accelerators.getValue()};
    worker.state.advancedAt = kernel::systemNow();
    worker.state.sink
        = [&log](std::string_view event, nlohmann::json fields) { log.write(event, std::move(fields)); };
    worker.host = {{"id", id.getValue()},
                   {"role", "worker"},
                   {"address", listed.isSet() ? listed.getValue() : listen.getValue()},
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
        auto answer = [&worker](http::request asked) { return handle(worker, std::move(asked)); };
        worker.server = std::make_unique<http::server>(context, http::server_limits{}, answer);
        worker.server->listen(listen.getValue());
        kernel::spawn(context.get_executor(), tick(worker));
        kernel::spawn(context.get_executor(),
                      standins::registerHost(*worker.pool, worker.platform, worker.host));
    };
    return kernel::runProcess(argc, argv, start, [&] { return stop(worker); });
}
