#include "relay/order_relay.h"

#include "codec/bounded_json.h"
#include "observe/log.h"
#include "relay/relay_calls.h"

#include <stdexcept>
#include <utility>

namespace almond::relay {

using kernel::task;
using nlohmann::json;
using observe::log_level;

namespace {

//! Payloads that are kept; an owner expects fewer.
constexpr std::size_t maximumPayloads = 2000;
//! Lists of workers' runs that are kept; without one, a response has the whole list.
constexpr std::size_t maximumLists = 4000;

milliseconds nextOfferAfter(const json &response, const relay_rules &rules)
{
    return milliseconds(
        codec::integerMember<std::int64_t>(response, "nextOfferMs", rules.idleOfferInterval.count(),
                                           rules.offerInterval.count(), rules.longestOfferInterval.count()));
}

//! Returns by how much the owner's clock is behind the own one, without the time that a message is usually
//! under way. So what the message was under way beyond that counts as passed on the owner's clock.
milliseconds clockDifference(transit_delay &transit, const json &batch, time_point receivedAt)
{
    const time_point sentAt
        = kernel::fromMillis(codec::integerMember<std::int64_t>(batch, "sentAt", 0, 0, latestTimeMs));
    const auto process = codec::integerMember<std::uint64_t>(batch, "process", 0);
    return receivedAt - sentAt - recordTransit(transit, process, sentAt, receivedAt);
}

void translatePermission(relayed_order &order, milliseconds difference)
{
    auto *start = std::get_if<jobs::start_order>(&order.order);
    if (start && start->notAfter != time_point::max())
        start->notAfter += difference;
}

} // namespace

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
    const relay_rules &rules = m_dependencies.rules;
    while (!m_stopping) {
        const std::string owner = m_dependencies.owner();
        milliseconds next = rules.idleOfferInterval;
        if (!owner.empty() && owner != m_dependencies.ownAddress) {
            json offer;
            offer["address"] = m_dependencies.ownAddress;
            offer["processorShare"] = m_dependencies.processorShare;
            offer["format"] = calls::format;
            const auto response = co_await m_dependencies.peers->call(owner, calls::offer, std::move(offer),
                                                                      rules.receiptTimeout);
            // An owner without a response may be overloaded: it gets no more offers than the others send.
            if (response && response->is_object())
                next = nextOfferAfter(*response, rules);
        }
        co_await kernel::sleepFor(next);
    }
}

json order_relay::handleOrders(const json &arguments)
{
    const std::string owner = arguments.at("owner");
    const milliseconds difference = clockDifference(m_transits[owner], arguments, kernel::monotonicNow());
    codec::forEachRow(
        arguments.at("orders").get_binary(),
        [&](packed_view row) {
            relayed_order order = decodeOrder(row);
            translatePermission(order, difference);
            kernel::spawn(m_dependencies.context->get_executor(), executeOrder(owner, std::move(order)));
        },
        [&owner](const std::exception &error) {
            observe::logLimited(log_level::error,
                                "failed to decode a relayed order; the owner will send it again",
                                {{"owner", owner}, {"error", error.what()}}, kernel::monotonicNow());
        });
    return json::object();
}

task<void> order_relay::executeOrder(std::string owner, relayed_order order)
{
    relayed_response relayed;
    relayed.number = order.number;
    const jobs::worker_api &workers = m_dependencies.workers;
    if (const auto *poll = std::get_if<jobs::poll_order>(&order.order)) {
        relayed.response = co_await workers.poll(order.target, *poll);
        shortenList(order, relayed);
    } else if (std::holds_alternative<jobs::start_order>(order.order))
        relayed.response.result = co_await startRun(order);
    else if (auto *stop = std::get_if<stop_order>(&order.order))
        relayed.response.result = co_await workers.stop(order.target, stop->task, stop->run);
    else if (auto *throttle = std::get_if<throttle_order>(&order.order))
        relayed.response.result
            = co_await workers.throttle(order.target, throttle->task, throttle->run, throttle->percent);
    queueResponse(owner, relayed);
}

task<jobs::order_response> order_relay::startRun(relayed_order &order)
{
    jobs::start_order &start = std::get<jobs::start_order>(order.order);
    // The owner counts on the payload also if this start is too late.
    if (!order.payloadOmitted)
        keepPayload(start.task.job, start.payload);
    if (kernel::monotonicNow() >= start.notAfter) {
        jobs::order_response expired;
        expired.outcome = jobs::order_outcome::expired;
        expired.detail = "the permission to start ended on the way";
        co_return expired;
    }
    if (!order.payloadOmitted)
        co_return co_await m_dependencies.workers.start(order.target, std::move(start));
    const auto known = m_payloads.find(start.task.job);
    if (known == m_payloads.end()) {
        jobs::order_response missing;
        missing.outcome = jobs::order_outcome::notSent;
        missing.detail = payloadUnknown;
        co_return missing;
    }
    start.payload = known->second;
    co_return co_await m_dependencies.workers.start(order.target, std::move(start));
}

void order_relay::keepPayload(const jobs::job_id &job, const std::string &payload)
{
    if (!m_payloads.insert_or_assign(job, payload).second)
        return;
    m_payloadOrder.push_back(job);
    if (m_payloadOrder.size() <= maximumPayloads)
        return;
    m_payloads.erase(m_payloadOrder.front());
    m_payloadOrder.pop_front();
}

void order_relay::shortenList(const relayed_order &order, relayed_response &relayed)
{
    if (relayed.response.result.outcome != jobs::order_outcome::accepted)
        return;
    if (m_lists.size() >= maximumLists)
        m_lists.clear();
    returned_list &last = m_lists[order.target.workerId];
    std::vector<jobs::running_report> &running = relayed.response.running;
    if (order.knownList > 0 && order.knownList == last.poll) {
        relayed.baseList = last.poll;
        relayed.delta = differenceOf(last.running, running);
        last.running = withDelta(std::move(last.running), relayed.delta);
        running.clear();
    } else {
        last.running = running;
    }
    last.poll = order.number;
}

void order_relay::queueResponse(const std::string &owner, const relayed_response &response)
{
    outbox &box = m_outboxes[owner];
    codec::appendRow(box.responses, encodeResponse(response));
    ++box.count;
    if (box.sending)
        return;
    box.sending = true;
    kernel::spawn(m_dependencies.context->get_executor(), sendBatches(owner));
}

//! Sends what accumulates for \a owner, one batch after the other, until nothing is left.
task<void> order_relay::sendBatches(std::string owner)
{
    outbox &box = m_outboxes[owner];
    while (!box.responses.empty()) {
        co_await kernel::sleepFor(batchInterval(box.pacing, m_dependencies.rules.pacing));
        json batch;
        batch["address"] = m_dependencies.ownAddress;
        batch["answers"] = json::binary(std::exchange(box.responses, {}));
        const std::size_t count = std::exchange(box.count, 0);
        const time_point sentAt = kernel::monotonicNow();
        const milliseconds timeout = receiptTimeout(box.pacing, m_dependencies.rules.pacing);
        const auto receipt
            = co_await m_dependencies.peers->call(owner, calls::responses, std::move(batch), timeout);
        const milliseconds took = kernel::monotonicNow() - sentAt;
        if (receipt) {
            recordReceipt(box.pacing, took);
            continue;
        }
        recordMissingReceipt(box.pacing, took);
        observe::logLimited(log_level::info, "the owner did not confirm a batch of responses of workers",
                            {{"owner", owner}, {"answers", count}}, kernel::monotonicNow());
    }
    box.sending = false;
}

} // namespace almond::relay
