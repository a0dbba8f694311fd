#include "relay/order_dispatcher.h"

#include "observe/log.h"
#include "relay/relay_calls.h"

#include <stdexcept>

namespace almond::relay {

using jobs::order_response;
using jobs::poll_response;
using kernel::task;
using nlohmann::json;
using observe::log_level;

namespace {

//! Makes an order for a relay. Its number is set when it is sent.
template<typename Order>
relayed_order makeRelayedOrder(jobs::order_target target, Order order)
{
    relayed_order result;
    result.target = std::move(target);
    result.order = std::move(order);
    return result;
}

} // namespace

struct order_dispatcher::pending_order
{
    pending_order(boost::asio::io_context &context, std::string relay)
        : response(context.get_executor())
        , host(std::move(relay))
    {
    }
    kernel::completion<poll_response> response;
    std::string host;
};

order_dispatcher::order_dispatcher(order_dispatcher_dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_nextNumber(firstOrderNumber(kernel::systemNow()))
{
}

void order_dispatcher::provideCalls()
{
    m_dependencies.peers->provide(calls::offer,
                                  [this](json arguments) -> task<json> { co_return handleOffer(arguments); });
    m_dependencies.peers->provide(
        calls::responses, [this](json arguments) -> task<json> { co_return handleResponses(arguments); });
}

std::size_t order_dispatcher::usableRelays() const
{
    std::size_t count = 0;
    for (const auto &[address, host] : m_table.hosts)
        count += isUsable(host, m_dependencies.rules, m_dependencies.clock()) ? 1 : 0;
    return count;
}

json order_dispatcher::handleOffer(const json &arguments)
{
    relay::recordOffer(m_table, arguments.at("address"), arguments.at("processorShare"),
                       m_dependencies.clock());
    removeExpiredHosts();
    json response;
    response["wanted"]
        = needsRelays(m_dependencies.rules, m_dependencies.processorShare, m_dependencies.workerCount());
    return response;
}

json order_dispatcher::handleResponses(const json &arguments)
{
    try {
        for (const json &row : arguments.at("answers")) {
            relayed_response relayed = decodeResponse(row);
            const auto pending = m_pending.find(relayed.number);
            if (pending != m_pending.end())
                pending->second->response.complete(std::move(relayed.response));
        }
    } catch (const std::invalid_argument &error) {
        observe::log(log_level::error, "failed to decode a relayed response; its order counts as unanswered",
                     {{"error", error.what()}});
    }
    return json::object();
}

void order_dispatcher::removeExpiredHosts()
{
    const time_point now = m_dependencies.clock();
    for (auto host = m_table.hosts.begin(); host != m_table.hosts.end();) {
        const bool expired = now - host->second.lastOfferAt > m_dependencies.rules.offerValidity;
        if (expired) {
            abandon(host->first);
            m_relaysChosenAt = time_point{};
        }
        host = expired ? m_table.hosts.erase(host) : std::next(host);
    }
}

void order_dispatcher::abandon(const std::string &host)
{
    std::size_t count = 0;
    for (const auto &[number, pending] : m_pending) {
        if (pending->host != host)
            continue;
        pending->response.abandon();
        ++count;
    }
    m_counters.abandoned += count;
    if (count > 0)
        observe::log(log_level::warning, "lost a relay: its orders count as unanswered",
                     {{"host", host}, {"ordersWithoutAnswer", count}});
}

std::string order_dispatcher::relayForOrder(const jobs::order_target &target)
{
    const time_point now = m_dependencies.clock();
    if (m_relaysChosenAt == time_point{}
        || now - m_relaysChosenAt >= m_dependencies.rules.reselectionInterval) {
        const std::size_t workers = m_dependencies.workerCount();
        const bool needed = needsRelays(m_dependencies.rules, m_dependencies.processorShare, workers);
        m_relays
            = needed ? chooseRelays(m_table, m_dependencies.rules, workers, now) : std::vector<std::string>();
        m_relaysChosenAt = now;
    }
    std::string relay(relayFor(m_relays, target.workerId));
    ++(relay.empty() ? m_counters.direct : m_counters.viaRelay);
    return relay;
}

task<poll_response> order_dispatcher::sendThroughRelay(std::string host, relayed_order order)
{
    const auto *poll = std::get_if<jobs::poll_order>(&order.order);
    const milliseconds timeout = m_dependencies.rules.responseTimeout + (poll ? poll->wait : milliseconds(0));
    const std::uint64_t number = m_nextNumber++;
    order.number = number;
    const auto pending = std::make_shared<pending_order>(*m_dependencies.context, host);
    m_pending[number] = pending;
    outbox &box = m_outboxes[host];
    box.orders.push_back(encodeOrder(order));
    if (!box.flushScheduled) {
        box.flushScheduled = true;
        kernel::spawn(m_dependencies.context->get_executor(), flush(host));
    }
    std::optional<poll_response> response = co_await pending->response.wait(timeout);
    m_pending.erase(number);
    if (!response) {
        response.emplace();
        response->result.detail = "no response through relay " + host;
    }
    co_return std::move(*response);
}

task<void> order_dispatcher::flush(std::string host)
{
    co_await kernel::sleepFor(m_dependencies.rules.batchDelay);
    json batch;
    batch["owner"] = m_dependencies.ownAddress;
    outbox &box = m_outboxes[host];
    batch["orders"] = std::exchange(box.orders, json::array());
    box.flushScheduled = false;
    const auto receipt = co_await m_dependencies.peers->call(host, calls::orders, std::move(batch),
                                                             m_dependencies.rules.receiptTimeout);
    if (receipt)
        co_return;
    suspend(m_table, m_dependencies.rules, host, m_dependencies.clock());
    m_relaysChosenAt = time_point{};
    abandon(host);
}

jobs::worker_api order_dispatcher::port()
{
    jobs::worker_api port;
    port.start = [this](jobs::order_target target, jobs::start_order order) -> task<order_response> {
        const std::string host = relayForOrder(target);
        if (host.empty())
            co_return co_await m_dependencies.direct.start(std::move(target), std::move(order));
        const poll_response response
            = co_await sendThroughRelay(host, makeRelayedOrder(std::move(target), std::move(order)));
        co_return response.result;
    };
    port.stop
        = [this](jobs::order_target target, jobs::task_name name, std::uint32_t run) -> task<order_response> {
        const std::string host = relayForOrder(target);
        if (host.empty())
            co_return co_await m_dependencies.direct.stop(std::move(target), std::move(name), run);
        stop_order order{std::move(name), run};
        const poll_response response
            = co_await sendThroughRelay(host, makeRelayedOrder(std::move(target), std::move(order)));
        co_return response.result;
    };
    port.poll = [this](jobs::order_target target, jobs::poll_order order) -> task<poll_response> {
        const std::string host = relayForOrder(target);
        if (host.empty())
            co_return co_await m_dependencies.direct.poll(std::move(target), order);
        co_return co_await sendThroughRelay(host, makeRelayedOrder(std::move(target), order));
    };
    port.throttle = [this](jobs::order_target target, jobs::task_name name, std::uint32_t run,
                           int percent) -> task<order_response> {
        const std::string host = relayForOrder(target);
        if (host.empty())
            co_return co_await m_dependencies.direct.throttle(std::move(target), std::move(name), run,
                                                              percent);
        throttle_order order{std::move(name), run, percent};
        const poll_response response
            = co_await sendThroughRelay(host, makeRelayedOrder(std::move(target), std::move(order)));
        co_return response.result;
    };
    return port;
}

} // namespace almond::relay
