#include "http/server.h"
#include "kernel/process.h"
#include "placement/cell_owner.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

//! The requests of a cell's owner to a worker whose responses can't be used.
namespace {

using namespace almond;
using kernel::milliseconds;
using kernel::task;

constexpr const char *cellName = "west.0";

config::config_view_ptr oneDomain()
{
    auto view = std::make_shared<config::config_view>();
    view->version = 1;
    view->parsed.failureDomains["west"] = {};
    return view;
}

//! Serves the host list, with one worker, and is that worker.
class unusable_worker
{
public:
    unusable_worker(boost::asio::io_context &context, std::string body)
        : m_body(std::move(body))
        , m_server(context, http::server_limits{},
                   [this](http::request request) { return handle(std::move(request)); })
    {
        m_server.listen("127.0.0.1:0");
    }

    //! Closes all connections.
    task<void> close() { return m_server.drain(milliseconds(1000)); }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }

private:
    task<http::reply> handle(http::request request)
    {
        const std::string target(request.target());
        if (!target.starts_with("/hosts"))
            co_return http::makeReply(http::status::ok, m_body);
        nlohmann::json host{{"id", "w"},
                            {"role", "worker"},
                            {"address", address()},
                            {"failureDomain", "west"},
                            {"rack", "r"}};
        nlohmann::json list{{"revision", 1}, {"removed", nlohmann::json::array()}};
        list["hosts"] = nlohmann::json::array({std::move(host)});
        co_return http::makeReply(http::status::ok, list.dump());
    }

    std::string m_body;
    http::server m_server;
};

struct request_counts
{
    std::uint64_t sent = 0;
    std::uint64_t failed = 0;
    //! Whether the owner could be stopped.
    bool stopped = false;
};

//! Lets an owner send requests for a while to a worker that responds with \a body.
task<request_counts> sendRequests(boost::asio::io_context &context, std::string body)
{
    unusable_worker worker(context, std::move(body));
    store::http_store platform(worker.address(), milliseconds(1000));
    store::host_list hosts(platform, milliseconds(1000));
    co_await hosts.poll();
    http::connection_pool connections(context, http::pool_limits{});
    placement::owner_dependencies dependencies;
    dependencies.clock = kernel::monotonicNow;
    dependencies.config = oneDomain;
    dependencies.hosts = &hosts;
    dependencies.workers = &connections;
    dependencies.ownershipConfirmedAt = kernel::monotonicNow;
    dependencies.settings.syncInterval = milliseconds(20);
    const auto owner = std::make_shared<placement::cell_owner>(context, std::move(dependencies), cellName);
    owner->start();
    co_await kernel::sleepFor(milliseconds(300));
    request_counts counts;
    counts.sent = owner->counters().syncs;
    counts.failed = owner->counters().syncFailures;
    const auto stopped = std::make_shared<bool>(false);
    kernel::spawn(
        context.get_executor(),
        [](std::shared_ptr<placement::cell_owner> target, std::shared_ptr<bool> done) -> task<void> {
            co_await target->stop();
            *done = true;
        }(owner, stopped));
    co_await kernel::sleepFor(milliseconds(700));
    counts.stopped = *stopped;
    co_await worker.close();
    co_return counts;
}

//! A worker got no more requests after one response with a member of another type, until the owner was
//! replaced; the owner then waited for ever for the end of the loop that had died.
TEST(CellOwner, RequestsGoOnAfterAResponseThatCanNotBeUsed)
{
    const std::vector<std::string> bodies{R"({"accepted":"yes"})", R"({"accepted":true})", "[]", "nonsense"};
    std::vector<request_counts> counts;
    std::string name = "cell_owner_test";
    std::array<char *, 2> arguments{name.data(), nullptr};
    int argc = 1;
    kernel::setTaskFailureHandler([](const std::string &) {});
    kernel::runOnce(argc, arguments.data(), [&](boost::asio::io_context &context) -> task<int> {
        for (const std::string &body : bodies) {
            const request_counts seen = co_await sendRequests(context, body);
            counts.push_back(seen);
        }
        co_return 0;
    });
    kernel::setTaskFailureHandler({});
    ASSERT_EQ(counts.size(), bodies.size());
    for (std::size_t index = 0; index < bodies.size(); ++index) {
        EXPECT_GT(counts[index].sent, 2U) << bodies[index];
        EXPECT_GE(counts[index].failed + 1, counts[index].sent) << bodies[index];
        EXPECT_TRUE(counts[index].stopped) << bodies[index];
    }
}

} // namespace
