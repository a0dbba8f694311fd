#include "http/server.h"
#include "platform/document_codec.h"
#include "platform/kv_store.h"
#include "platform/worker_client.h"

#include "tests/unit/loop.h"

#include <gtest/gtest.h>

//! Odd entries in the platform's lists and odd responses of its store: what can't be used is left out, and
//! the rest is followed.
namespace {

using namespace almond;
using kernel::milliseconds;
using kernel::task;
using nlohmann::json;
using store::store_status;

json validWorker()
{
    return json::parse(R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,
        "state":"ready","cold_remaining_ms":0,"capacity":{"cpu":32000,"mem_mb":1000,"gpu":2},
        "labels":["a","r1-3"],"clock_ms":5,"sequence":4,"born":77})");
}

TEST(OddEntries, WorkerWithAnAddressOutOfRangeIsLeftOut)
{
    ASSERT_TRUE(platform::decodeWorker("i", validWorker().dump()));
    for (const char *odd : {"10.0.0.1:70000", "10.0.0.1:0", "10.0.0.1:-80", "10.0.0.1:80x", "10.0.0.1:",
                            ":80", "10.0.0.300:80", "10.0.0.1", "host:80", "10.0.0.1:99999999999999999999"}) {
        json worker = validWorker();
        worker["address"] = odd;
        EXPECT_FALSE(platform::decodeWorker("i", worker.dump())) << odd;
    }
}

TEST(OddEntries, WorkerWithANumberOutOfRangeIsLeftOut)
{
    for (const char *odd :
         {"1e300", "-1", "99999999999999999999", "9223372036854775807", "\"7\"", "[]", "null"}) {
        for (const char *place :
             {"/capacity/cpu", "/capacity/mem_mb", "/capacity/gpu", "/cold_remaining_ms"}) {
            json worker = validWorker();
            worker[json::json_pointer(place)] = json::parse(odd);
            EXPECT_FALSE(platform::decodeWorker("i", worker.dump())) << place << " " << odd;
        }
    }
    json worker = validWorker();
    worker["born"] = 1e300;
    EXPECT_FALSE(platform::decodeWorker("i", worker.dump()));
}

TEST(OddEntries, DeeplyNestedWorkerOrConfigurationIsLeftOut)
{
    constexpr std::size_t nesting = 200'000;
    const std::string deep = std::string(nesting, '[') + std::string(nesting, ']');
    std::string worker = validWorker().dump();
    worker.replace(worker.find("\"v1\""), 4, deep);
    EXPECT_FALSE(platform::decodeWorker("i", worker));
    EXPECT_FALSE(platform::decodeConfig(R"({"version":1,"routes":[],"services":[],"limits":)" + deep + "}"));
}

TEST(OddEntries, PollResponseWithOddRowsCountsAsNone)
{
    const auto decoded = [](const std::string &running) {
        http::exchange_result result;
        result.status = http::exchange_status::answered;
        result.answer.result(200U);
        result.answer.body() = R"({"clock_ms":5,"born":1,"ended":[],"running":)" + running + "}";
        return platform::decodePollResponse(result).result.outcome;
    };
    EXPECT_EQ(decoded(R"([["5c0e7a21d94b36f8.0.1.17",2,"",41,7.5]])"), jobs::order_outcome::accepted);
    for (const char *odd : {R"([["x",2,"",41,7]])", R"([["5c0e7a21d94b36f8.0.1.17",1e30,"",41,7]])",
                            R"([["5c0e7a21d94b36f8.0.1.17",2,"",1e300,7]])", R"([7])", "7",
                            R"([["5c0e7a21d94b36f8.0.1.17",2,"",41,1e300]])"})
        EXPECT_EQ(decoded(odd), jobs::order_outcome::unknown) << odd;
}

//! A store that gives one odd response to every call.
class odd_store_test : public testing::Test
{
protected:
    boost::asio::io_context context;
    std::string body;
    http::server server{context, http::server_limits{}, [this](http::request) { return respond(); }};
    http::connection_pool connections{context, http::pool_limits{}};
    std::unique_ptr<platform::kv_store> client;

    void SetUp() override
    {
        server.listen("127.0.0.1:0");
        client = std::make_unique<platform::kv_store>(
            connections,
            platform::kv_store_settings{"127.0.0.1:" + std::to_string(server.port()), milliseconds(1000)});
    }

    task<http::reply> respond() { co_return http::makeReply(http::status::ok, body); }

    template<typename Reply>
    Reply await(task<Reply> work)
    {
        Reply reply;
        tests::runToEnd(context, [](task<Reply> pending, Reply *out) -> task<void> {
            *out = co_await std::move(pending);
        }(std::move(work), &reply));
        return reply;
    }
};

TEST_F(odd_store_test, ResponseWithOddMembersCountsAsNone)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    for (const std::string &odd :
         {std::string("{}"), std::string("[]"), std::string("7"), std::string("{"),
          std::string(R"({"items":7,"events":7,"revision":"x","lease":"x","as_of":1})"),
          std::string(
              R"({"items":[],"events":[],"as_of":"text","has_more":false,"revision":1e300,"lease":{}})"),
          std::string(
              R"({"items":[],"has_more":"text","as_of":1,"events":{"a":1},"revision":[],"lease":null})"),
          R"({"items":)" + deep + R"(,"events":)" + deep + "}"}) {
        body = odd;
        const store::store_api api = client->api();
        const std::string shown = odd.substr(0, 100);
        EXPECT_EQ(await(api.page("p", "")).status, store_status::unavailable) << shown;
        EXPECT_EQ(await(api.watch("p", 1, milliseconds(1))).status, store_status::unavailable) << shown;
        EXPECT_EQ(await(api.get("k")).status, store_status::unavailable) << shown;
        EXPECT_EQ(await(api.create("k", "v", "")).status, store_status::unavailable) << shown;
        EXPECT_EQ(await(api.grantLease(milliseconds(1000))).status, store_status::unavailable) << shown;
    }
}

TEST_F(odd_store_test, ItemWithoutItsKeyIsLeftOut)
{
    body = R"({"items":[{"value":"eA=="},7,{"key":8},{"key":"b","value":"eA==","revision":3}],"as_of":9,
        "has_more":false})";
    const store::page_reply page = await(client->api().page("p", ""));
    ASSERT_EQ(page.status, store_status::ok);
    ASSERT_EQ(page.items.size(), 1U);
    EXPECT_EQ(page.items.front().key, "b");
    EXPECT_EQ(page.items.front().value, "x");
}

} // namespace
