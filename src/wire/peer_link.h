#pragma once

#include "kernel/loop_lag.h"
#include "wire/websocket_endpoint.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace almond::wire {

using json = nlohmann::json;

//! Handles one call from a peer and returns its result.
using method = std::function<kernel::task<json>(json arguments)>;

//! Messages and bytes of one kind of call.
struct call_traffic
{
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
};

//! Remote procedure calls between the processes of this system: CBOR messages over WebSocket. All calls to a
//! peer share one connection; a new one replaces it when it closes or no longer responds.
class peer_link
{
public:
    explicit peer_link(boost::asio::io_context &context);
    ~peer_link();

    //! Registers \a handler for calls of \a name. Register every method before listen().
    void provide(const std::string &name, method handler);
    //! Accepts connections from peers on \a address (IP:PORT). Throws std::runtime_error if that fails.
    void listen(const std::string &address);
    //! Calls the method \a name at \a peer (IP:PORT). Empty if no response arrived within \a timeout or the
    //! connection closed: the call may have been executed nevertheless. With \a ownLag the wait is longer by
    //! the lag of the own loop, see kernel::awaitDespiteLag().
    kernel::task<std::optional<json>> call(std::string peer, std::string name, json arguments,
                                           kernel::milliseconds timeout, kernel::lag_source ownLag = {});
    //! Stops accepting connections.
    void stop();

    //! Traffic since the start by the name of the call; responses count for their call.
    const std::map<std::string, call_traffic> &traffic() const { return m_traffic; }

private:
    struct pending_call;
    struct connection;

    connection &connectionTo(const std::string &address);
    void finishCall(const std::shared_ptr<pending_call> &call, bool responded);
    void closeIfUnused(connection_id id);
    void onOpened(connection_id id);
    void onReceived(connection_id id, const std::string &bytes);
    void onClosed(connection_id id);
    kernel::task<void> handleCall(connection_id id, json message, std::size_t bytes);

    boost::asio::io_context &m_context;
    std::unique_ptr<websocket_endpoint> m_endpoint;
    std::map<std::string, method> m_methods;
    //! The connection for the next call to a peer, by address; 0 if there is none.
    std::map<std::string, connection_id> m_currentConnections;
    //! Connections that this process opened.
    std::map<connection_id, connection> m_outgoing;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> m_pending;
    std::map<std::string, call_traffic> m_traffic;
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_malformedMessages = 0;
    //! Calls of peers whose handler threw.
    std::uint64_t m_failedCalls = 0;
};

} // namespace almond::wire
