#include "relay/order_dispatcher.h"

#include "codec/bounded_json.h"
#include "observe/log.h"
#include "relay/relay_calls.h"

#include <algorithm>
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

//! Number of jobs whose payload is taken as known to a relay; a relay keeps more.
constexpr std::size_t maximumPayloadsSent = 1000;
//! Lists of runs that are kept; without one, a response has the whole list.
constexpr std::size_t maximumLists = 20'000;
//! Longest time by which the own lag may extend the wait for the response to a poll. One that is lost must be
//! given up early enough for the next ones to renew the lease of the worker.
constexpr milliseconds longestPollAllowance{300};
//! Hosts that have not offered themselves for this long are forgotten.
constexpr milliseconds hostRetention{60'000};

} // namespace

struct order_dispatcher::pending_order
{
    pending_order(boost::asio::io_context &context, std::string relay)
        : response(context.get_executor())
        , host(std::move(relay))
    {
    }
    kernel::completion<relayed_response> response;
    std::string host;
};

order_dispatcher::order_dispatcher(order_dispatcher_dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_process(firstOrderNumber(kernel::systemNow()))
    , m_nextNumber(m_process)
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
    const time_point now = m_dependencies.clock();
    const relay_rules rules = rulesDespiteLag(now);
    std::size_t count = 0;
    for (const auto &[address, host] : m_table.hosts)
        count += isUsable(host, rules, now) ? 1 : 0;
    return count;
}

relay_rules order_dispatcher::rulesDespiteLag(time_point now) const
{
    relay_rules rules = m_dependencies.rules;
    const time_point since = now - rules.offerValidity - kernel::longestLagAllowance;
    rules.offerValidity += kernel::lagAllowance(m_dependencies.ownLag, since);
    return rules;
}

json order_dispatcher::handleOffer(const json &arguments)
{
    json response;
    response["wanted"] = false;
    if (codec::integerMember(arguments, "format", 1) != calls::format)
        return response;
    const std::string address = arguments.at("address");
    const time_point now = m_dependencies.clock();
    relay::recordOffer(m_table, address, arguments.at("processorShare"), now);
    removeExpiredHosts();
    const bool needed = isNeeded(address, now);
    response["wanted"] = needed;
    const milliseconds next = needed ? m_dependencies.rules.offerInterval
                                     : idleOfferInterval(m_dependencies.rules, m_table.hosts.size());
    response["nextOfferMs"] = next.count();
    return response;
}

bool order_dispatcher::isNeeded(const std::string &address, time_point now) const
{
    const std::size_t workers = m_dependencies.workerCount();
    if (!needsRelays(m_dependencies.rules, m_dependencies.processorShare, workers))
        return false;
    const std::vector<std::string> candidates
        = chooseRelays(m_table, rulesDespiteLag(now), workers, now, m_dependencies.rules.spareRelays);
    return std::find(candidates.begin(), candidates.end(), address) != candidates.end();
}

json order_dispatcher::handleResponses(const json &arguments)
{
    const fleet::part_timer timed(m_dependencies.times, fleet::owner_part::responses);
    recordSign(m_table, arguments.value("address", ""), m_dependencies.clock());
    codec::forEachRow(
        arguments.at("answers").get_binary(),
        [this](packed_view row) {
            relayed_response relayed = decodeResponse(row);
            const auto pending = m_pending.find(relayed.number);
            if (pending != m_pending.end())
                pending->second->response.complete(std::move(relayed));
        },
        [this](const std::exception &error) {
            observe::logLimited(log_level::error,
                                "failed to decode a relayed response; its order counts as unanswered",
                                {{"error", error.what()}}, m_dependencies.clock());
        });
    return json::object();
}

void order_dispatcher::removeExpiredHosts()
{
    const time_point now = m_dependencies.clock();
    const milliseconds validity = rulesDespiteLag(now).offerValidity;
    const auto isExpired = [&](const std::string &address) {
        const auto host = m_table.hosts.find(address);
        return host == m_table.hosts.end() || now - host->second.lastHeardAt > validity;
    };
    for (const std::string &relay : m_relays.relays) {
        if (!isExpired(relay))
            continue;
        abandon(relay);
        m_relaysChosenAt = time_point{};
    }
    std::erase_if(m_table.hosts,
                  [now](const auto &entry) { return now - entry.second.lastHeardAt > hostRetention; });
}

void order_dispatcher::abandon(const std::string &host)
{
    std::vector<std::pair<std::uint64_t, pending_ptr>> lost;
    for (const auto &[number, pending] : m_pending) {
        if (pending->host == host)
            lost.emplace_back(number, pending);
    }
    // The oldest order first, as they were sent.
    std::sort(lost.begin(), lost.end());
    for (const auto &[number, pending] : lost)
        pending->response.abandon();
    m_outboxes[host].orders.clear();
    m_counters.abandoned += lost.size();
    if (!lost.empty())
        observe::log(log_level::warning, "lost a relay: its orders count as unanswered",
                     {{"host", host}, {"ordersWithoutAnswer", lost.size()}});
}

