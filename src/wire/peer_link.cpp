#include "wire/peer_link.h"

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
    const std::vector<std::uint8_t> bytes = json::to_cbor(message);
    return {bytes.begin(), bytes.end()};
}

json decode(const std::string &bytes)
{
    return json::from_cbor(bytes, true, false);
}

} // namespace

struct peer_link::pending_call
{
    pending_call(asio::io_context &context, connection_id connection, std::uint64_t received)
        : answer(context.get_executor())
        , link(connection)
        , receivedBefore(received)
    {
    }
    kernel::completion<json> answer;
    connection_id link;
    //! Messages that had come on the connection when the call left.
    std::uint64_t receivedBefore;
};

struct peer_link::connection
{
    std::string address;
    connection_id id = 0;
    bool open = false;
    //! Messages that leave once it is open.
    std::vector<std::string> waiting;
    std::size_t calls = 0;
    std::uint64_t received = 0;
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

void peer_link::provide(const std::string &name, method answer)
{
    m_methods[name] = std::move(answer);
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
    connection_id &id = m_peers[address];
    if (id == 0)
        id = m_endpoint->connect(address);
    connection &link = m_outgoing[id];
    link.address = address;
    link.id = id;
    return link;
}

task<std::optional<json>> peer_link::call(std::string peer, std::string name, json arguments,
                                          kernel::milliseconds timeout)
{
    const std::uint64_t number = m_nextCall++;
    connection &link = connectionTo(peer);
    auto pending = std::make_shared<pending_call>(m_context, link.id, link.received);
    m_pending[number] = pending;
    ++link.calls;
    std::string bytes = encode({{"call", number}, {"method", name}, {"arguments", std::move(arguments)}});
    if (link.open)
        m_endpoint->send(link.id, bytes);
    else
        link.waiting.push_back(std::move(bytes));
    std::optional<json> answer = co_await pending->answer.wait(timeout);
    m_pending.erase(number);
    release(pending, answer.has_value());
    co_return answer;
}

void peer_link::release(const std::shared_ptr<pending_call> &call, bool answered)
{
    const auto found = m_outgoing.find(call->link);
    if (found == m_outgoing.end())
        return;
    connection &link = found->second;
    --link.calls;
    // A connection on which nothing has come while a call timed out may be silent for good; the next call
    // opens another. The calls that wait on this one may still be answered.
    connection_id &present = m_peers[link.address];
    if (!answered && link.received == call->receivedBefore && present == link.id)
        present = 0;
    closeIfUnused(link.id);
}

void peer_link::closeIfUnused(connection_id id)
{
    const auto found = m_outgoing.find(id);
    if (found == m_outgoing.end() || found->second.calls > 0 || m_peers[found->second.address] == id)
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
    for (const std::string &bytes : std::exchange(found->second.waiting, {}))
        m_endpoint->send(id, bytes);
}

void peer_link::onClosed(connection_id id)
{
    const auto found = m_outgoing.find(id);
    if (found == m_outgoing.end())
        return;
    connection_id &present = m_peers[found->second.address];
    if (present == id)
        present = 0;
    m_outgoing.erase(found);
    for (const auto &[number, pending] : m_pending) {
        if (pending->link == id)
            pending->answer.abandon();
    }
}

void peer_link::onReceived(connection_id id, const std::string &bytes)
{
    json message = decode(bytes);
    if (!message.is_object())
        return;
    if (message.contains("method")) {
        kernel::spawn(m_context.get_executor(), answerCall(id, std::move(message)));
        return;
    }
    const auto link = m_outgoing.find(id);
    if (link != m_outgoing.end())
        ++link->second.received;
    const auto found = m_pending.find(message.value("call", std::uint64_t{0}));
    if (found == m_pending.end())
        return;
    found->second->answer.complete(std::move(message["result"]));
}

task<void> peer_link::answerCall(connection_id id, json message)
{
    const auto found = m_methods.find(message.value("method", ""));
    if (found == m_methods.end()) {
        observe::log(observe::log_level::warning, "unknown method called", {{"method", message["method"]}});
        co_return;
    }
    try {
        json result = co_await found->second(message["arguments"]);
        m_endpoint->send(id, encode({{"call", message["call"]}, {"result", std::move(result)}}));
    } catch (const json::exception &error) {
        observe::log(observe::log_level::warning, "malformed call", {{"error", error.what()}});
    }
}

} // namespace almond::wire
