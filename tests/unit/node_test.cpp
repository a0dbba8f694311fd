#include "daemon/node_daemon.h"
#include "http/client.h"
#include "tests/fakes/fake_fleet.h"
#include "tests/fakes/shared_store.h"
#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

//! Tests of a whole node, constructed as in the daemon, with an in-memory store and in-memory workers.
namespace {

using namespace almond;
using kernel::task;

constexpr const char *jobId = "00000000000000aa";
constexpr const char *operatorAddress = "127.0.0.1:23918";

daemon::node_settings nodeSettings()
{
    daemon::node_settings settings;
    settings.id = "node-1";
    settings.failureDomain = "west-a";
    settings.callersAddress = "127.0.0.1:0";
    settings.readinessAddress = "127.0.0.1:0";
    settings.operatorAddress = operatorAddress;
    settings.peerAddress = "127.0.0.1:23917";
    settings.storeAddress = "127.0.0.1:1";
    settings.workerLease = kernel::milliseconds(5400);
    settings.connections = 100;
    return settings;
}

//! A node with its store and workers; runs the event loop.
struct node_fixture
{
    boost::asio::io_context context;
    fakes::shared_store store;
    fakes::fake_fleet workers;
    fleet::caller_service *callers = nullptr;
    std::unique_ptr<daemon::node_daemon> node;

    daemon::platform_binding binding()
    {
        daemon::platform_binding binding;
        binding.store = store.api();
        binding.workers = workers.port();
        binding.operatorPrefix = "op/";
        binding.configKey = "op/config";
        binding.withdrawnPrefix = "op/withdrawn/";
        binding.workersPrefix = "workers/";
        binding.decodeConfig = [](std::string_view) { return std::optional(tests::fleetConfig()); };
        binding.decodeWorker = [](std::string_view id, std::string_view) {
            return std::optional(tests::worker(std::string(id)));
        };
        binding.makeCallersHandler = [this](fleet::caller_service &service,
                                            std::function<jobs::fleet_config_ptr()>) -> http::handler {
            callers = &service;
            return [](http::request) -> task<http::reply> { co_return http::reply(); };
        };
        return binding;
    }

    void start()
    {
        store.put("op/config", "{}");
        store.put("workers/v", "{}");
        node = std::make_unique<daemon::node_daemon>(nodeSettings(), binding());
        node->start(context);
    }

    //! Runs the event loop until \a reached returns true; returns false after 20 s.
    bool runUntil(const std::function<bool()> &reached)
    {
        constexpr std::chrono::seconds timeout{20};
        const auto end = std::chrono::steady_clock::now() + timeout;
        while (!reached() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(20));
        }
        return reached();
    }
};

TEST(Node, BecomesOwnerStartsAJobAndReleasesOwnershipOnStop)
{
    node_fixture fixture;
    fixture.start();
    ASSERT_TRUE(fixture.runUntil([&] { return fixture.store.revisionOf(fleet::election_key::owner) != 0; }));
    std::optional<fleet::call_outcome> accepted;
    boost::asio::co_spawn(
        fixture.context,
        fixture.callers->submit(tests::makeJob(jobId, {tests::step(2, 500)}), kernel::milliseconds(1000)),
        [&](const std::exception_ptr &, fleet::submit_result result) { accepted = result.outcome; });
    ASSERT_TRUE(fixture.runUntil([&] { return accepted.has_value(); }));
    EXPECT_EQ(*accepted, fleet::call_outcome::ok);
    ASSERT_TRUE(fixture.runUntil([&] { return fixture.workers.starts.size() == 2; }));
    bool stopped = false;
    boost::asio::co_spawn(fixture.context, fixture.node->stop(),
                          [&](const std::exception_ptr &) { stopped = true; });
    ASSERT_TRUE(fixture.runUntil([&] { return fixture.store.revisionOf(fleet::election_key::owner) == 0; }));
    EXPECT_TRUE(fixture.runUntil([&] { return stopped; }));
}

TEST(Node, ExportsTheMetricsOfTheOwnerAndOfCallers)
{
    node_fixture fixture;
    fixture.start();
    http::connection_pool pool(fixture.context, {});
    std::string page;
    bool pending = false;
    const auto requestMetrics = [&] {
        http::request request(boost::beast::http::verb::get, "/metrics", 11);
        request.set(boost::beast::http::field::host, operatorAddress);
        pending = true;
        boost::asio::co_spawn(fixture.context,
                              pool.exchange(operatorAddress, std::move(request), kernel::milliseconds(1000)),
                              [&](const std::exception_ptr &, const http::exchange_result &result) {
                                  page = result.answer.body();
                                  pending = false;
                              });
    };
    EXPECT_TRUE(fixture.runUntil([&] {
        if (!pending)
            requestMetrics();
        return page.find("almond_jobs_load_seconds_count 1\n") != std::string::npos;
    })) << page;
    for (const char *line : {"almond_lasting_task_gap_seconds_count 0\n", "almond_lasting_tasks_waiting 0\n",
                             "almond_lasting_task_longest_wait_seconds 0\n",
                             "almond_jobs_idle_with_room_total 0\n", "almond_status_unanswered_total 0\n",
                             "almond_orders_direct_total ", "almond_orders_relayed_total 0\n",
                             "almond_orders_abandoned_total 0\n", "almond_starts_expired_total 0\n"})
        EXPECT_NE(page.find(line), std::string::npos) << line;
    bool stopped = false;
    boost::asio::co_spawn(fixture.context, fixture.node->stop(),
                          [&](const std::exception_ptr &) { stopped = true; });
    EXPECT_TRUE(fixture.runUntil([&] { return stopped; }));
}

} // namespace