std::string order_dispatcher::relayForOrder(const jobs::order_target &target)
{
    const time_point now = m_dependencies.clock();
    if (m_relaysChosenAt == time_point{}
        || now - m_relaysChosenAt >= m_dependencies.rules.reselectionInterval) {
        const std::size_t workers = m_dependencies.workerCount();
        const bool needed = needsRelays(m_dependencies.rules, m_dependencies.processorShare, workers);
        useRelays(m_relays,
                  needed ? chooseRelays(m_table, rulesDespiteLag(now), workers, now)
                         : std::vector<std::string>());
        m_relaysChosenAt = now;
    }
    const std::string &relay = relayOf(m_relays, target.workerId);
    ++(relay.empty() ? m_counters.direct : m_counters.viaRelay);
    return relay;
}

std::uint64_t order_dispatcher::knownListOf(const std::string &workerId, const std::string &relay) const
{
    const auto known = m_lists.find(workerId);
    return known == m_lists.end() || known->second.relay != relay ? 0 : known->second.poll;
}

bool order_dispatcher::completeList(const std::string &workerId, const std::string &relay,
                                    relayed_response &response)
{
    jobs::poll_response &poll = response.response;
    if (poll.result.outcome != jobs::order_outcome::accepted)
        return true;
    const auto found = m_lists.find(workerId);
    if (response.baseList == 0) {
        if (found == m_lists.end() && m_lists.size() >= maximumLists)
            m_lists.clear();
        m_lists[workerId] = {relay, response.number, poll.running};
        return true;
    }
    if (found == m_lists.end())
        return false;
    known_list &known = found->second;
    if (known.relay != relay || known.poll != response.baseList)
        return false;
    try {
        known.running = withDelta(std::move(known.running), std::move(response.delta));
    } catch (const std::out_of_range &) {
        m_lists.erase(found);
        return false;
    }
    known.poll = response.number;
    poll.running = known.running;
    return true;
}

order_dispatcher::pending_ptr order_dispatcher::queueOrder(const std::string &host,
                                                           const relayed_order &order)
{
    auto pending = std::make_shared<pending_order>(*m_dependencies.context, host);
    m_pending[order.number] = pending;
    const auto *start = std::get_if<jobs::start_order>(&order.order);
    outbox &box = m_outboxes[host];
    box.orders.push_back({order.number, encodeOrder(order), start ? start->notAfter : time_point::max()});
    if (!box.sending) {
        box.sending = true;
        kernel::spawn(m_dependencies.context->get_executor(), sendBatches(host));
    }
    return pending;
}

task<poll_response> order_dispatcher::sendThroughRelay(const std::string &host, relayed_order &order)
{
    const auto *poll = std::get_if<jobs::poll_order>(&order.order);
    // Over a congested link, an order and its response each wait for a batch.
    const milliseconds timeout = m_dependencies.rules.responseTimeout + (poll ? poll->wait : milliseconds(0))
        + m_outboxes[host].pacing.receiptTime * 4;
    const time_point sentAt = m_dependencies.clock();
    order.number = m_nextNumber++;
    if (poll)
        order.knownList = knownListOf(order.target.workerId, host);
    const pending_ptr pending = queueOrder(host, order);
    std::optional<relayed_response> response
        = co_await kernel::awaitDespiteLag(pending->response, timeout, m_dependencies.ownLag, sentAt,
                                           poll ? longestPollAllowance : kernel::longestLagAllowance);
    m_pending.erase(order.number);
    poll_response result;
    if (!response) {
        result.result.detail = "no response through relay " + host;
        co_return result;
    }
    if (poll && !completeList(order.target.workerId, host, *response)) {
        result.result.detail = "the list of runs is based on an unknown one";
        co_return result;
    }
    co_return std::move(response->response);
}

task<order_response> order_dispatcher::startThroughRelay(const std::string &host, relayed_order order)
{
    std::set<jobs::job_id> &sent = m_outboxes[host].payloadsSent;
    if (sent.size() >= maximumPayloadsSent)
        sent.clear();
    const jobs::job_id job = std::get<jobs::start_order>(order.order).task.job;
    order.payloadOmitted = !sent.insert(job).second;
    poll_response response = co_await sendThroughRelay(host, order);
    const bool unknown
        = response.result.outcome == jobs::order_outcome::notSent && response.result.detail == payloadUnknown;
    if (!order.payloadOmitted || !unknown)
        co_return std::move(response.result);
    ++m_counters.payloadsRepeated;
    sent.insert(job);
    order.payloadOmitted = false;
    poll_response repeated = co_await sendThroughRelay(host, order);
    co_return std::move(repeated.result);
}

packed_bytes order_dispatcher::takeOrders(outbox &box)
{
    const time_point now = m_dependencies.clock();
    packed_bytes rows;
    for (const queued_order &order : std::exchange(box.orders, {})) {
        if (now < order.notAfter) {
            codec::appendRow(rows, order.row);
            continue;
        }
        const auto pending = m_pending.find(order.number);
        if (pending == m_pending.end())
            continue;
        ++m_counters.expired;
        relayed_response expired;
        expired.response.result.outcome = jobs::order_outcome::expired;
        expired.response.result.detail = "the start waited too long for its relay";
        pending->second->response.complete(std::move(expired));
    }
    return rows;
}

