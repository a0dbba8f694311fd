#include "http/client.h"

#include "http/address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

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

connection_pool::connection::connection(asio::io_context &context,
                                        std::shared_ptr<pool_counters> poolCounters, usage_ptr peerUsage)
    : tcpStream(context)
    , counters(std::move(poolCounters))
    , usage(std::move(peerUsage))
{
    ++counters->open;
    ++counters->opened;
    ++usage->open;
    counters->mostToOnePeer = std::max(counters->mostToOnePeer, usage->open);
}

connection_pool::connection::~connection()
{
    --counters->open;
    --usage->open;
}

connection_pool::connection_pool(asio::io_context &context, pool_limits limits)
    : m_context(context)
    , m_limits(limits)
{
}

connection_pool::usage_ptr connection_pool::usageOf(const std::string &peer)
{
    usage_ptr &usage = m_usage[peer];
    if (!usage)
        usage = std::make_shared<peer_usage>();
    return usage;
}

bool connection_pool::mayBegin(const peer_usage &usage, exchange_priority priority) const
{
    if (m_limits.openPerPeer == 0)
        return true;
    const bool refused = std::chrono::steady_clock::now() < usage.refusedUntil;
    const std::size_t limit = refused ? std::min(m_limits.openPerPeer, std::max<std::size_t>(1, usage.open))
                                      : m_limits.openPerPeer;
    const std::size_t kept = priority == exchange_priority::normal && limit > 2 ? 1 : 0;
    return usage.inUse + kept < limit;
}

void connection_pool::beginWaiting(peer_usage &usage)
{
    for (const auto priority : {exchange_priority::urgent, exchange_priority::normal}) {
        std::deque<waiter> &waiting = usage.waiting.at(static_cast<std::size_t>(priority));
        while (!waiting.empty() && mayBegin(usage, priority)) {
            const waiter next = std::move(waiting.front());
            waiting.pop_front();
            ++usage.inUse;
            next->complete(true);
        }
    }
}

void connection_pool::setOpenPerPeer(std::size_t limit)
{
    m_limits.openPerPeer = limit;
    for (const auto &[peer, usage] : m_usage)
        beginWaiting(*usage);
}

task<bool> connection_pool::awaitConnection(usage_ptr usage, exchange_priority priority, steady_time deadline)
{
    ++m_counters->waited;
    std::deque<waiter> &waiting = usage->waiting.at(static_cast<std::size_t>(priority));
    steady_time now = std::chrono::steady_clock::now();
    while (now < deadline) {
        const auto own = std::make_shared<kernel::completion<bool>>(m_context.get_executor());
        waiting.push_back(own);
        // Nothing wakes a call when the back-off after a refusal ends.
        const steady_time until
            = now < usage->refusedUntil ? std::min(deadline, usage->refusedUntil) : deadline;
        const std::optional<bool> begun
            = co_await own->wait(std::chrono::ceil<kernel::milliseconds>(until - now));
        now = std::chrono::steady_clock::now();
        if (begun && now < deadline)
            co_return true;
        if (begun) {
            --usage->inUse;
            beginWaiting(*usage);
            break;
        }
        std::erase(waiting, own);
        if (now < deadline && mayBegin(*usage, priority)) {
            ++usage->inUse;
            co_return true;
        }
    }
    ++m_counters->waitedInVain;
    co_return false;
}

connection_pool::connection_ptr connection_pool::takeIdle(const std::string &peer, const process_check *check)
{
    auto &idle = m_idle[peer];
    if (check && !check->expected.empty()) {
        std::erase_if(idle, [check](const connection_ptr &conn) {
            return !conn->identity.empty() && conn->identity != check->expected;
        });
        // The last one is taken first.
        std::stable_partition(idle.begin(), idle.end(),
                              [](const connection_ptr &conn) { return conn->identity.empty(); });
    }
    while (!idle.empty()) {
        connection_ptr candidate = std::move(idle.back());
        idle.pop_back();
        const bool expired = std::chrono::steady_clock::now() - candidate->idleSince > m_limits.idleTimeout;
        if (!expired && !isStale(candidate->tcpStream.socket()))
            return candidate;
    }
    return nullptr;
}

