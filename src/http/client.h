#pragma once

#include "http/message.h"
#include "kernel/task.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almond::http {

//! How one exchange with a peer ended.
enum class exchange_status {
    answered,
    //! No byte of the request was sent: the peer certainly did not process it.
    notSent,
    //! The connection failed, or the response was malformed or truncated, after bytes had been sent: the
    //! peer may have processed the request.
    broken,
    //! No complete response arrived in time, after bytes had been sent.
    timedOut,
    //! The time until which the request might be sent had passed: no byte of it was sent.
    expired
};

//! Result of one exchange with a peer.
struct exchange_result
{
    exchange_status status = exchange_status::notSent;
    response answer;
    //! What failed; empty after an answered exchange.
    std::string detail;
    bool reusedConnection = false;
};

//! Limits of a connection_pool.
struct pool_limits
{
    //! Idle connections kept for each peer; further ones are closed.
    std::size_t idlePerPeer = 64;
    kernel::milliseconds connectTimeout{1000};
    //! Time after which an idle connection is not used again.
    kernel::milliseconds idleTimeout{30'000};
    //! Largest accepted response body.
    std::uint64_t answerBytes = 64ULL * 1024 * 1024;
};

//! An HTTP/1.1 client that reuses idle connections, with one request in flight on each connection.
//! Never sends a request twice: the caller decides whether to retry.
class connection_pool
{
public:
    connection_pool(boost::asio::io_context &context, pool_limits limits);

    //! Sends \a message to \a peer (IP:PORT) and awaits the complete response for at most \a timeout, which
    //! includes the time to connect. Sends it only before \a sendBefore on the clock of
    //! kernel::monotonicNow().
    kernel::task<exchange_result> exchange(std::string peer, request message, kernel::milliseconds timeout,
                                           kernel::time_point sendBefore = kernel::time_point::max());

    //! Closes the idle connections to \a peer.
    void forget(const std::string &peer);
    //! Number of idle connections to all peers.
    std::size_t idleCount() const;
    //! Number of open connections, idle or in use.
    std::size_t openCount() const { return m_open; }

private:
    struct connection
    {
        explicit connection(boost::asio::io_context &context, std::size_t &open);
        ~connection();
        connection(const connection &) = delete;
        connection &operator=(const connection &) = delete;

        boost::beast::tcp_stream tcpStream;
        boost::beast::flat_buffer buffer;
        std::chrono::steady_clock::time_point idleSince;
        std::size_t &open;
    };
    using connection_ptr = std::unique_ptr<connection>;
    using steady_time = std::chrono::steady_clock::time_point;

    connection_ptr takeIdle(const std::string &peer);
    kernel::task<connection_ptr> connect(const std::string &peer, steady_time deadline, std::string &detail);
    kernel::task<exchange_result> runExchange(connection &conn, const request &message, steady_time deadline);
    void keep(const std::string &peer, connection_ptr conn);

    boost::asio::io_context &m_context;
    pool_limits m_limits;
    std::map<std::string, std::vector<connection_ptr>> m_idle;
    std::size_t m_open = 0;
};

} // namespace almond::http
