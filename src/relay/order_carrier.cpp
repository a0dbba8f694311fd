#include "relay/order_carrier.h"

#include "observe/log.h"
#include "relay/relay_calls.h"

#include <stdexcept>

namespace almond::relay {

using kernel::task;
using nlohmann::json;
using observe::log_level;

order_carrier::order_carrier(carrier_context context)
    : m_context(std::move(context))
{
}

void order_carrier::provideCalls()
{
    m_context.peers->provide(calls::orders,
                             [this](json arguments) -> task<json> { co_return takeOrders(arguments); });
}

task<void> order_carrier::run()
{
    while (!m_stopping) {
        const std::string owner = m_context.owner();
        bool wanted = false;
        if (!owner.empty() && owner != m_context.ownAddress) {
            json offer;
            offer["address"] = m_context.ownAddress;
            offer["processorShare"] = m_context.processorShare;
            const auto answer = co_await m_context.peers->call(owner, calls::offer, std::move(offer),
                                                               m_context.rules.receiptTimeout);
            // Without an answer the owner may need help all the more.
            wanted = !answer || answer->value("wanted", false);
        }
        co_await kernel::sleepFor(wanted ? m_context.rules.offerInterval : m_context.rules.idleOfferInterval);
    }
}

json order_carrier::takeOrders(const json &arguments)
{
    const std::string owner = arguments.at("owner");
    try {
        for (const json &row : arguments.at("orders"))
            kernel::spawn(m_context.context->get_executor(), carryOut(owner, decodeOrder(row)));
    } catch (const std::invalid_argument &error) {
        observe::log(log_level::error, "an order can't be read; the owner will give it again",
                     {{"owner", owner}, {"error", error.what()}});
    }
    return json::object();
}

task<void> order_carrier::carryOut(std::string owner, carried_order order)
{
    carried_answer carried;
    carried.number = order.number;
    const jobs::worker_api &workers = m_context.workers;
    if (const auto *look = std::get_if<jobs::poll_order>(&order.order))
        carried.answer = co_await workers.poll(order.target, *look);
    else if (auto *start = std::get_if<jobs::start_order>(&order.order))
        carried.answer.result = co_await workers.start(order.target, std::move(*start));
    else if (auto *stop = std::get_if<stop_order>(&order.order))
        carried.answer.result = co_await workers.stop(order.target, std::move(stop->task), stop->run);
    else if (auto *pace = std::get_if<pace_order>(&order.order))
        carried.answer.result
            = co_await workers.throttle(order.target, std::move(pace->task), pace->run, pace->percent);
    bring(owner, carried);
}

void order_carrier::bring(const std::string &owner, const carried_answer &answer)
{
    outbox &box = m_outboxes[owner];
    box.answers.push_back(encodeAnswer(answer));
    if (box.travelling)
        return;
    box.travelling = true;
    kernel::spawn(m_context.context->get_executor(), flush(owner));
}

task<void> order_carrier::flush(std::string owner)
{
    co_await kernel::sleepFor(m_context.rules.gatherTime);
    json batch;
    outbox &box = m_outboxes[owner];
    batch["answers"] = std::exchange(box.answers, json::array());
    box.travelling = false;
    const std::size_t count = batch["answers"].size();
    const auto receipt = co_await m_context.peers->call(owner, calls::answers, std::move(batch),
                                                        m_context.rules.receiptTimeout);
    if (!receipt)
        observe::log(log_level::info, "answers of workers not taken by the owner",
                     {{"owner", owner}, {"answers", count}});
}

} // namespace almond::relay
