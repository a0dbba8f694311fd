#include "http/client.h"

#include "http/address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

namespace almond::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using kernel::task;

namespace {

auto redirectTo(error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

//! Tells whether the peer has closed the idle connection or sent bytes that belong to no request.
//! Such a connection must not carry another request.
bool isStale(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

//! Tells whether the end of \a message is known without the end of its connection. A response that is
//! delimited only by the close of its connection can't be distinguished from a truncated one.
bool hasExplicitEnd(const response &message)
{
    return message.has_content_length() || message.chunked() || message.result() == status::no_content
        || message.result() == status::not_modified;
}

} // namespace

connection_pool::connection::connection(asio::io_context &context, std::size_t &openConnections)
    : tcpStream(context)
    , open(openConnections)
{
    ++open;
}

connection_pool::connection::~connection()
{
    --open;
}

connection_pool::connection_pool(asio::io_context &context, pool_limits limits)
    : m_context(context)
    , m_limits(limits)
{
}

connection_pool::connection_ptr connection_pool::takeIdle(const std::string &peer)
{
    auto &idle = m_idle[peer];
    while (!idle.empty()) {
        connection_ptr candidate = std::move(idle.back());
        idle.pop_back();
        const bool expired = std::chrono::steady_clock::now() - candidate->idleSince > m_limits.idleTimeout;
        if (!expired && !isStale(candidate->tcpStream.socket()))
            return candidate;
    }
    return nullptr;
}

task<connection_pool::connection_ptr> connection_pool::connect(const std::string &peer, steady_time deadline,
                                                               std::string &detail)
{
    const std::optional<host_port> target = parseAddress(peer);
    if (!target) {
        detail = "connect: not an address: " + peer;
        co_return nullptr;
    }
    auto conn = std::make_unique<connection>(m_context, m_open);
    conn->tcpStream.expires_at(
        std::min(deadline, std::chrono::steady_clock::now() + m_limits.connectTimeout));
    error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(target->host, error), target->port);
    if (!error)
        co_await conn->tcpStream.async_connect(endpoint, redirectTo(error));
    if (error) {
        detail = "connect: " + error.message();
        co_return nullptr;
    }
    conn->tcpStream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    conn->tcpStream.socket().set_option(asio::socket_base::keep_alive(true), error);
    co_return conn;
}

task<exchange_result> connection_pool::runExchange(connection &conn, const request &message,
                                                   steady_time deadline)
{
    exchange_result result;
    conn.tcpStream.expires_at(deadline);
    error_code error;
    const std::size_t sent = co_await beast::http::async_write(conn.tcpStream, message, redirectTo(error));
    if (error) {
        const bool late = error == beast::error::timeout;
        const auto afterBytes = late ? exchange_status::timedOut : exchange_status::broken;
        result.status = sent == 0 && !late ? exchange_status::notSent : afterBytes;
        result.detail = "send: " + error.message();
        co_return result;
    }
    beast::http::response_parser<beast::http::string_body> parser;
    parser.body_limit(m_limits.answerBytes);
    parser.skip(message.method() == verb::head);
    co_await beast::http::async_read(conn.tcpStream, conn.buffer, parser, redirectTo(error));
    if (error) {
        const bool late = error == beast::error::timeout;
        result.status = late ? exchange_status::timedOut : exchange_status::broken;
        result.detail = "receive: " + error.message();
        co_return result;
    }
    result.answer = parser.release();
    const bool complete = hasExplicitEnd(result.answer) || message.method() == verb::head;
    result.status = complete ? exchange_status::answered : exchange_status::broken;
    if (!complete)
        result.detail = "receive: the answer has no explicit end";
    co_return result;
}

task<exchange_result> connection_pool::exchange(std::string peer, request message,
                                                kernel::milliseconds timeout, kernel::time_point sendBefore)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    exchange_result result;
    connection_ptr conn = takeIdle(peer);
    const bool reused = conn != nullptr;
    if (!conn)
        conn = co_await connect(peer, deadline, result.detail);
    if (!conn)
        co_return result;
    // Connecting may take longer than the caller's permission lasts.
    if (kernel::monotonicNow() >= sendBefore) {
        result.status = exchange_status::expired;
        result.detail = "send: the time to send the request has passed";
        keep(peer, std::move(conn));
        co_return result;
    }
    message.prepare_payload();
    result = co_await runExchange(*conn, message, deadline);
    result.reusedConnection = reused;
    if (result.status == exchange_status::answered && result.answer.keep_alive() && conn->buffer.size() == 0)
        keep(peer, std::move(conn));
    co_return result;
}

void connection_pool::keep(const std::string &peer, connection_ptr conn)
{
    auto &idle = m_idle[peer];
    if (idle.size() >= m_limits.idlePerPeer)
        return;
    conn->tcpStream.expires_never();
    conn->idleSince = std::chrono::steady_clock::now();
    idle.push_back(std::move(conn));
}

void connection_pool::forget(const std::string &peer)
{
    m_idle.erase(peer);
}

std::size_t connection_pool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[peer, idle] : m_idle)
        count += idle.size();
    return count;
}

} // namespace almond::http
