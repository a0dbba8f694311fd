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
void prepare(Endpoint &endpoint, boost::asio::io_context &context)
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
    struct link
    {
        handle_type handle;
        bool outgoing = false;
    };

    template<typename Endpoint>
    void attach(Endpoint &endpoint)
    {
        endpoint.set_message_handler([this](handle_type handle, typename Endpoint::message_ptr message) {
            const auto found = ids.find(handle);
            if (found != ids.end())
                events.received(found->second, message->get_payload());
        });
        endpoint.set_close_handler([this](handle_type handle) { dropped(handle); });
        endpoint.set_fail_handler([this](handle_type handle) { dropped(handle); });
    }

    connection_id add(const handle_type &handle, bool outgoing)
    {
        const connection_id id = nextId++;
        ids[handle] = id;
        links[id] = {handle, outgoing};
        return id;
    }

    void dropped(const handle_type &handle)
    {
        const auto found = ids.find(handle);
        if (found == ids.end())
            return;
        const connection_id id = found->second;
        ids.erase(found);
        links.erase(id);
        events.closed(id);
    }

    websocket_events events;
    server_type server;
    client_type client;
    std::map<handle_type, connection_id, std::owner_less<handle_type>> ids;
    std::map<connection_id, link> links;
    connection_id nextId = 1;
};

websocket_endpoint::websocket_endpoint(boost::asio::io_context &context, websocket_events events)
    : m_implementation(std::make_unique<implementation>())
{
    implementation &self = *m_implementation;
    self.events = std::move(events);
    prepare(self.server, context);
    prepare(self.client, context);
    self.attach(self.server);
    self.attach(self.client);
    self.server.set_reuse_addr(true);
    self.server.set_open_handler(
        [&self](handle_type handle) { self.events.opened(self.add(handle, false)); });
    self.client.set_open_handler([&self](handle_type handle) {
        const auto found = self.ids.find(handle);
        if (found != self.ids.end())
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
    const connection_id id = m_implementation->add(connection->get_handle(), true);
    m_implementation->client.connect(connection);
    return id;
}

bool websocket_endpoint::send(connection_id id, const std::string &bytes)
{
    const auto found = m_implementation->links.find(id);
    if (found == m_implementation->links.end())
        return false;
    websocketpp::lib::error_code error;
    const auto &link = found->second;
    if (link.outgoing)
        m_implementation->client.send(link.handle, bytes, websocketpp::frame::opcode::binary, error);
    else
        m_implementation->server.send(link.handle, bytes, websocketpp::frame::opcode::binary, error);
    return !error;
}

void websocket_endpoint::close(connection_id id)
{
    const auto found = m_implementation->links.find(id);
    if (found == m_implementation->links.end())
        return;
    websocketpp::lib::error_code error;
    const auto link = found->second;
    if (link.outgoing)
        m_implementation->client.close(link.handle, websocketpp::close::status::normal, "", error);
    else
        m_implementation->server.close(link.handle, websocketpp::close::status::normal, "", error);
}

void websocket_endpoint::stop()
{
    websocketpp::lib::error_code error;
    if (m_implementation->server.is_listening())
        m_implementation->server.stop_listening(error);
}

} // namespace almond::wire
