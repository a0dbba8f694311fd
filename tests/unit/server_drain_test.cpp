#include "http/server.h"
#include "tests/unit/loop.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <functional>

//! A server that stops serves each request that reached its host before it closed: also one that it hasn't
//! read yet, and one on a connection that it hasn't accepted yet.
namespace {

using namespace almond;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using kernel::milliseconds;
using kernel::task;

constexpr milliseconds drainLimit{5000};
constexpr std::string_view requestBytes = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

task<http::reply> accept(http::request)
{
    co_return http::makeReply(http::status::ok, "served");
}

tcp::endpoint endpointOf(const http::server &server)
{
    return {asio::ip::make_address("127.0.0.1"), server.port()};
}

//! Sends a request without giving control to the server.
void sendAtOnce(tcp::socket &client)
{
    asio::write(client, asio::buffer(requestBytes));
}

//! Returns what arrives until the server closes the connection, or the error that ended it.
task<std::string> receiveAll(tcp::socket &client)
{
    std::string received;
    boost::system::error_code error;
    co_await asio::async_read(client, asio::dynamic_buffer(received),
                              asio::redirect_error(asio::use_awaitable, error));
    co_return error == asio::error::eof ? received : error.message();
}

//! Runs \a scenario beside a server that is listening.
void runBesideServer(const std::function<task<void>(http::server &)> &scenario)
{
    asio::io_context context;
    http::server server(context, http::server_limits{}, accept);
    server.listen("127.0.0.1:0");
    tests::runToEnd(context, scenario(server));
    EXPECT_EQ(server.connectionCount(), 0U);
}

TEST(ServerDrain, ServesTheRequestThatArrivedOnAnIdleConnection)
{
    runBesideServer([](http::server &server) -> task<void> {
        tcp::socket client(co_await asio::this_coro::executor);
        co_await client.async_connect(endpointOf(server), asio::use_awaitable);
        sendAtOnce(client);
        std::string first;
        co_await asio::async_read_until(client, asio::dynamic_buffer(first), "served", asio::use_awaitable);
        co_await kernel::sleepFor(milliseconds(20));
        EXPECT_EQ(server.connectionCount(), 1U);
        sendAtOnce(client);
        co_await server.drain(drainLimit);
        const std::string second = co_await receiveAll(client);
        EXPECT_NE(second.find("served"), std::string::npos) << second;
        EXPECT_NE(second.find("Connection: close"), std::string::npos) << second;
    });
}

TEST(ServerDrain, ServesTheRequestOfAConnectionThatIsNotYetAccepted)
{
    runBesideServer([](http::server &server) -> task<void> {
        tcp::socket client(co_await asio::this_coro::executor);
        client.connect(endpointOf(server));
        sendAtOnce(client);
        co_await server.drain(drainLimit);
        const std::string response = co_await receiveAll(client);
        EXPECT_NE(response.find("served"), std::string::npos) << response;
    });
}

TEST(ServerDrain, WaitsForTheFirstRequestOfANewConnection)
{
    runBesideServer([](http::server &server) -> task<void> {
        const auto executor = co_await asio::this_coro::executor;
        tcp::socket client(executor);
        client.connect(endpointOf(server));
        std::string response;
        kernel::spawn(executor, [](tcp::socket &target, std::string &out) -> task<void> {
            co_await kernel::sleepFor(milliseconds(100));
            sendAtOnce(target);
            out = co_await receiveAll(target);
        }(client, response));
        co_await server.drain(drainLimit);
        co_await kernel::sleepFor(milliseconds(20));
        EXPECT_NE(response.find("served"), std::string::npos) << response;
    });
}

TEST(ServerDrain, RepliesAskToCloseOnceClosingIsAnnounced)
{
    runBesideServer([](http::server &server) -> task<void> {
        tcp::socket client(co_await asio::this_coro::executor);
        server.announceClosing();
        co_await client.async_connect(endpointOf(server), asio::use_awaitable);
        sendAtOnce(client);
        const std::string response = co_await receiveAll(client);
        EXPECT_NE(response.find("Connection: close"), std::string::npos) << response;
        co_await server.drain(drainLimit);
    });
}

} // namespace
