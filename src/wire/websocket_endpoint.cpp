#include "wire/websocket_endpoint.h"

#include <boost/asio/io_context.hpp>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <map>
#include <stdexcept>

namespace almond::wire {

namespace {

constexpr std::size_t maximumMessageBytes = 64UL * 1024 * 1024;
constexpr long openTimeoutMs = 1000;

using server_type = websocketpp::server<websocketpp::config::asio>;
using client_type = websocketpp::client<websocketpp::config::asio_client>;
using handle_type = websocketpp::connection_hdl;

template<typename Endpoint>
void configure(Endpoint &endpoint, boost::asio::io_context &context)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context);
    endpoint.set_max_message_size(maximumMessageBytes);
    endpoint.set_open_handshake_timeout(openTimeoutMs);
}

} // namespace

struct websocket_endpoint::implementation
{
    struct connection_entry
    {
        handle_type handle;
        bool outgoing = false;
    };

    template<typename Endpoint>
    void installHandlers(Endpoint &endpoint)
    {
        endpoint.set_message_handler([this](handle_type handle, typename Endpoint::message_ptr message) {
            const auto found = idsByHandle.find(handle);
            if (found != idsByHandle.end())
                events.received(found->second, message->get_payload());
        });
        endpoint.set_close_handler([this](handle_type handle) { removeConnection(handle); });
        endpoint.set_fail_handler([this](handle_type handle) { removeConnection(handle); });
    }

    connection_id addConnection(const handle_type &handle, bool outgoing)
    {
        const connection_id id = nextId++;
        idsByHandle[handle] = id;
        connections[id] = {handle, outgoing};
        return id;
    }

    void removeConnection(const handle_type &handle)
    {
        const auto found = idsByHandle.find(handle);
        if (found == idsByHandle.end())
            return;
        const connection_id id = found->second;
        idsByHandle.erase(found);
        connections.erase(id);
        events.closed(id);
    }

    websocket_events events;
    server_type server;
    client_type client;
    std::map<handle_type, connection_id, std::owner_less<handle_type>> idsByHandle;
    std::map<connection_id, connection_entry> connections;
    connection_id nextId = 1;
};

websocket_endpoint::websocket_endpoint(boost::asio::io_context &context, websocket_events events)
    : m_implementation(std::make_unique<implementation>())
{
    implementation &self = *m_implementation;
    self.events = std::move(events);
    configure(self.server, context);
    configure(self.client, context);
    self.installHandlers(self.server);
    self.installHandlers(self.client);
    self.server.set_reuse_addr(true);
    self.server.set_open_handler(
        [&self](handle_type handle) { self.events.opened(self.addConnection(handle, false)); });
    self.client.set_open_handler([&self](handle_type handle) {
        const auto found = self.idsByHandle.find(handle);
        if (found != self.idsByHandle.end())
            self.events.opened(found->second);
    });
}

websocket_endpoint::~websocket_endpoint() = default;

void websocket_endpoint::listen(const std::string &host, std::uint16_t port)
{
    websocketpp::lib::error_code error;
    m_implementation->server.listen(host, std::to_string(port), error);
    if (error)
        throw std::runtime_error("can't listen on " + host + ":" + std::to_string(port) + ": "
                                 + error.message());
    m_implementation->server.start_accept(error);
}

connection_id websocket_endpoint::connect(const std::string &address)
{
    websocketpp::lib::error_code error;
    const auto connection = m_implementation->client.get_connection("ws://" + address, error);
    if (error)
        throw std::runtime_error("can't connect to " + address + ": " + error.message());
    const connection_id id = m_implementation->addConnection(connection->get_handle(), true);
    m_implementation->client.connect(connection);
    return id;
}

bool websocket_endpoint::send(connection_id id, const std::string &bytes)
{
    const auto found = m_implementation->connections.find(id);
    if (found == m_implementation->connections.end())
        return false;
    websocketpp::lib::error_code error;
    const auto &entry = found->second;
    if (entry.outgoing)
        m_implementation->client.send(entry.handle, bytes, websocketpp::frame::opcode::binary, error);
    else
        m_implementation->server.send(entry.handle, bytes, websocketpp::frame::opcode::binary, error);
    return !error;
}

void websocket_endpoint::close(connection_id id)
{
    const auto found = m_implementation->connections.find(id);
    if (found == m_implementation->connections.end())
        return;
    websocketpp::lib::error_code error;
    const auto entry = found->second;
    if (entry.outgoing)
        m_implementation->client.close(entry.handle, websocketpp::close::status::normal, "", error);
    else
        m_implementation->server.close(entry.handle, websocketpp::close::status::normal, "", error);
}

void websocket_endpoint::stop()
{
    websocketpp::lib::error_code error;
    if (m_implementation->server.is_listening())
        m_implementation->server.stop_listening(error);
}

} // namespace almond::wire
