#pragma once

// A target compiled as C++17 includes this header, so it must not use C++20.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace almond::wire {

//! Identifies one connection of a websocket_endpoint; never 0.
using connection_id = std::uint64_t;

//! Callbacks of a websocket_endpoint.
struct websocket_events
{
    std::function<void(connection_id)> opened;
    std::function<void(connection_id, const std::string &bytes)> received;
    //! Called once for each connection, also if it could not be opened.
    std::function<void(connection_id)> closed;
};

//! Accepts and opens WebSocket connections and exchanges binary messages over them. Runs on the io_context
//! that the caller supplies.
class websocket_endpoint
{
public:
    websocket_endpoint(boost::asio::io_context &context, websocket_events events);
    ~websocket_endpoint();
    websocket_endpoint(const websocket_endpoint &) = delete;
    websocket_endpoint &operator=(const websocket_endpoint &) = delete;

    //! Listens on \a host (an IP address) and \a port. Throws std::runtime_error if that fails.
    void listen(const std::string &host, std::uint16_t port);
    //! Starts to connect to \a address (IP:PORT); the event opened or closed reports the outcome. Throws
    //! std::runtime_error if \a address is invalid.
    connection_id connect(const std::string &address);
    //! Sends \a bytes as one message. Returns false if the connection \a id is not open.
    bool send(connection_id id, const std::string &bytes);
    void close(connection_id id);
    //! Stops listening; open connections stay open.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace almond::wire
