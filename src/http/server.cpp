#include "http/server.h"

#include "http/address.h"
#include "observe/log.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace almond::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using kernel::task;

namespace {

//! Whatever is configured, requests with the usual headers are read, and one request can't fill the memory.
constexpr std::uint32_t smallestHeaderLimitBytes = 1024;
constexpr std::uint32_t largestHeaderLimitBytes = 1024 * 1024;
constexpr std::uint64_t largestBodyLimitBytes = 16ULL * 1024 * 1024;
constexpr kernel::milliseconds drainPollInterval{5};
constexpr kernel::milliseconds acceptRetryInterval{50};
//! How long a draining server waits for the first request of a connection.
constexpr kernel::milliseconds firstRequestGrace{1000};

auto redirectTo(error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

status statusFor(error_code error)
{
    if (error == beast::http::error::body_limit)
        return status::payload_too_large;
    if (error == beast::http::error::header_limit)
        return status::request_header_fields_too_large;
    return status::bad_request;
}

//! The reply for a request whose handler threw: it may have had an effect.
reply failedReply(const std::exception &error)
{
    observe::logLimited(observe::log_level::error, "unexpected error in handling a request",
                        {{"error", error.what()}}, kernel::monotonicNow());
    reply answer = makeErrorReply(status::internal_server_error, "unexpected error");
    answer.message.set("Almond-Outcome", "unknown");
    return answer;
}

} // namespace

server::server(asio::io_context &context, server_limits limits, handler handle)
    : m_context(context)
    , m_limits(limits)
    , m_handle(std::move(handle))
    , m_acceptor(context)
{
}

void server::listen(const std::string &address)
{
    const host_port target = splitAddress(address);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(target.host), target.port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen(asio::socket_base::max_listen_connections);
    kernel::spawn(m_context.get_executor(), acceptLoop());
}

std::uint16_t server::port() const
{
    return m_acceptor.local_endpoint().port();
}

void server::setMessageLimits(std::uint32_t headerBytes, std::uint64_t bodyBytes)
{
    m_limits.headerBytes = std::clamp(headerBytes, smallestHeaderLimitBytes, largestHeaderLimitBytes);
    m_limits.bodyBytes = std::min(bodyBytes, largestBodyLimitBytes);
}

task<void> server::acceptLoop()
{
    while (m_acceptor.is_open()) {
        error_code error;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(redirectTo(error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            co_await kernel::sleepFor(acceptRetryInterval);
            continue;
        }
        startSession(std::move(socket));
    }
}

void server::startSession(asio::ip::tcp::socket socket)
{
    ++m_counters.accepted;
    if (m_sessions.size() >= m_limits.connections) {
        ++m_counters.refusedConnections;
        return;
    }
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto client = std::make_shared<session>(session{stream(std::move(socket)), {}, false, false});
    kernel::spawn(m_context.get_executor(), serve(std::move(client)));
}

void server::closeAcceptor()
{
    error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket = m_acceptor.accept(error);
        if (!error)
            startSession(std::move(socket));
    }
    m_acceptor.close(error);
}

task<void> server::serve(std::shared_ptr<session> client)
{
    const auto position = m_sessions.insert(m_sessions.end(), client);
    co_await serveRequests(*client);
    error_code ignored;
    client->tcpStream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_sessions.erase(position);
}

task<void> server::serveRequests(session &client)
{
    while (true) {
        request message;
        const read_outcome received = co_await readRequest(client, message);
        if (received != read_outcome::complete)
            co_return;
        ++m_counters.requests;
        ++m_inFlight;
        const request requestHeader(beast::http::request_header<>(message.base()));
        reply answer;
        try {
            answer = co_await m_handle(std::move(message));
        } catch (const std::exception &error) {
            answer = failedReply(error);
        }
        const bool keepOpen = co_await sendReply(client, std::move(answer), requestHeader);
        --m_inFlight;
        client.busy = false;
        client.served = true;
        if (!keepOpen)
            co_return;
    }
}

task<bool> server::receiveFirstBytes(session &client)
{
    auto freeBuffer = client.buffer.prepare(m_limits.headerBytes);
    error_code error;
    client.tcpStream.expires_after(m_limits.idleTimeout);
    std::size_t received = co_await client.tcpStream.async_read_some(freeBuffer, redirectTo(error));
    error_code ignored;
    // A request may have arrived before closeIdle() cancelled the wait for it.
    if (error == asio::error::operation_aborted && client.tcpStream.socket().available(ignored) > 0)
        received = co_await client.tcpStream.async_read_some(freeBuffer, redirectTo(error));
    client.buffer.commit(received);
    co_return !error;
}

task<server::read_outcome> server::readRequest(session &client, request &message)
{
    beast::http::request_parser<beast::http::string_body> parser;
    parser.header_limit(m_limits.headerBytes);
    parser.body_limit(m_limits.bodyBytes);
    error_code error;
    if (client.buffer.size() == 0) {
        const bool arrived = co_await receiveFirstBytes(client);
        if (!arrived)
            co_return read_outcome::closed;
    }
    client.busy = true;
    client.tcpStream.expires_after(m_limits.receiveTimeout);
    co_await beast::http::async_read(client.tcpStream, client.buffer, parser, redirectTo(error));
    if (!error) {
        message = parser.release();
        co_return read_outcome::complete;
    }
    if (error == beast::error::timeout) {
        ++m_counters.timedOut;
        co_return read_outcome::closed;
    }
    const bool closed = error == beast::http::error::end_of_stream
        || error == beast::http::error::partial_message || error == asio::error::connection_reset
        || error == asio::error::operation_aborted;
    if (closed)
        co_return read_outcome::closed;
    co_await reject(client, error);
    co_return read_outcome::rejected;
}

task<void> server::reject(session &client, error_code error)
{
    const status code = statusFor(error);
    m_counters.bodyTooLarge += code == status::payload_too_large ? 1 : 0;
    m_counters.headerTooLarge += code == status::request_header_fields_too_large ? 1 : 0;
    m_counters.malformed += code == status::bad_request ? 1 : 0;
    response answer = makeErrorReply(code, error.message()).message;
    answer.set("Almond-Outcome", "not-run");
    answer.keep_alive(false);
    answer.prepare_payload();
    client.tcpStream.expires_after(m_limits.sendTimeout);
    error_code ignored;
    co_await beast::http::async_write(client.tcpStream, answer, redirectTo(ignored));
    // Reads and discards what the client still sends. Closing with unread bytes resets the connection, which
    // would destroy the reply before the client has read it.
    client.tcpStream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    client.tcpStream.expires_after(kernel::milliseconds(1000));
    while (!ignored) {
        client.buffer.clear();
        co_await client.tcpStream.async_read_some(client.buffer.prepare(m_limits.headerBytes),
                                                  redirectTo(ignored));
    }
}

task<bool> server::sendReply(session &client, reply answer, const request &requestHeader)
{
    if (answer.action == reply_action::dropConnection)
        co_return false;
    response &message = answer.message;
    message.version(requestHeader.version());
    message.keep_alive(requestHeader.keep_alive() && !m_closing);
    message.prepare_payload();
    if (answer.action == reply_action::truncate)
        message.body().resize(message.body().size() / 2);
    client.tcpStream.expires_after(m_limits.sendTimeout);
    error_code error;
    beast::http::response_serializer<beast::http::string_body> serializer(message);
    if (requestHeader.method() == verb::head)
        co_await beast::http::async_write_header(client.tcpStream, serializer, redirectTo(error));
    else
        co_await beast::http::async_write(client.tcpStream, serializer, redirectTo(error));
    co_return !error && message.keep_alive() && answer.action == reply_action::send;
}

void server::closeIdle(bool beforeFirstRequest)
{
    for (const auto &entry : m_sessions) {
        const auto client = entry.lock();
        if (client && !client->busy && (client->served || beforeFirstRequest))
            client->tcpStream.cancel();
    }
}

void server::announceClosing()
{
    m_closing = true;
}

task<void> server::drain(kernel::milliseconds limit)
{
    announceClosing();
    closeAcceptor();
    const auto startedAt = kernel::monotonicNow();
    closeIdle(false);
    while (!m_sessions.empty() && kernel::monotonicNow() < startedAt + limit) {
        co_await kernel::sleepFor(drainPollInterval);
        closeIdle(kernel::monotonicNow() >= startedAt + firstRequestGrace);
    }
}

} // namespace almond::http
