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
    //! No byte of the request left this process.
    notSent,
    //! The connection broke, or the answer was malformed or short, after bytes had left.
    broken,
    //! No whole answer arrived in time, after bytes had left.
    timedOut
};

struct exchange_result
{
    exchange_status status = exchange_status::notSent;
    response answer;
    std::string detail;
    bool reusedConnection = false;
};

//! Bounds of a connection_pool.
struct pool_limits
{
    std::size_t idlePerPeer = 64;
    kernel::milliseconds connectTimeout{1000};
    kernel::milliseconds idleTimeout{30'000};
    std::uint64_t answerBytes = 64ULL * 1024 * 1024;
};

//! HTTP/1.1 exchanges over kept connections, one request in flight on each. Never sends a request twice.
class connection_pool
{
public:
    connection_pool(boost::asio::io_context &context, pool_limits limits);

    //! Sends \a message to \a peer (IP:PORT) and awaits the whole answer until \a timeout has passed.
    kernel::task<exchange_result> exchange(std::string peer, request message, kernel::milliseconds timeout);

    //! Closes the idle connections to \a peer.
    void forget(const std::string &peer);
    std::size_t idleCount() const;
    std::size_t openCount() const { return m_open; }

private:
    struct connection
    {
        explicit connection(boost::asio::io_context &context, std::size_t &open);
        ~connection();
        connection(const connection &) = delete;
        connection &operator=(const connection &) = delete;

        boost::beast::tcp_stream link;
        boost::beast::flat_buffer buffer;
        std::chrono::steady_clock::time_point idleSince;
        std::size_t &open;
    };
    using connection_ptr = std::unique_ptr<connection>;
    using steady_time = std::chrono::steady_clock::time_point;

    connection_ptr takeIdle(const std::string &peer);
    kernel::task<connection_ptr> connect(const std::string &peer, steady_time deadline, std::string &detail);
    kernel::task<exchange_result> runExchange(connection &link, const request &message, steady_time deadline);
    void keep(const std::string &peer, connection_ptr link);

    boost::asio::io_context &m_context;
    pool_limits m_limits;
    std::map<std::string, std::vector<connection_ptr>> m_idle;
    std::size_t m_open = 0;
};

} // namespace almond::http
