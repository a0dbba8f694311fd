#pragma once

// Included by a C++17 target: no C++20 here.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace almond::wire {

//! Identifies one open connection of a websocket_endpoint.
using connection_id = std::uint64_t;

//! What an endpoint tells its user.
struct websocket_events
{
    std::function<void(connection_id)> opened;
    std::function<void(connection_id, const std::string &bytes)> received;
    //! Called once for each connection, also for one that could not be opened.
    std::function<void(connection_id)> closed;
};

//! Binary messages over WebSocket connections, in both directions, on an io_context of the caller's.
class websocket_endpoint
{
public:
    websocket_endpoint(boost::asio::io_context &context, websocket_events events);
    ~websocket_endpoint();
    websocket_endpoint(const websocket_endpoint &) = delete;
    websocket_endpoint &operator=(const websocket_endpoint &) = delete;

    //! Listens on \a host (an IP number) and \a port. Throws std::runtime_error.
    void listen(const std::string &host, std::uint16_t port);
    //! Opens a connection; opened or closed follows.
    connection_id connect(const std::string &address);
    //! Sends \a bytes; false when the connection is not open.
    bool send(connection_id id, const std::string &bytes);
    void close(connection_id id);
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace almond::wire
