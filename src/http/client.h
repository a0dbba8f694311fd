#pragma once

#include "http/message.h"
#include "kernel/completion.h"
#include "kernel/task.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
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
    //! The time until which the request might be sent had passed, or there was no free connection in time: no
    //! byte of it was sent, which tells nothing of the peer.
    expired,
    //! Another process than the expected one is at the other end: no byte of the request was sent.
    otherProcess
};

//! Makes sure that a request is received only by the process that it is meant for. A peer that restarts at
//! its address is another process, while a connection stays with one.
struct process_check
{
    //! Makes the request that is sent first on a connection whose process is not known yet.
    std::function<request()> makeQuestion;
    //! Returns the identity of the process that gave \a answer; empty if the answer doesn't tell.
    std::function<std::string(const response &answer)> identityOf;
    //! Identity of the process that may receive the request. Empty for any process; its identity is then
    //! taken from the answer to the request itself, without a question.
    std::string expected;
};

//! Result of one exchange with a peer.
struct exchange_result
{
    exchange_status status = exchange_status::notSent;
    //! With exchange_status::otherProcess the answer to the question.
    response answer;
    //! What failed; empty after an answered exchange.
    std::string detail;
    bool reusedConnection = false;
    //! The peer closed a new connection without a response, as one that has too many does.
    bool connectionRefused = false;
};

//! Which of the calls that wait for a connection to the same peer goes first.
enum class exchange_priority { normal, urgent };

//! Limits of a connection_pool.
struct pool_limits
{
    //! Open connections to one peer, in use or idle; 0 for any number. A call beyond them waits for one
    //! within its time limit. One of three or more is kept for urgent calls.
    std::size_t openPerPeer = 0;
    //! Idle connections kept for each peer; further ones are closed.
    std::size_t idlePerPeer = 64;
    kernel::milliseconds connectTimeout{1000};
    //! Time after which an idle connection is not used again.
    kernel::milliseconds idleTimeout{30'000};
    //! After a peer has refused a connection, calls use the open ones for this long.
    kernel::milliseconds refusalBackoff{1000};
    //! Largest accepted response body.
    std::uint64_t answerBytes = 64ULL * 1024 * 1024;
};

struct pool_counters
{
    //! Open connections, in use or idle.
    std::size_t open = 0;
    //! Most connections that were open to one peer at a time.
    std::size_t mostToOnePeer = 0;
    std::uint64_t opened = 0;
    //! New connections that the peer closed without a response.
    std::uint64_t refused = 0;
    //! Calls that waited for a connection, and those of them that got none in time.
    std::uint64_t waited = 0;
    std::uint64_t waitedInVain = 0;
};

//! An HTTP/1.1 client that reuses idle connections, with one request in flight on each connection.
//! Never sends a request twice: the caller decides whether to retry.
class connection_pool
{
public:
    connection_pool(boost::asio::io_context &context, pool_limits limits);

    //! Sends \a message to \a peer (IP:PORT) and awaits the complete response for at most \a timeout, which
    //! includes the time to wait for a connection and to connect. Sends it only before \a sendBefore on the
    //! clock of kernel::monotonicNow(), and only to the process that \a check permits; null for any. \a check
    //! must outlive the call.
    kernel::task<exchange_result> exchange(std::string peer, request message, kernel::milliseconds timeout,
                                           kernel::time_point sendBefore = kernel::time_point::max(),
                                           exchange_priority priority = exchange_priority::normal,
                                           const process_check *check = nullptr);

    //! Changes pool_limits::openPerPeer. Connections that are open stay open.
    void setOpenPerPeer(std::size_t limit);
    //! Closes the idle connections to \a peer.
    void forget(const std::string &peer);
    //! Closes all idle connections.
    void closeIdle();
    //! Closes the connections that have been idle for longer than pool_limits::idleTimeout.
    void closeExpired();
    //! Number of idle connections to all peers.
    std::size_t idleCount() const;
    //! Number of open connections, idle or in use.
    std::size_t openCount() const { return m_counters->open; }
    const pool_counters &counters() const { return *m_counters; }

private:
    using steady_time = std::chrono::steady_clock::time_point;
    using waiter = std::shared_ptr<kernel::completion<bool>>;

    //! The connections to one peer. Outlives the pool while a call is in progress.
    struct peer_usage
    {
        std::size_t open = 0;
        //! Calls that have a connection or open one. Each may use one, so the open connections beyond these
        //! are idle.
        std::size_t inUse = 0;
        //! Calls that wait for a connection, by exchange_priority.
        std::array<std::deque<waiter>, 2> waiting;
        //! Until then no further connection is opened.
        steady_time refusedUntil{};
    };
    using usage_ptr = std::shared_ptr<peer_usage>;

    struct connection
    {
        connection(boost::asio::io_context &context, std::shared_ptr<pool_counters> counters,
                   usage_ptr usage);
        ~connection();
        connection(const connection &) = delete;
        connection &operator=(const connection &) = delete;

        boost::beast::tcp_stream tcpStream;
        boost::beast::flat_buffer buffer;
        steady_time idleSince;
        //! What process_check::identityOf has returned; empty if it is not known yet.
        std::string identity;
        std::shared_ptr<pool_counters> counters;
        usage_ptr usage;
    };
    using connection_ptr = std::unique_ptr<connection>;

    usage_ptr usageOf(const std::string &peer);
    //! Whether one more call of \a priority may use a connection now.
    bool mayBegin(const peer_usage &usage, exchange_priority priority) const;
    void beginWaiting(peer_usage &usage);
    //! Awaits the permission to use a connection. Returns false after \a deadline.
    kernel::task<bool> awaitConnection(usage_ptr usage, exchange_priority priority, steady_time deadline);
    kernel::task<exchange_result> exchangeNow(const std::string &peer, usage_ptr usage, request message,
                                              steady_time deadline, kernel::time_point sendBefore,
                                              const process_check *check);
    //! Finds out which process is at the other end of \a conn. The result is answered if it is the expected
    //! one.
    kernel::task<exchange_result> identify(connection &conn, const process_check &check,
                                           steady_time deadline);
    connection_ptr takeIdle(const std::string &peer, const process_check *check);
    kernel::task<connection_ptr> connect(const std::string &peer, usage_ptr usage, steady_time deadline,
                                         std::string &detail);
    kernel::task<exchange_result> runExchange(connection &conn, const request &message, steady_time deadline);
    void keep(const std::string &peer, connection_ptr conn);
    //! Records in \a result how its connection was made, and backs off if the peer has refused it.
    void noteRefusal(peer_usage &usage, exchange_result &result, bool reusedConnection);

    boost::asio::io_context &m_context;
    pool_limits m_limits;
    std::shared_ptr<pool_counters> m_counters = std::make_shared<pool_counters>();
    std::map<std::string, usage_ptr> m_usage;
    std::map<std::string, std::vector<connection_ptr>> m_idle;
};

} // namespace almond::http
