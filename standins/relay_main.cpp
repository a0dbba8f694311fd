#include "http/address.h"
#include "http/server.h"
#include "standins/record_log.h"
#include "standins/standin_process.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <list>
#include <memory>

namespace {

using namespace almond;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t bufferBytes = 64UL * 1024;
constexpr kernel::milliseconds silencedPollInterval{20};

//! Faults that a test injects with PUT /admin/faults.
struct relay_faults
{
    //! Open connections are closed when this is set, and new ones as soon as they are accepted.
    bool cut = false;
    //! Delay of each block of bytes, in milliseconds.
    std::int64_t delayMs = 0;
};

//! A client's connection and the connection to the target to which its bytes are forwarded.
struct relayed_connection
{
    explicit relayed_connection(tcp::socket accepted)
        : clientSocket(std::move(accepted))
        , targetSocket(clientSocket.get_executor())
    {
    }
    tcp::socket clientSocket;
    tcp::socket targetSocket;
    //! Bytes are still accepted but never forwarded. This cannot be undone.
    bool silenced = false;
};

//! State and services of the relay process.
struct relay_process
{
    std::string target;
    relay_faults faults;
    std::unique_ptr<standins::record_log> log;
    std::list<std::weak_ptr<relayed_connection>> connections;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::unique_ptr<http::server> admin;
};

void closeBoth(relayed_connection &connection)
{
    boost::system::error_code ignored;
    connection.clientSocket.close(ignored);
    connection.targetSocket.close(ignored);
}

//! Forwards bytes in one direction until \a from ends or an error occurs.
kernel::task<void> forwardBytes(relay_process &relay, std::shared_ptr<relayed_connection> connection,
                                tcp::socket &from, tcp::socket &to)
{
    std::vector<char> buffer(bufferBytes);
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    while (true) {
        const std::size_t received = co_await from.async_read_some(asio::buffer(buffer), token);
        if (relay.faults.delayMs > 0)
            co_await kernel::sleepFor(kernel::milliseconds(relay.faults.delayMs));
        while (connection->silenced)
            co_await kernel::sleepFor(silencedPollInterval);
        if (error)
            break;
        co_await asio::async_write(to, asio::buffer(buffer.data(), received), token);
        if (error)
            break;
    }
    boost::system::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
}

kernel::task<void> connectToTarget(relay_process &relay, std::shared_ptr<relayed_connection> connection)
{
    const http::host_port target = http::splitAddress(relay.target);
    boost::system::error_code error;
    co_await connection->targetSocket.async_connect({asio::ip::make_address(target.host), target.port},
                                                    asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        closeBoth(*connection);
        co_return;
    }
    const auto executor = co_await asio::this_coro::executor;
    kernel::spawn(executor,
                  forwardBytes(relay, connection, connection->clientSocket, connection->targetSocket));
    kernel::spawn(executor,
                  forwardBytes(relay, connection, connection->targetSocket, connection->clientSocket));
}

kernel::task<void> acceptLoop(relay_process &relay)
{
    const auto executor = co_await asio::this_coro::executor;
    while (true) {
        auto connection = std::make_shared<relayed_connection>(
            co_await relay.acceptor->async_accept(asio::use_awaitable));
        if (relay.faults.cut)
            continue;
        relay.connections.remove_if([](const auto &weakConnection) { return weakConnection.expired(); });
        relay.connections.push_back(connection);
        kernel::spawn(executor, connectToTarget(relay, std::move(connection)));
    }
}

//! Closes (\a cut) or silences (\a silence) the open connections.
void applyToOpenConnections(relay_process &relay, bool cut, bool silence)
{
    for (const auto &weakConnection : relay.connections) {
        const auto connection = weakConnection.lock();
        if (connection && cut)
            closeBoth(*connection);
        if (connection && silence)
            connection->silenced = true;
    }
}

kernel::task<http::reply> handle(relay_process &relay, http::request request)
{
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    if (request.target() != "/admin/faults" || !body.is_object())
        co_return http::makeErrorReply(http::status::bad_request, "PUT an object to /admin/faults");
    relay.faults.cut = body.value("cut", relay.faults.cut);
    relay.faults.delayMs = body.value("delayMs", relay.faults.delayMs);
    relay.log->write("link-faults", {{"target", relay.target}, {"faults", body}});
    applyToOpenConnections(relay, relay.faults.cut, body.value("silenceOpen", false));
    co_return http::makeReply(http::status::ok, "");
}

} // namespace

//! A TCP relay for fault injection: it cuts, delays or silences connections to its target.
int main(int argc, char **argv)
{
    TCLAP::CmdLine command("TCP relay that cuts, delays or silences connections", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("l", "listen", "address to listen on", true, "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> target("t", "target", "address to which connections are relayed", true, "",
                                        "IP:PORT", command);
    TCLAP::ValueArg<std::string> admin("a", "admin", "address to serve /admin/faults on", true, "", "IP:PORT",
                                       command);
    TCLAP::ValueArg<std::string> record("", "record", "file to which events are appended", false, "", "FILE",
                                        command);
    if (!standins::parseCommandLine(command, argc, argv))
        return 2;
    relay_process relay;
    relay.target = target.getValue();
    relay.log = std::make_unique<standins::record_log>(record.getValue());
    const auto start = [&](asio::io_context &context) {
        const http::host_port listenAddress = http::splitAddress(listen.getValue());
        relay.acceptor = std::make_unique<tcp::acceptor>(
            context, tcp::endpoint(asio::ip::make_address(listenAddress.host), listenAddress.port));
        auto handler = [&relay](http::request request) { return handle(relay, std::move(request)); };
        relay.admin = std::make_unique<http::server>(context, http::server_limits{}, handler);
        relay.admin->listen(admin.getValue());
        kernel::spawn(context.get_executor(), acceptLoop(relay));
    };
    return kernel::runProcess(argc, argv, start, []() -> kernel::task<void> { co_return; });
}
