#include "relay/order_dispatcher.h"

#include "observe/log.h"
#include "relay/relay_calls.h"

#include <stdexcept>

namespace almond::relay {

using jobs::look_answer;
using jobs::order_answer;
using kernel::task;
using nlohmann::json;
using observe::log_level;

namespace {

//! An order as it is given to a carrier; its number comes when it leaves.
template<typename Order>
relayed_order carried(jobs::order_target target, Order order)
{
    relayed_order result;
    result.target = std::move(target);
    result.order = std::move(order);
    return result;
}

} // namespace

struct order_dispatcher::pending_order
{
    pending_order(boost::asio::io_context &context, std::string carrier)
        : answer(context.get_executor())
        , host(std::move(carrier))
    {
    }
    kernel::completion<look_answer> answer;
    std::string host;
};

order_dispatcher::order_dispatcher(order_dispatcher_dependencies context)
    : m_context(std::move(context))
    , m_next(firstOrderNumber(kernel::systemNow()))
{
}

void order_dispatcher::provideCalls()
{
    m_context.peers->provide(calls::offer,
                             [this](json arguments) -> task<json> { co_return handleOffer(arguments); });
    m_context.peers->provide(calls::answers,
                             [this](json arguments) -> task<json> { co_return handleAnswers(arguments); });
}

std::size_t order_dispatcher::usableRelays() const
{
    std::size_t count = 0;
    for (const auto &[address, host] : m_table.hosts)
        count += isUsable(host, m_context.rules, m_context.clock()) ? 1 : 0;
    return count;
}

json order_dispatcher::handleOffer(const json &arguments)
{
    relay::recordOffer(m_table, arguments.at("address"), arguments.at("processorShare"), m_context.clock());
    dropSilentHosts();
    json answer;
    answer["wanted"] = needsRelays(m_context.rules, m_context.processorShare, m_context.workerCount());
    return answer;
}

json order_dispatcher::handleAnswers(const json &arguments)
{
    try {
        for (const json &row : arguments.at("answers")) {
            relayed_answer carried = decodeAnswer(row);
            const auto pending = m_pending.find(carried.number);
            if (pending != m_pending.end())
                pending->second->answer.complete(std::move(carried.answer));
        }
    } catch (const std::invalid_argument &error) {
        observe::log(log_level::error, "an answer can't be read; its order counts as unanswered",
                     {{"error", error.what()}});
    }
    return json::object();
}

void order_dispatcher::dropSilentHosts()
{
    const time_point now = m_context.clock();
    for (auto host = m_table.hosts.begin(); host != m_table.hosts.end();) {
        const bool silent = now - host->second.lastOfferAt > m_context.rules.offerValidity;
        if (silent) {
            abandon(host->first);
            m_relaysChosenAt = time_point{};
        }
        host = silent ? m_table.hosts.erase(host) : std::next(host);
    }
}

void order_dispatcher::abandon(const std::string &host)
{
    std::size_t count = 0;
    for (const auto &[number, pending] : m_pending) {
        if (pending->host != host)
            continue;
        pending->answer.abandon();
        ++count;
    }
    m_counters.abandoned += count;
    if (count > 0)
        observe::log(log_level::warning, "a host that carries orders was lost",
                     {{"host", host}, {"ordersWithoutAnswer", count}});
}

std::string order_dispatcher::relayForOrder(const jobs::order_target &target)
{
    const time_point now = m_context.clock();
    if (m_relaysChosenAt == time_point{} || now - m_relaysChosenAt >= m_context.rules.reselectionInterval) {
        const std::size_t workers = m_context.workerCount();
        const bool needed = needsRelays(m_context.rules, m_context.processorShare, workers);
        m_relays = needed ? chooseRelays(m_table, m_context.rules, workers, now) : std::vector<std::string>();
        m_relaysChosenAt = now;
    }
    std::string carrier(relayFor(m_relays, target.workerId));
    ++(carrier.empty() ? m_counters.direct : m_counters.viaRelay);
    return carrier;
}

task<look_answer> order_dispatcher::sendThroughRelay(std::string host, relayed_order order)
{
    const auto *look = std::get_if<jobs::look_order>(&order.order);
    const milliseconds timeout = m_context.rules.answerTimeout + (look ? look->wait : milliseconds(0));
    const std::uint64_t number = m_next++;
    order.number = number;
    const auto pending = std::make_shared<pending_order>(*m_context.context, host);
    m_pending[number] = pending;
    outbox &box = m_outboxes[host];
    box.orders.push_back(encodeOrder(order));
    if (!box.flushScheduled) {
        box.flushScheduled = true;
        kernel::spawn(m_context.context->get_executor(), flush(host));
    }
    std::optional<look_answer> answer = co_await pending->answer.wait(timeout);
    m_pending.erase(number);
    if (!answer) {
        answer.emplace();
        answer->result.detail = "no answer through " + host;
    }
    co_return std::move(*answer);
}

task<void> order_dispatcher::flush(std::string host)
{
    co_await kernel::sleepFor(m_context.rules.batchDelay);
    json batch;
    batch["owner"] = m_context.ownAddress;
    outbox &box = m_outboxes[host];
    batch["orders"] = std::exchange(box.orders, json::array());
    box.flushScheduled = false;
    const auto receipt = co_await m_context.peers->call(host, calls::orders, std::move(batch),
                                                        m_context.rules.receiptTimeout);
    if (receipt)
        co_return;
    suspend(m_table, m_context.rules, host, m_context.clock());
    m_relaysChosenAt = time_point{};
    abandon(host);
}

jobs::worker_port order_dispatcher::port()
{
    jobs::worker_port port;
    port.start = [this](jobs::order_target target, jobs::start_order order) -> task<order_answer> {
        const std::string host = relayForOrder(target);
        if (host.empty())
            co_return co_await m_context.direct.start(std::move(target), std::move(order));
        const look_answer answer
            = co_await sendThroughRelay(host, carried(std::move(target), std::move(order)));
        co_return answer.result;
    };
    port.stop
        = [this](jobs::order_target target, jobs::task_name name, std::uint32_t run) -> task<order_answer> {
        const std::string host = relayForOrder(target);
        if (host.empty())
            co_return co_await m_context.direct.stop(std::move(target), std::move(name), run);
        stop_order order{std::move(name), run};
        const look_answer answer
            = co_await sendThroughRelay(host, carried(std::move(target), std::move(order)));
        co_return answer.result;
    };
    port.look = [this](jobs::order_target target, jobs::look_order order) -> task<look_answer> {
        const std::string host = relayForOrder(target);
        if (host.empty())
            co_return co_await m_context.direct.look(std::move(target), order);
        co_return co_await sendThroughRelay(host, carried(std::move(target), order));
    };
    port.pace = [this](jobs::order_target target, jobs::task_name name, std::uint32_t run,
                       int percent) -> task<order_answer> {
        const std::string host = relayForOrder(target);
        if (host.empty())
            co_return co_await m_context.direct.pace(std::move(target), std::move(name), run, percent);
        pace_order order{std::move(name), run, percent};
        const look_answer answer
            = co_await sendThroughRelay(host, carried(std::move(target), std::move(order)));
        co_return answer.result;
    };
    return port;
}

} // namespace almond::relay
