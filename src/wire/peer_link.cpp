#include "wire/peer_link.h"

#include "codec/bounded_json.h"
#include "http/address.h"
#include "kernel/completion.h"
#include "observe/log.h"

#include <utility>
#include <vector>

namespace almond::wire {

namespace asio = boost::asio;
using kernel::task;

namespace {

std::string encode(const json &message)
{
    std::string bytes;
    json::to_cbor(message, bytes);
    return bytes;
}

void countSent(call_traffic &traffic, std::size_t bytes)
{
    ++traffic.messagesSent;
    traffic.bytesSent += bytes;
}

//! Whether \a message has the members of a call or of a response, each of its type.
bool isWellFormed(const json &message)
{
    if (!message.is_object())
        return false;
    const auto call = message.find("call");
    const auto method = message.find("method");
    return call != message.end() && call->is_number_unsigned()
        && (method == message.end() || method->is_string());
}

} // namespace

struct peer_link::pending_call
{
    pending_call(asio::io_context &context, connection_id id, std::uint64_t received, call_traffic &counted)
        : response(context.get_executor())
        , connectionId(id)
        , receivedBefore(received)
        , traffic(counted)
    {
    }
    kernel::completion<json> response;
    connection_id connectionId;
    //! Messages that had been received on the connection when the call was made.
    std::uint64_t receivedBefore;
    //! Traffic of all calls of this name.
    call_traffic &traffic;
};

struct peer_link::connection
{
    std::string address;
    connection_id id = 0;
    bool open = false;
    //! Messages to send once the connection is open.
    std::vector<std::string> unsentMessages;
    std::size_t pendingCalls = 0;
    std::uint64_t receivedMessages = 0;
};

peer_link::peer_link(asio::io_context &context)
    : m_context(context)
{
    websocket_events events;
    events.opened = [this](connection_id id) { onOpened(id); };
    events.received = [this](connection_id id, const std::string &bytes) { onReceived(id, bytes); };
    events.closed = [this](connection_id id) { onClosed(id); };
    m_endpoint = std::make_unique<websocket_endpoint>(context, std::move(events));
}

peer_link::~peer_link() = default;

void peer_link::provide(const std::string &name, method handler)
{
    m_methods[name] = std::move(handler);
}

void peer_link::listen(const std::string &address)
{
    const http::host_port own = http::splitAddress(address);
    m_endpoint->listen(own.host, own.port);
}

void peer_link::stop()
{
    m_endpoint->stop();
}

peer_link::connection &peer_link::connectionTo(const std::string &address)
{
    connection_id &id = m_currentConnections[address];
    if (id == 0)
        id = m_endpoint->connect(address);
    connection &conn = m_outgoing[id];
    conn.address = address;
    conn.id = id;
    return conn;
}

task<std::optional<json>> peer_link::call(std::string peer, std::string name, json arguments,
                                          kernel::milliseconds timeout, kernel::lag_source ownLag)
{
    if (!http::isPeerAddress(peer))
        co_return std::nullopt;
    const kernel::time_point sentAt = kernel::monotonicNow();
    const std::uint64_t number = m_nextCall++;
    connection *opened = nullptr;
    try {
        opened = &connectionTo(peer);
    } catch (const std::exception &error) {
        observe::logLimited(observe::log_level::warning, "can't connect to a peer",
                            {{"peer", peer}, {"error", error.what()}}, kernel::monotonicNow());
    }
    if (!opened)
        co_return std::nullopt;
    connection &conn = *opened;
    auto pending = std::make_shared<pending_call>(m_context, conn.id, conn.receivedMessages, m_traffic[name]);
    m_pending[number] = pending;
    ++conn.pendingCalls;
    std::string bytes = encode({{"call", number}, {"method", name}, {"arguments", std::move(arguments)}});
    countSent(pending->traffic, bytes.size());
    if (conn.open)
        m_endpoint->send(conn.id, bytes);
    else
        conn.unsentMessages.push_back(std::move(bytes));
    std::optional<json> response
        = co_await kernel::awaitDespiteLag(pending->response, timeout, ownLag, sentAt);
    m_pending.erase(number);
    finishCall(pending, response.has_value());
    co_return response;
}

void peer_link::finishCall(const std::shared_ptr<pending_call> &call, bool responded)
{
    const auto found = m_outgoing.find(call->connectionId);
    if (found == m_outgoing.end())
        return;
    connection &conn = found->second;
    --conn.pendingCalls;
    // If nothing was received on the connection while the call waited, the connection may be dead without
    // being closed: the next call opens another one. This one stays open for its other pending calls, which
    // may still get their responses.
    connection_id &current = m_currentConnections[conn.address];
    if (!responded && conn.receivedMessages == call->receivedBefore && current == conn.id)
        current = 0;
    closeIfUnused(conn.id);
}

void peer_link::closeIfUnused(connection_id id)
{
    const auto found = m_outgoing.find(id);
    if (found == m_outgoing.end() || found->second.pendingCalls > 0
        || m_currentConnections[found->second.address] == id)
        return;
    m_outgoing.erase(found);
    m_endpoint->close(id);
}

void peer_link::onOpened(connection_id id)
{
    const auto found = m_outgoing.find(id);
    if (found == m_outgoing.end())
        return;
    found->second.open = true;
    for (const std::string &bytes : std::exchange(found->second.unsentMessages, {}))
        m_endpoint->send(id, bytes);
}

void peer_link::onClosed(connection_id id)
{
    const auto found = m_outgoing.find(id);
    if (found == m_outgoing.end())
        return;
    connection_id &current = m_currentConnections[found->second.address];
    if (current == id)
        current = 0;
    m_outgoing.erase(found);
    for (const auto &[number, pending] : m_pending) {
        if (pending->connectionId == id)
            pending->response.abandon();
    }
}

void peer_link::onReceived(connection_id id, const std::string &bytes)
{
    std::optional<json> parsed = codec::parseCbor(bytes);
    if (!parsed || !isWellFormed(*parsed)) {
        ++m_malformedMessages;
        observe::logLimited(observe::log_level::warning, "malformed message from a peer ignored",
                            {{"bytes", bytes.size()}, {"total", m_malformedMessages}},
                            kernel::monotonicNow());
        return;
    }
    json message = std::move(*parsed);
    if (message.contains("method")) {
        kernel::spawn(m_context.get_executor(), handleCall(id, std::move(message), bytes.size()));
        return;
    }
    const auto conn = m_outgoing.find(id);
    if (conn != m_outgoing.end())
        ++conn->second.receivedMessages;
    const auto found = m_pending.find(message["call"].get<std::uint64_t>());
    if (found == m_pending.end())
        return;
    ++found->second->traffic.messagesReceived;
    found->second->traffic.bytesReceived += bytes.size();
    found->second->response.complete(std::move(message["result"]));
}

task<void> peer_link::handleCall(connection_id id, json message, std::size_t bytes)
{
    const auto found = m_methods.find(message["method"].get_ref<const std::string &>());
    if (found == m_methods.end()) {
        observe::logLimited(observe::log_level::warning, "peer called an unknown method; no response sent",
                            {{"method", message["method"]}}, kernel::monotonicNow());
        co_return;
    }
    call_traffic &traffic = m_traffic[found->first];
    ++traffic.messagesReceived;
    traffic.bytesReceived += bytes;
    try {
        json result = co_await found->second(std::move(message["arguments"]));
        const std::string response = encode({{"call", message["call"]}, {"result", std::move(result)}});
        countSent(traffic, response.size());
        m_endpoint->send(id, response);
    } catch (const std::exception &error) {
        ++m_failedCalls;
        observe::logLimited(
            observe::log_level::warning, "call from a peer failed; no response sent",
            {{"method", message["method"]}, {"error", error.what()}, {"total", m_failedCalls}},
            kernel::monotonicNow());
    }
}

} // namespace almond::wire
