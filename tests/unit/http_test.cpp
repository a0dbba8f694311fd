#include "http/client.h"
#include "http/server.h"
#include "kernel/completion.h"
#include "tests/unit/loop.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <thread>

//! The limits and the graceful shutdown of the server. The client sends each request at most once and
//! reports truncated responses.
namespace {

using namespace almond;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using http::exchange_status;
using kernel::milliseconds;
using kernel::task;

constexpr milliseconds longTimeout{5000};

http::server_limits smallLimits()
{
    http::server_limits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 2000;
    limits.receiveTimeout = milliseconds(100);
    limits.idleTimeout = milliseconds(5000);
    return limits;
}

task<http::reply> echo(http::request request)
{
    co_return http::makeReply(http::status::ok, request.body());
}

std::string addressOf(const http::server &server)
{
    return "127.0.0.1:" + std::to_string(server.port());
}

//! Sends \a bytes unchanged and returns everything received until the server closes the connection.
task<std::string> sendRaw(std::uint16_t port, std::string bytes)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port),
                                  asio::use_awaitable);
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    std::string response;
    co_await asio::async_read(socket, asio::dynamic_buffer(response),
                              asio::redirect_error(asio::use_awaitable, error));
    co_return response;
}

void expectRawStatus(const std::string &bytes, const std::string &status)
{
    asio::io_context context;
    http::server server(context, smallLimits(), echo);
    server.listen("127.0.0.1:0");
    tests::runToEnd(context, [](http::server &target, std::string sent, std::string expected) -> task<void> {
        const std::string response = co_await sendRaw(target.port(), sent);
        EXPECT_EQ(response.substr(9, 3), expected) << response;
    }(server, bytes, status));
}

TEST(HttpServer, BodyOverTheLimitGets413)
{
    expectRawStatus("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\n\r\n" + std::string(3000, 'x'),
                    "413");
}

TEST(HttpServer, ChunkedBodyOverTheLimitGets413)
{
    expectRawStatus("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n"
                        + std::string(3000, 'x') + "\r\n0\r\n\r\n",
                    "413");
}

TEST(HttpServer, HeaderOverTheLimitGets431)
{
    expectRawStatus("GET / HTTP/1.1\r\nHost: x\r\nLong: " + std::string(4000, 'x') + "\r\n\r\n", "431");
}

