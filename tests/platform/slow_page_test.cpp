#include "http/server.h"
#include "platform/kv_store.h"

#include "tests/unit/loop.h"

#include <gtest/gtest.h>

//! A new owner behind a slow link reads pages that take longer than other calls.
namespace {

using namespace almond;
using kernel::milliseconds;
using kernel::task;

constexpr milliseconds callTimeout{40};
//! As a page of 1 MB over 2 Mbit/s: several times what a page is given at first.
constexpr milliseconds pageTime{240};

task<http::reply> respondSlowly()
{
    co_await kernel::sleepFor(pageTime);
    co_return http::makeReply(http::status::ok,
                              R"({"items":[{"key":"a","value":"eA==","revision":3}],"as_of":9,
        "has_more":false})");
}

TEST(SlowPage, PageThatTakesLongIsReadAfterAFewAttempts)
{
    boost::asio::io_context context;
    http::server server(context, http::server_limits{}, [](http::request) { return respondSlowly(); });
    server.listen("127.0.0.1:0");
    http::connection_pool connections(context, http::pool_limits{});
    platform::kv_store store(connections, {"127.0.0.1:" + std::to_string(server.port()), callTimeout});
    int attempts = 0;
    int pagesRead = 0;
    const store::store_api api = store.api();
    const auto work = [&]() -> task<void> {
        while (pagesRead < 2 && attempts < 8) {
            const store::page_reply page = co_await api.page("p", "");
            ++attempts;
            pagesRead += page.status == store::store_status::ok ? 1 : 0;
        }
    };
    tests::runToEnd(context, work());
    EXPECT_EQ(pagesRead, 2);
    // The second page is given the time that the first one needed.
    EXPECT_LE(attempts, 4);
}

} // namespace