task<connection_pool::connection_ptr> connection_pool::connect(const std::string &peer, usage_ptr usage,
                                                               steady_time deadline, std::string &detail)
{
    const std::optional<host_port> target = parseAddress(peer);
    if (!target) {
        detail = "connect: not an address: " + peer;
        co_return nullptr;
    }
    auto conn = std::make_unique<connection>(m_context, m_counters, std::move(usage));
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
        result.connectionRefused
            = sent == 0 && (error == asio::error::connection_reset || error == asio::error::broken_pipe);
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
        const bool closed
            = error == asio::error::connection_reset || error == beast::http::error::end_of_stream;
        result.connectionRefused = closed && conn.buffer.size() == 0;
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
                                                kernel::milliseconds timeout, kernel::time_point sendBefore,
                                                exchange_priority priority, const process_check *check)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    exchange_result result;
    const usage_ptr usage = usageOf(peer);
    // A call doesn't overtake those of its own priority or a higher one.
    const auto waits = [&usage](exchange_priority other) {
        return !usage->waiting.at(static_cast<std::size_t>(other)).empty();
    };
    const bool isFirst = !waits(exchange_priority::urgent)
        && (priority == exchange_priority::urgent || !waits(exchange_priority::normal));
    bool begun = isFirst && mayBegin(*usage, priority);
    if (begun)
        ++usage->inUse;
    else
        begun = co_await awaitConnection(usage, priority, deadline);
    if (!begun) {
        result.status = exchange_status::expired;
        result.detail = "send: no free connection to the peer";
        co_return result;
    }
    std::exception_ptr failure;
    try {
        result = co_await exchangeNow(peer, usage, std::move(message), deadline, sendBefore, check);
    } catch (...) {
        failure = std::current_exception();
    }
    --usage->inUse;
    beginWaiting(*usage);
    if (failure)
        std::rethrow_exception(failure);
    co_return result;
}

task<exchange_result> connection_pool::identify(connection &conn, const process_check &check,
                                                steady_time deadline)
{
    request question = check.makeQuestion();
    question.prepare_payload();
    exchange_result result = co_await runExchange(conn, question, deadline);
    if (result.status != exchange_status::answered) {
        result.status = exchange_status::notSent;
        result.detail = "identify: " + result.detail;
        co_return result;
    }
    conn.identity = check.identityOf(result.answer);
    if (conn.identity != check.expected) {
        result.status = exchange_status::otherProcess;
        result.detail = "identify: another process than the expected one";
    } else if (!result.answer.keep_alive() || conn.buffer.size() > 0) {
        result.status = exchange_status::notSent;
        result.detail = "identify: the connection carries no further request";
    }
    co_return result;
}

task<exchange_result> connection_pool::exchangeNow(const std::string &peer, usage_ptr usage, request message,
                                                   steady_time deadline, kernel::time_point sendBefore,
                                                   const process_check *check)
{
    exchange_result result;
    connection_ptr conn = takeIdle(peer, check);
    const bool reused = conn != nullptr;
    if (!conn)
        conn = co_await connect(peer, usage, deadline, result.detail);
    if (!conn)
        co_return result;
    const bool isBound = check && !check->expected.empty();
    if (isBound && conn->identity.empty()) {
        result = co_await identify(*conn, *check, deadline);
        if (result.status != exchange_status::answered) {
            noteRefusal(*usage, result, reused);
            const bool isAnswered = result.status == exchange_status::otherProcess;
            if (isAnswered && result.answer.keep_alive() && conn->buffer.size() == 0)
                keep(peer, std::move(conn));
            co_return result;
        }
    }
    // Waiting and connecting may take longer than the caller's permission lasts.
    if (kernel::monotonicNow() >= sendBefore) {
        result.status = exchange_status::expired;
        result.detail = "send: the time to send the request has passed";
        keep(peer, std::move(conn));
        co_return result;
    }
    message.prepare_payload();
    result = co_await runExchange(*conn, message, deadline);
    noteRefusal(*usage, result, reused);
    const bool isAnswered = result.status == exchange_status::answered;
    if (isAnswered && check && !isBound)
        conn->identity = check->identityOf(result.answer);
    if (isAnswered && result.answer.keep_alive() && conn->buffer.size() == 0)
        keep(peer, std::move(conn));
    co_return result;
}

void connection_pool::noteRefusal(peer_usage &usage, exchange_result &result, bool reusedConnection)
{
    result.reusedConnection = reusedConnection;
    result.connectionRefused = result.connectionRefused && !reusedConnection;
    if (!result.connectionRefused)
        return;
    ++m_counters->refused;
    usage.refusedUntil = std::chrono::steady_clock::now() + m_limits.refusalBackoff;
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

void connection_pool::closeIdle()
{
    m_idle.clear();
}

void connection_pool::closeExpired()
{
    const steady_time now = std::chrono::steady_clock::now();
    for (auto &[peer, idle] : m_idle)
        std::erase_if(
            idle, [&](const connection_ptr &conn) { return now - conn->idleSince > m_limits.idleTimeout; });
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
    // Nothing else refers to a usage that is not in use.
    std::erase_if(m_usage, [now](const auto &entry) {
        return entry.second.use_count() == 1 && now >= entry.second->refusedUntil;
    });
}

std::size_t connection_pool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[peer, idle] : m_idle)
        count += idle.size();
    return count;
}

} // namespace almond::http
