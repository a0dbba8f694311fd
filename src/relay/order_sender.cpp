#include "relay/order_sender.h"

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

//! An order as it is given to a carrier; its number comes when it leaves.
template<typename Order>
carried_order carried(jobs::order_target target, Order order)
{
    carried_order result;
    result.target = std::move(target);
    result.order = std::move(order);
    return result;
}

} // namespace

struct order_sender::pending_order
{
    pending_order(boost::asio::io_context &context, std::string carrier)
        : answer(context.get_executor())
        , host(std::move(carrier))
    {
    }
    kernel::completion<poll_response> answer;
    std::string host;
};

order_sender::order_sender(sender_context context)
    : m_context(std::move(context))
    , m_next(firstOrderNumber(kernel::systemNow()))
{
}

void order_sender::provideCalls()
{
    m_context.peers->provide(calls::offer,
                             [this](json arguments) -> task<json> { co_return takeOffer(arguments); });
    m_context.peers->provide(calls::answers,
                             [this](json arguments) -> task<json> { co_return takeAnswers(arguments); });
}

std::size_t order_sender::usableHosts() const
{
    std::size_t count = 0;
    for (const auto &[address, host] : m_table.hosts)
        count += isUsable(host, m_context.rules, m_context.clock()) ? 1 : 0;
    return count;
}

json order_sender::takeOffer(const json &arguments)
{
    relay::takeOffer(m_table, arguments.at("address"), arguments.at("processorShare"), m_context.clock());
    dropSilentHosts();
    json answer;
    answer["wanted"] = needsRelays(m_context.rules, m_context.processorShare, m_context.workerCount());
    return answer;
}

json order_sender::takeAnswers(const json &arguments)
{
    try {
        for (const json &row : arguments.at("answers")) {
            carried_answer carried = decodeAnswer(row);
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

void order_sender::dropSilentHosts()
{
    const time_point now = m_context.clock();
    for (auto host = m_table.hosts.begin(); host != m_table.hosts.end();) {
        const bool silent = now - host->second.heardAt > m_context.rules.offerValidity;
        if (silent) {
            abandon(host->first);
            m_chosenAt = time_point{};
        }
        host = silent ? m_table.hosts.erase(host) : std::next(host);
    }
}

void order_sender::abandon(const std::string &host)
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

std::string order_sender::carrierOf(const jobs::order_target &target)
{
    const time_point now = m_context.clock();
    if (m_chosenAt == time_point{} || now - m_chosenAt >= m_context.rules.choiceInterval) {
        const std::size_t workers = m_context.workerCount();
        const bool needed = needsRelays(m_context.rules, m_context.processorShare, workers);
        m_carriers
            = needed ? chooseCarriers(m_table, m_context.rules, workers, now) : std::vector<std::string>();
        m_chosenAt = now;
    }
    std::string carrier(carrierFor(m_carriers, target.workerId));
    ++(carrier.empty() ? m_counters.direct : m_counters.carried);
    return carrier;
}

task<poll_response> order_sender::carry(std::string host, carried_order order)
{
    const auto *look = std::get_if<jobs::poll_order>(&order.order);
    const milliseconds timeout = m_context.rules.answerTimeout + (look ? look->wait : milliseconds(0));
    const std::uint64_t number = m_next++;
    order.number = number;
    const auto pending = std::make_shared<pending_order>(*m_context.context, host);
    m_pending[number] = pending;
    outbox &box = m_outboxes[host];
    box.orders.push_back(encodeOrder(order));
    if (!box.travelling) {
        box.travelling = true;
        kernel::spawn(m_context.context->get_executor(), flush(host));
    }
    std::optional<poll_response> answer = co_await pending->answer.wait(timeout);
    m_pending.erase(number);
    if (!answer) {
        answer.emplace();
        answer->result.detail = "no answer through " + host;
    }
    co_return std::move(*answer);
}

task<void> order_sender::flush(std::string host)
{
    co_await kernel::sleepFor(m_context.rules.gatherTime);
    json batch;
    batch["owner"] = m_context.ownAddress;
    outbox &box = m_outboxes[host];
    batch["orders"] = std::exchange(box.orders, json::array());
    box.travelling = false;
    const auto receipt = co_await m_context.peers->call(host, calls::orders, std::move(batch),
                                                        m_context.rules.receiptTimeout);
    if (receipt)
        co_return;
    suspend(m_table, m_context.rules, host, m_context.clock());
    m_chosenAt = time_point{};
    abandon(host);
}

jobs::worker_api order_sender::port()
{
    jobs::worker_api port;
    port.start = [this](jobs::order_target target, jobs::start_order order) -> task<order_response> {
        const std::string host = carrierOf(target);
        if (host.empty())
            co_return co_await m_context.direct.start(std::move(target), std::move(order));
        const poll_response answer = co_await carry(host, carried(std::move(target), std::move(order)));
        co_return answer.result;
    };
    port.stop
        = [this](jobs::order_target target, jobs::task_name name, std::uint32_t run) -> task<order_response> {
        const std::string host = carrierOf(target);
        if (host.empty())
            co_return co_await m_context.direct.stop(std::move(target), std::move(name), run);
        stop_order order{std::move(name), run};
        const poll_response answer = co_await carry(host, carried(std::move(target), std::move(order)));
        co_return answer.result;
    };
    port.poll = [this](jobs::order_target target, jobs::poll_order order) -> task<poll_response> {
        const std::string host = carrierOf(target);
        if (host.empty())
            co_return co_await m_context.direct.poll(std::move(target), order);
        co_return co_await carry(host, carried(std::move(target), order));
    };
    port.throttle = [this](jobs::order_target target, jobs::task_name name, std::uint32_t run,
                           int percent) -> task<order_response> {
        const std::string host = carrierOf(target);
        if (host.empty())
            co_return co_await m_context.direct.throttle(std::move(target), std::move(name), run, percent);
        pace_order order{std::move(name), run, percent};
        const poll_response answer = co_await carry(host, carried(std::move(target), std::move(order)));
        co_return answer.result;
    };
    return port;
}

} // namespace almond::relay
