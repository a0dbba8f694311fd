#include "daemon/node_daemon.h"
#include "http/client.h"
#include "tests/fakes/fake_fleet.h"
#include "tests/fakes/shared_store.h"
#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>

//! Requests of callers that a node is handling when planned work begins: each gets its whole answer.
namespace {

using namespace almond;
using kernel::milliseconds;
using kernel::task;

constexpr const char *callersAddress = "127.0.0.1:23941";
constexpr std::size_t answerSize = 1024UL * 1024;
constexpr std::uint64_t smallBodyLimitBytes = 3000;

daemon::node_settings nodeSettings()
{
    daemon::node_settings settings;
    settings.id = "node-1";
    settings.failureDomain = "west-a";
    settings.callersAddress = callersAddress;
    settings.readinessAddress = "127.0.0.1:0";
    settings.operatorAddress = "127.0.0.1:0";
    settings.peerAddress = "127.0.0.1:23942";
    settings.storeAddress = "127.0.0.1:1";
    settings.workerLease = milliseconds(5400);
    settings.connections = 100;
    return settings;
}

class node_requests_test : public testing::Test
{
protected:
    boost::asio::io_context context;
    fakes::shared_store store;
    fakes::fake_fleet workers;
    std::unique_ptr<daemon::node_daemon> node;
    bool started = false;
    bool stopped = false;
    //! Requests that the handler has finished, and how many of them before the node was stopped.
    int handled = 0;
    int handledBeforeStop = 0;

    void SetUp() override
    {
        store.put("op/config", "{}");
        store.put("workers/v", "{}");
        node = std::make_unique<daemon::node_daemon>(nodeSettings(), binding());
        ASSERT_NO_THROW(node->start(context));
        started = true;
        ASSERT_TRUE(runUntil([this] { return store.revisionOf(fleet::election_key::owner) != 0; }));
    }

    void TearDown() override
    {
        // A set-up that failed has reported why; its node was never started, so it can't be stopped.
        if (!started)
            return;
        if (!stopped)
            stop();
        EXPECT_TRUE(runUntil([this] { return stopped; }));
    }

    //! A platform whose handler takes longer than a change of the configuration, and than what a stop does
    //! before it closes the connections.
    daemon::platform_binding binding()
    {
        daemon::platform_binding binding;
        binding.store = store.api();
        binding.workers = workers.port();
        binding.operatorPrefix = "op/";
        binding.configKey = "op/config";
        binding.withdrawnPrefix = "op/withdrawn/";
        binding.workersPrefix = "workers/";
        binding.decodeConfig = [](std::string_view text) {
            jobs::fleet_config decoded = tests::fleetConfig();
            decoded.bodyBytes = text == "{}" ? decoded.bodyBytes : smallBodyLimitBytes;
            decoded.version = text == "{}" ? 1 : 2;
            return std::optional(decoded);
        };
        binding.decodeWorker = [](std::string_view id, std::string_view) {
            return std::optional(tests::worker(std::string(id)));
        };
        binding.makeCallersHandler
            = [this](fleet::caller_service &, std::function<jobs::fleet_config_ptr()>) -> http::handler {
            return [this](http::request) -> task<http::reply> {
                co_await kernel::sleepFor(milliseconds(2600));
                ++handled;
                co_return http::makeReply(http::status::ok, std::string(answerSize, '.'));
            };
        };
        return binding;
    }

    void stop()
    {
        boost::asio::co_spawn(context, node->stop(), [this](const std::exception_ptr &) {
            stopped = true;
            handledBeforeStop = handled;
        });
    }

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

    //! Status of the answer to a request with a body of \a size bytes.
    http::status statusOfBody(std::uint64_t size)
    {
        http::connection_pool pool(context, {});
        http::request request(boost::beast::http::verb::post, "/", 11);
        request.set(boost::beast::http::field::host, callersAddress);
        request.body() = std::string(size, '.');
        std::optional<http::exchange_result> result;
        boost::asio::co_spawn(
            context, pool.exchange(callersAddress, std::move(request), milliseconds(5000)),
            [&](const std::exception_ptr &, http::exchange_result got) { result = std::move(got); });
        EXPECT_TRUE(runUntil([&result] { return result.has_value(); }));
        return result && result->status == http::exchange_status::answered ? result->answer.result()
                                                                           : http::status::unknown;
    }

    //! Size of the answer to a request during which \a change happens.
    std::size_t answerAround(const std::function<void()> &change)
    {
        http::connection_pool pool(context, {});
        http::request request(boost::beast::http::verb::get, "/", 11);
        request.set(boost::beast::http::field::host, callersAddress);
        std::optional<http::exchange_result> result;
        boost::asio::co_spawn(
            context, pool.exchange(callersAddress, std::move(request), milliseconds(5000)),
            [&](const std::exception_ptr &, http::exchange_result got) { result = std::move(got); });
        context.restart();
        context.run_for(milliseconds(200));
        EXPECT_FALSE(result) << "answered before the change";
        change();
        EXPECT_TRUE(runUntil([&result] { return result.has_value(); }));
        return result && result->status == http::exchange_status::answered ? result->answer.body().size() : 0;
    }
};

//! Guards against bodies over the limit of the configuration, which fill the memory of the process once they
//! are decoded.
TEST_F(node_requests_test, ABodyOverTheConfiguredLimitIsNotHandled)
{
    EXPECT_EQ(statusOfBody(jobs::fleet_config{}.bodyBytes + 1), http::status::payload_too_large);
    EXPECT_EQ(statusOfBody(jobs::fleet_config{}.bodyBytes), http::status::ok);
    store.put("op/config", "smaller");
    context.restart();
    context.run_for(milliseconds(100));
    EXPECT_EQ(statusOfBody(smallBodyLimitBytes + 1), http::status::payload_too_large);
    EXPECT_EQ(handled, 1);
}

//! Guards against an answer that is cut off by a graceful stop (SIGTERM), also of the owner, whose hand-over
//! comes first.
TEST_F(node_requests_test, ARequestIsAnsweredInWholeAroundAStop)
{
    EXPECT_EQ(answerAround([this] { stop(); }), answerSize);
    ASSERT_TRUE(runUntil([this] { return stopped; }));
    EXPECT_EQ(handledBeforeStop, 1) << "the process would have ended during the request";
}

//! Guards against requests that end with the settings under which they began (SIGHUP).
TEST_F(node_requests_test, ARequestIsAnsweredInWholeAroundNewSettings)
{
    const auto change = [this] {
        daemon::node_settings settings = nodeSettings();
        settings.workerLease = milliseconds(4000);
        settings.connections = 1;
        node->reload(settings);
    };
    EXPECT_EQ(answerAround(change), answerSize);
    EXPECT_EQ(answerAround([] {}), answerSize) << "the next request";
}

//! Guards against requests that end with the configuration under which they began.
TEST_F(node_requests_test, ARequestIsAnsweredInWholeAroundANewConfiguration)
{
    const auto change = [this] {
        store.put("op/config", "{\"next\":1}");
        store.put("op/withdrawn/west-a", "{}");
    };
    EXPECT_EQ(answerAround(change), answerSize);
}

} // namespace