TEST(HttpServer, SlowSenderIsDisconnected)
{
    asio::io_context context;
    http::server server(context, smallLimits(), echo);
    server.listen("127.0.0.1:0");
    tests::runToEnd(context, [](http::server &target) -> task<void> {
        const std::string response = co_await sendRaw(
            target.port(), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nslow");
        EXPECT_EQ(response, "");
    }(server));
    EXPECT_EQ(server.counters().timedOut, 1U);
    EXPECT_EQ(server.counters().requests, 0U);
}

TEST(HttpServer, MalformedRequestGets400)
{
    expectRawStatus("nonsense\r\n\r\n", "400");
}

TEST(HttpServer, DrainCompletesRequestsInFlight)
{
    asio::io_context context;
    kernel::completion<bool> finishHandler(context.get_executor());
    http::server server(context, http::server_limits{}, [&finishHandler](http::request) -> task<http::reply> {
        co_await finishHandler.wait(longTimeout);
        co_return http::makeReply(http::status::ok, "late");
    });
    server.listen("127.0.0.1:0");
    http::connection_pool pool(context, http::pool_limits{});
    const std::string address = addressOf(server);
    http::exchange_result result;
    kernel::spawn(
        context.get_executor(),
        [](http::connection_pool &client, std::string peer, http::exchange_result &out) -> task<void> {
            http::request message(http::verb::get, "/", 11);
            out = co_await client.exchange(peer, std::move(message), longTimeout);
        }(pool, address, result));
    tests::runToEnd(context, [](http::server &target, kernel::completion<bool> &signal) -> task<void> {
        while (target.requestsInFlight() == 0)
            co_await kernel::sleepFor(milliseconds(1));
        kernel::spawn(co_await asio::this_coro::executor, [](kernel::completion<bool> &wake) -> task<void> {
            wake.complete(true);
            co_return;
        }(signal));
        co_await target.drain(longTimeout);
    }(server, finishHandler));
    while (result.status != exchange_status::answered && context.run_one() > 0) { }
    EXPECT_EQ(result.answer.body(), "late");
    EXPECT_EQ(server.connectionCount(), 0U);
}

//! A server that replies to the first \a answered requests. It counts every request, and closes the
//! connection without a reply for each later one.
struct closing_server
{
    explicit closing_server(asio::io_context &context, int answered)
        : server(context, http::server_limits{}, [this, answered](http::request) -> task<http::reply> {
            ++deliveries;
            http::reply answer = http::makeReply(http::status::ok, "ok");
            if (deliveries > answered)
                answer.action = http::reply_action::dropConnection;
            co_return answer;
        })
    {
        server.listen("127.0.0.1:0");
    }
    int deliveries = 0;
    http::server server;
};

void expectDeliveredOnce(int answeredBefore)
{
    asio::io_context context;
    closing_server peer(context, answeredBefore);
    http::connection_pool pool(context, http::pool_limits{});
    tests::runToEnd(
        context, [](http::connection_pool &client, closing_server &target, int before) -> task<void> {
            http::exchange_result result;
            for (int number = 0; number <= before; ++number) {
                http::request message(http::verb::post, "/", 11);
                message.body() = "bill once";
                result = co_await client.exchange(addressOf(target.server), std::move(message), longTimeout);
            }
            EXPECT_EQ(result.status, exchange_status::broken);
            EXPECT_EQ(result.reusedConnection, before > 0);
        }(pool, peer, answeredBefore));
    EXPECT_EQ(peer.deliveries, answeredBefore + 1);
}

TEST(ConnectionPool, RequestIsDeliveredOnceWhenANewConnectionCloses)
{
    expectDeliveredOnce(0);
}

TEST(ConnectionPool, RequestIsDeliveredOnceWhenAReusedConnectionCloses)
{
    expectDeliveredOnce(1);
}

void expectFailure(http::reply_action action, exchange_status expected)
{
    asio::io_context context;
    http::server server(context, http::server_limits{}, [action](http::request) -> task<http::reply> {
        http::reply answer = http::makeReply(http::status::ok, std::string(1000, 'x'));
        answer.action = action;
        co_return answer;
    });
    server.listen("127.0.0.1:0");
    http::connection_pool pool(context, http::pool_limits{});
    tests::runToEnd(
        context,
        [](http::connection_pool &client, http::server &target, exchange_status wanted) -> task<void> {
            http::request message(http::verb::get, "/", 11);
            const auto result = co_await client.exchange(addressOf(target), std::move(message), longTimeout);
            EXPECT_EQ(result.status, wanted);
        }(pool, server, expected));
}

TEST(ConnectionPool, TruncatedResponseIsReportedAsBroken)
{
    expectFailure(http::reply_action::truncate, exchange_status::broken);
}

TEST(ConnectionPool, CompleteResponseIsReportedAsAnswered)
{
    expectFailure(http::reply_action::send, exchange_status::answered);
}

TEST(ConnectionPool, RequestToUnreachablePeerIsReportedAsNotSent)
{
    asio::io_context context;
    http::connection_pool pool(context, http::pool_limits{});
    tests::runToEnd(context, [](http::connection_pool &client) -> task<void> {
        http::request message(http::verb::get, "/", 11);
        const auto result = co_await client.exchange("127.0.0.1:1", std::move(message), longTimeout);
        EXPECT_EQ(result.status, exchange_status::notSent);
    }(pool));
}

//! Sends a request that may be sent for \a permission, while the event loop does nothing else for
//! \a connectTime after the connection has been begun.
http::exchange_result sendWithPermission(closing_server &peer, asio::io_context &context,
                                         http::connection_pool &pool, milliseconds permission,
                                         milliseconds connectTime)
{
    http::exchange_result result;
    bool ended = false;
    kernel::spawn(context.get_executor(),
                  [](http::connection_pool &client, std::string address, milliseconds limit,
                     http::exchange_result &out, bool &done) -> task<void> {
                      http::request message(http::verb::post, "/", 11);
                      out = co_await client.exchange(address, std::move(message), longTimeout,
                                                     kernel::monotonicNow() + limit);
                      done = true;
                  }(pool, addressOf(peer.server), permission, result, ended));
    while (pool.openCount() == 0 && context.run_one() > 0) { }
    std::this_thread::sleep_for(connectTime);
    while (!ended && context.run_one() > 0) { }
    return result;
}

//! A start whose permission ended while the connection was opened reached the worker all the same.
TEST(ConnectionPool, RequestWhosePermissionEndsWhileConnectingIsNotSent)
{
    asio::io_context context;
    closing_server peer(context, 1);
    http::connection_pool pool(context, http::pool_limits{});
    const auto result = sendWithPermission(peer, context, pool, milliseconds(20), milliseconds(60));
    EXPECT_EQ(result.status, exchange_status::expired);
    EXPECT_EQ(peer.deliveries, 0);
    // The connection has carried nothing and serves the next request.
    EXPECT_EQ(pool.idleCount(), 1U);
    const auto next = sendWithPermission(peer, context, pool, longTimeout, milliseconds(0));
    EXPECT_EQ(next.status, exchange_status::answered);
    EXPECT_TRUE(next.reusedConnection);
    EXPECT_EQ(peer.deliveries, 1);
}

TEST(ConnectionPool, RequestIsSentAfterASlowConnectWhileItsPermissionLasts)
{
    asio::io_context context;
    closing_server peer(context, 1);
    http::connection_pool pool(context, http::pool_limits{});
    const auto result = sendWithPermission(peer, context, pool, longTimeout, milliseconds(60));
    EXPECT_EQ(result.status, exchange_status::answered);
    EXPECT_EQ(peer.deliveries, 1);
}

TEST(ConnectionPool, LargeResponsesAreCompleteWithManyRequestsInFlight)
{
    constexpr int inFlight = 64;
    constexpr std::size_t bytes = 256UL * 1024;
    asio::io_context context;
    http::server server(context, http::server_limits{}, [](http::request request) -> task<http::reply> {
        co_return http::makeReply(http::status::ok, std::string(bytes, request.body().front()));
    });
    server.listen("127.0.0.1:0");
    http::connection_pool pool(context, http::pool_limits{});
    int completeResponses = 0;
    int endedExchanges = 0;
    for (int number = 0; number < inFlight; ++number) {
        kernel::spawn(
            context.get_executor(),
            [](http::connection_pool &client, http::server &target, char mark, int &complete,
               int &ended) -> task<void> {
                http::request message(http::verb::post, "/", 11);
                message.body() = std::string(1, mark);
                const auto result
                    = co_await client.exchange(addressOf(target), std::move(message), longTimeout);
                complete += result.answer.body() == std::string(bytes, mark) ? 1 : 0;
                ++ended;
            }(pool, server, static_cast<char>('a' + number % 26), completeResponses, endedExchanges));
    }
    tests::runToEnd(context, [](const int &ended) -> task<void> {
        while (ended < inFlight)
            co_await kernel::sleepFor(milliseconds(1));
    }(endedExchanges));
    EXPECT_EQ(completeResponses, inFlight);
}

} // namespace
