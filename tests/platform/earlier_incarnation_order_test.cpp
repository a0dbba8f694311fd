#include "platform/worker_client.h"

#include "codec/bounded_json.h"
#include "http/server.h"
#include "jobs/job_codec.h"
#include "tests/unit/loop.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

//! Guards against orders that are meant for one incarnation of a minion and are carried out by the next one
//! at the same address: a lease by the earlier clock lasted longer than the owner knew, acknowledged ends
//! were forgotten unread, and a start was repeated (TWICE).
namespace {

using namespace almond;
using nlohmann::json;

struct received_call
{
    std::string path;
    json body;
};

class earlier_incarnation_order_test : public testing::Test
{
protected:
    earlier_incarnation_order_test() { boot(1); }

    //! Ends the present incarnation with its connections, and starts the one born at \a bornMs.
    void boot(std::int64_t bornMs)
    {
        std::string address = "127.0.0.1:0";
        if (minion) {
            address = "127.0.0.1:" + std::to_string(minion->port());
            tests::runToEnd(context, minion->drain(kernel::milliseconds(100)));
        }
        minion.reset();
        calls.clear();
        minion = std::make_unique<http::server>(
            context, http::server_limits{},
            [this, bornMs](http::request message) -> kernel::task<http::reply> {
                co_return answer(message, bornMs);
            });
        minion->listen(address);
    }

    http::reply answer(const http::request &message, std::int64_t bornMs)
    {
        calls.push_back({std::string(message.target()), json::parse(message.body())});
        json body{{"clock_ms", 9}};
        if (calls.back().path == "/hold") {
            body["born"] = bornMs;
            if (!oddBirth.is_null())
                body["born"] = oddBirth;
            body["running"] = json::array();
            body["ended"] = json::array();
        }
        if (holdStatus != http::status::ok)
            return http::makeReply(holdStatus, R"({"clock_ms":9,"reason":"fence"})");
        return http::makeReply(http::status::ok, body.dump());
    }

    jobs::order_target target(std::int64_t bornMs) const
    {
        jobs::order_target result;
        result.workerId = "w";
        result.address = "127.0.0.1:" + std::to_string(minion->port());
        result.bornMs = bornMs;
        return result;
    }

    jobs::order_response start(std::int64_t bornMs)
    {
        jobs::order_response response;
        const auto work = [&]() -> kernel::task<void> {
            jobs::start_order order;
            order.task = *jobs::parseTask("00000000000000aa.0.1.17");
            order.run = 1;
            order.leaseEndMs = 90'000;
            response = co_await api.start(target(bornMs), order);
        };
        tests::runToEnd(context, work());
        return response;
    }

    jobs::poll_response poll(std::int64_t bornMs, bool renewsAndAcknowledges = true)
    {
        jobs::poll_response response;
        const auto work = [&]() -> kernel::task<void> {
            jobs::poll_order order;
            if (renewsAndAcknowledges) {
                order.leaseEndMs = 90'000;
                order.acknowledge = 3;
            }
            response = co_await api.poll(target(bornMs), order);
        };
        tests::runToEnd(context, work());
        return response;
    }

    bool anyCallIsBinding() const
    {
        for (const received_call &call : calls) {
            if (call.path != "/hold" || call.body.contains("deadline_ms") || call.body.at("ack_cursor") != 0)
                return true;
        }
        return false;
    }

    boost::asio::io_context context;
    std::vector<received_call> calls;
    http::status holdStatus = http::status::ok;
    //! Returned instead of the birth, unless null.
    json oddBirth;
    std::unique_ptr<http::server> minion;
    http::connection_pool connections{context, http::pool_limits{}};
    jobs::worker_api api = platform::makeWorkerApi(connections, {});
};

TEST_F(earlier_incarnation_order_test, StartReachesTheIncarnationThatItIsMeantFor)
{
    EXPECT_EQ(start(1).outcome, jobs::order_outcome::accepted);
    ASSERT_EQ(calls.size(), 2U);
    EXPECT_EQ(calls[0].path, "/hold");
    EXPECT_EQ(calls[1].path, "/run-start");
    // The connection stays with the process.
    EXPECT_EQ(start(1).outcome, jobs::order_outcome::accepted);
    EXPECT_EQ(calls.size(), 3U);
}

TEST_F(earlier_incarnation_order_test, StartForTheEarlierIncarnationIsNotSentToTheNextOne)
{
    boot(2);
    const jobs::order_response response = start(1);
    EXPECT_EQ(response.outcome, jobs::order_outcome::refused);
    EXPECT_EQ(response.refusal, jobs::order_refusal::restarted);
    EXPECT_FALSE(response.workerClockMs);
    EXPECT_FALSE(anyCallIsBinding());
    EXPECT_EQ(start(2).outcome, jobs::order_outcome::accepted);
}

TEST_F(earlier_incarnation_order_test, LeaseAndAcknowledgementDoNotReachTheNextIncarnation)
{
    EXPECT_EQ(poll(1).bornMs, 1);
    boot(2);
    jobs::poll_response response = poll(1);
    // The connection of the earlier incarnation has ended, which the first call may find out.
    if (response.result.outcome != jobs::order_outcome::accepted)
        response = poll(1);
    EXPECT_EQ(response.result.outcome, jobs::order_outcome::accepted);
    EXPECT_EQ(response.bornMs, 2);
    EXPECT_FALSE(anyCallIsBinding());
    EXPECT_EQ(poll(2).bornMs, 2);
    EXPECT_TRUE(anyCallIsBinding());
}

TEST_F(earlier_incarnation_order_test, PollThatChangesNothingIsSentToAnyIncarnation)
{
    EXPECT_EQ(poll(1, false).bornMs, 1);
    EXPECT_EQ(calls.size(), 1U);
    // Its response has told which incarnation is at the other end.
    EXPECT_EQ(start(1).outcome, jobs::order_outcome::accepted);
    EXPECT_EQ(calls.size(), 2U);
}

//! A malformed birth ended the task that sent the order, so that its outcome never became known (LOST).
TEST_F(earlier_incarnation_order_test, MalformedBirthCountsAsNoResponse)
{
    for (const json &birth : {json("1"), json(-1), json(1.5), json::array()}) {
        oddBirth = birth;
        EXPECT_EQ(start(1).outcome, jobs::order_outcome::notSent) << birth;
        EXPECT_NE(poll(1).result.outcome, jobs::order_outcome::accepted) << birth;
        poll(1, false);
    }
    EXPECT_FALSE(anyCallIsBinding());
    oddBirth = nullptr;
    EXPECT_EQ(start(1).outcome, jobs::order_outcome::accepted);
}

TEST_F(earlier_incarnation_order_test, RefusedQuestionIsReportedAsTheRefusalOfTheOrder)
{
    holdStatus = http::status::conflict;
    const jobs::order_response response = start(1);
    EXPECT_EQ(response.outcome, jobs::order_outcome::refused);
    EXPECT_EQ(response.refusal, jobs::order_refusal::fenced);
    EXPECT_EQ(calls.size(), 1U);
}

} // namespace
