#include "wire/peer_link.h"

#include "http/address.h"
#include "kernel/completion.h"
#include "observe/log.h"

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
    pending_call(asio::io_context &context, connection_id connection)
        : answer(context.get_executor())
        , link(connection)
    {
    }
    kernel::completion<json> answer;
    connection_id link;
};

struct peer_link::peer
{
    connection_id link = 0; // 0 while there is no connection
    bool open = false;
    std::vector<std::string> waiting;
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

peer_link::peer &peer_link::peerAt(const std::string &address)
{
    std::unique_ptr<peer> &place = m_peers[address];
    if (!place)
        place = std::make_unique<peer>();
    if (place->link == 0) {
        place->link = m_endpoint->connect(address);
        m_outgoing[place->link] = place.get();
    }
    return *place;
}

task<std::optional<json>> peer_link::call(std::string peer, std::string name, json arguments,
                                          kernel::milliseconds timeout)
{
    const std::uint64_t number = m_nextCall++;
    auto &target = peerAt(peer);
    auto pending = std::make_shared<pending_call>(m_context, target.link);
    m_pending[number] = pending;
    std::string bytes = encode({{"call", number}, {"method", name}, {"arguments", std::move(arguments)}});
    if (target.open)
        m_endpoint->send(target.link, bytes);
    else
        target.waiting.push_back(std::move(bytes));
    std::optional<json> answer = co_await pending->answer.wait(timeout);
    m_pending.erase(number);
    // A connection that lets a call time out may be silent for good; the next call opens another.
    if (!answer && target.link == pending->link && target.link != 0)
        abandon(pending->link);
    co_return answer;
}

void peer_link::abandon(connection_id id)
{
    m_endpoint->close(id);
    onClosed(id);
}

void peer_link::onOpened(connection_id id)
{
    const auto found = m_outgoing.find(id);
    if (found == m_outgoing.end())
        return;
    found->second->open = true;
    for (const std::string &bytes : found->second->waiting)
        m_endpoint->send(id, bytes);
    found->second->waiting.clear();
}

void peer_link::onClosed(connection_id id)
{
    const auto found = m_outgoing.find(id);
    if (found == m_outgoing.end())
        return;
    found->second->link = 0;
    found->second->open = false;
    found->second->waiting.clear();
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
