#pragma once

#include "kernel/task.h"
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

//! Answers one call of a peer.
using method = std::function<kernel::task<json>(json arguments)>;

//! Calls between the system's own processes: CBOR over WebSocket, one connection to each peer.
class peer_link
{
public:
    explicit peer_link(boost::asio::io_context &context);
    ~peer_link();

    //! Offers \a name to peers. Register every method before listen().
    void provide(const std::string &name, method answer);
    //! Accepts peers on \a address (IP:PORT). Throws std::runtime_error.
    void listen(const std::string &address);
    //! Calls \a name at \a peer. Empty when no answer came in time: the call may have been carried out.
    kernel::task<std::optional<json>> call(std::string peer, std::string name, json arguments,
                                           kernel::milliseconds timeout);
    void stop();

private:
    struct pending_call;
    struct connection;

    connection &connectionTo(const std::string &address);
    void release(const std::shared_ptr<pending_call> &call, bool answered);
    void closeIfUnused(connection_id id);
    void onOpened(connection_id id);
    void onReceived(connection_id id, const std::string &bytes);
    void onClosed(connection_id id);
    kernel::task<void> answerCall(connection_id id, json message);

    boost::asio::io_context &m_context;
    std::unique_ptr<websocket_endpoint> m_endpoint;
    std::map<std::string, method> m_methods;
    //! The connection on which the next call to a peer leaves.
    std::map<std::string, connection_id> m_peers;
    //! Connections that this side has opened.
    std::map<connection_id, connection> m_outgoing;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> m_pending;
    std::uint64_t m_nextCall = 1;
};

} // namespace almond::wire
