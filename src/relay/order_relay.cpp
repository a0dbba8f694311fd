#include "relay/order_relay.h"

#include "observe/log.h"
#include "relay/relay_calls.h"

#include <stdexcept>

namespace almond::relay {

using kernel::task;
using nlohmann::json;
using observe::log_level;

order_relay::order_relay(order_relay_dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

void order_relay::provideCalls()
{
    m_dependencies.peers->provide(
        calls::orders, [this](json arguments) -> task<json> { co_return handleOrders(arguments); });
}

task<void> order_relay::run()
{
    while (!m_stopping) {
        const std::string owner = m_dependencies.owner();
        bool wanted = false;
        if (!owner.empty() && owner != m_dependencies.ownAddress) {
            json offer;
            offer["address"] = m_dependencies.ownAddress;
            offer["processorShare"] = m_dependencies.processorShare;
            const auto response = co_await m_dependencies.peers->call(owner, calls::offer, std::move(offer),
                                                                      m_dependencies.rules.receiptTimeout);
            // An owner that does not respond may be overloaded, and so needs help.
            wanted = !response || (response->is_object() && response->value("wanted", json()) == json(true));
        }
        co_await kernel::sleepFor(wanted ? m_dependencies.rules.offerInterval
                                         : m_dependencies.rules.idleOfferInterval);
    }
}

json order_relay::handleOrders(const json &arguments)
{
    const std::string owner = arguments.at("owner");
    try {
        for (const json &row : arguments.at("orders"))
            kernel::spawn(m_dependencies.context->get_executor(), executeOrder(owner, decodeOrder(row)));
    } catch (const std::invalid_argument &error) {
        observe::log(log_level::error, "failed to decode a relayed order; the owner will send it again",
                     {{"owner", owner}, {"error", error.what()}});
    }
    return json::object();
}

task<void> order_relay::executeOrder(std::string owner, relayed_order order)
{
    relayed_response relayed;
    relayed.number = order.number;
    const jobs::worker_api &workers = m_dependencies.workers;
    if (const auto *poll = std::get_if<jobs::poll_order>(&order.order))
        relayed.response = co_await workers.poll(order.target, *poll);
    else if (auto *start = std::get_if<jobs::start_order>(&order.order))
        relayed.response.result = co_await workers.start(order.target, std::move(*start));
    else if (auto *stop = std::get_if<stop_order>(&order.order))
        relayed.response.result = co_await workers.stop(order.target, std::move(stop->task), stop->run);
    else if (auto *throttle = std::get_if<throttle_order>(&order.order))
        relayed.response.result = co_await workers.throttle(order.target, std::move(throttle->task),
                                                            throttle->run, throttle->percent);
    queueResponse(owner, relayed);
}

void order_relay::queueResponse(const std::string &owner, const relayed_response &response)
{
    outbox &box = m_outboxes[owner];
    box.responses.push_back(encodeResponse(response));
    if (box.flushScheduled)
        return;
    box.flushScheduled = true;
    kernel::spawn(m_dependencies.context->get_executor(), flush(owner));
}

task<void> order_relay::flush(std::string owner)
{
    co_await kernel::sleepFor(m_dependencies.rules.batchDelay);
    json batch;
    outbox &box = m_outboxes[owner];
    batch["answers"] = std::exchange(box.responses, json::array());
    box.flushScheduled = false;
    const std::size_t count = batch["answers"].size();
    const auto receipt = co_await m_dependencies.peers->call(owner, calls::responses, std::move(batch),
                                                             m_dependencies.rules.receiptTimeout);
    if (!receipt)
        observe::log(log_level::info, "the owner did not confirm a batch of responses of workers",
                     {{"owner", owner}, {"answers", count}});
}

} // namespace almond::relay
