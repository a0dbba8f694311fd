#pragma once

#include "http/message.h"
#include "kernel/task.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace almond::http {

//! Limits that protect a server from slow, oversized or too many requests.
struct server_limits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 16ULL * 1024 * 1024;
    //! Time within which a request must arrive completely after its first byte.
    kernel::milliseconds receiveTimeout{10'000};
    //! Time within which the client must receive the complete reply.
    kernel::milliseconds sendTimeout{30'000};
    //! Time for which a connection may stay open without a request.
    kernel::milliseconds idleTimeout{60'000};
    //! Open connections; further ones are closed at once.
    std::size_t connections = 4096;
};

//! Counters of one server since its start.
struct server_counters
{
    std::uint64_t accepted = 0;
    std::uint64_t requests = 0;
    std::uint64_t bodyTooLarge = 0;
    std::uint64_t headerTooLarge = 0;
    std::uint64_t malformed = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t refusedConnections = 0;
};

//! Handles one request and returns its reply. Called once for each request; calls for different connections
//! overlap.
using handler = std::function<kernel::task<reply>(request)>;

//! An HTTP/1.1 server with limits and graceful shutdown. Bodies over the limit get status 413, headers over
//! the limit 431. The connection of a client that exceeds a time limit is closed.
class server
{
public:
    server(boost::asio::io_context &context, server_limits limits, handler handle);

    //! Listens on \a address (IP:PORT; port 0 selects a free one). Throws boost::system::system_error.
    void listen(const std::string &address);
    std::uint16_t port() const;

    //! Limits the size of the requests that begin to arrive from now on.
    void setMessageLimits(std::uint32_t headerBytes, std::uint64_t bodyBytes);

    //! Asks the clients, with each reply from now on, to close their connections. New connections are still
    //! accepted.
    void announceClosing();

    //! Stops accepting connections, serves the requests that have arrived and closes each connection when it
    //! is idle. Connections that were waiting to be accepted may still send one request. Returns when all
    //! are closed or after \a limit.
    kernel::task<void> drain(kernel::milliseconds limit);

    std::size_t requestsInFlight() const { return m_inFlight; }
    std::size_t connectionCount() const { return m_sessions.size(); }
    const server_counters &counters() const { return m_counters; }

private:
    using stream = boost::beast::tcp_stream;
    struct session
    {
        stream tcpStream;
        boost::beast::flat_buffer buffer;
        bool busy = false;
        //! Has had a reply.
        bool served = false;
    };
    enum class read_outcome { complete, closed, rejected };

    kernel::task<void> acceptLoop();
    void startSession(boost::asio::ip::tcp::socket socket);
    //! Starts sessions for the connections in the listen queue: the kernel resets those that are left in it.
    void closeAcceptor();
    kernel::task<void> serve(std::shared_ptr<session> client);
    kernel::task<void> serveRequests(session &client);
    kernel::task<bool> receiveFirstBytes(session &client);
    kernel::task<read_outcome> readRequest(session &client, request &message);
    kernel::task<void> reject(session &client, boost::system::error_code error);
    kernel::task<bool> sendReply(session &client, reply answer, const request &requestHeader);
    void closeIdle(bool beforeFirstRequest);

    boost::asio::io_context &m_context;
    server_limits m_limits;
    handler m_handle;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<session>> m_sessions;
    std::size_t m_inFlight = 0;
    bool m_closing = false;
    server_counters m_counters;
};

} // namespace almond::http