//! Sends what accumulates for \a host, one batch after the other, until nothing is left.
task<void> order_dispatcher::sendBatches(std::string host)
{
    outbox &box = m_outboxes[host];
    while (!box.orders.empty()) {
        co_await kernel::sleepFor(batchInterval(box.pacing, m_dependencies.rules.pacing));
        // An exception that ended this loop would leave box.sending set, so that no loop would ever follow.
        try {
            co_await sendBatch(host);
        } catch (const std::exception &error) {
            observe::logLimited(log_level::error, "unexpected error in sending a batch of orders to a relay",
                                {{"host", host}, {"error", error.what()}}, kernel::monotonicNow());
        }
    }
    box.sending = false;
}

//! Sends what waits for \a host in one message and awaits its receipt.
task<void> order_dispatcher::sendBatch(std::string host)
{
    outbox &box = m_outboxes[host];
    json batch;
    const time_point sentAt = m_dependencies.clock();
    batch["owner"] = m_dependencies.ownAddress;
    batch["process"] = m_process;
    batch["sentAt"] = kernel::toMillis(sentAt);
    packed_bytes rows = takeOrders(box);
    if (rows.empty())
        co_return;
    batch["orders"] = json::binary(std::move(rows));
    const milliseconds timeout = receiptTimeout(box.pacing, m_dependencies.rules.pacing);
    const auto receipt = co_await m_dependencies.peers->call(host, calls::orders, std::move(batch), timeout,
                                                             m_dependencies.ownLag);
    if (receipt) {
        recordReceipt(box.pacing, m_dependencies.clock() - sentAt);
        box.isExcused = false;
        recordSign(m_table, host, m_dependencies.clock());
    } else {
        handleMissingReceipt(host, sentAt, timeout);
    }
}

//! A host that sent anything since \a sentAt is slow or behind a congested link, not gone: its orders may
//! still be answered. Nor is one gone because the own loop has not read what it sent.
void order_dispatcher::handleMissingReceipt(const std::string &host, time_point sentAt, milliseconds timeout)
{
    const time_point now = m_dependencies.clock();
    recordMissingReceipt(m_outboxes[host].pacing, now - sentAt);
    const auto known = m_table.hosts.find(host);
    const bool heard = known != m_table.hosts.end() && known->second.lastHeardAt > sentAt;
    // A connection that has closed is no silence.
    const bool unread
        = now - sentAt >= timeout && kernel::lagAllowance(m_dependencies.ownLag, sentAt) > timeout / 2;
    // A loop that always lags must still find out that a host is gone.
    const bool wasExcused = std::exchange(m_outboxes[host].isExcused, unread);
    if (heard || (unread && !wasExcused)) {
        ++m_counters.lateReceipts;
        return;
    }
    suspend(m_table, m_dependencies.rules, host, now);
    m_relaysChosenAt = time_point{};
    m_outboxes[host].payloadsSent.clear();
    abandon(host);
}

jobs::worker_api order_dispatcher::port()
{
    jobs::worker_api port;
    port.start = [this](jobs::order_target target, jobs::start_order order) -> task<order_response> {
        const std::string host = relayForOrder(target);
        if (host.empty())
            co_return co_await m_dependencies.direct.start(std::move(target), std::move(order));
        co_return co_await startThroughRelay(host, makeRelayedOrder(std::move(target), std::move(order)));
    };
    port.stop
        = [this](jobs::order_target target, jobs::task_name name, std::uint32_t run) -> task<order_response> {
        const std::string host = relayForOrder(target);
        if (host.empty())
            co_return co_await m_dependencies.direct.stop(std::move(target), name, run);
        relayed_order order = makeRelayedOrder(std::move(target), stop_order{name, run});
        poll_response response = co_await sendThroughRelay(host, order);
        co_return std::move(response.result);
    };
    port.poll = [this](jobs::order_target target, jobs::poll_order order) -> task<poll_response> {
        const std::string host = relayForOrder(target);
        if (host.empty())
            co_return co_await m_dependencies.direct.poll(std::move(target), order);
        relayed_order relayed = makeRelayedOrder(std::move(target), order);
        co_return co_await sendThroughRelay(host, relayed);
    };
    port.throttle = [this](jobs::order_target target, jobs::task_name name, std::uint32_t run,
                           int percent) -> task<order_response> {
        const std::string host = relayForOrder(target);
        if (host.empty())
            co_return co_await m_dependencies.direct.throttle(std::move(target), name, run, percent);
        relayed_order order = makeRelayedOrder(std::move(target), throttle_order{name, run, percent});
        poll_response response = co_await sendThroughRelay(host, order);
        co_return std::move(response.result);
    };
    return port;
}

} // namespace almond::relay
