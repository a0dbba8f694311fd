#include "routing/request_router.h"

#include "observe/log.h"

#include <algorithm>
#include <charconv>

namespace almond::routing {

using http::exchange_status;
using http::reply;
using http::request;
using http::status;
using kernel::milliseconds;
using kernel::task;
using kernel::time_point;

namespace {

constexpr milliseconds slotPollInterval{5};
constexpr std::string_view requestIdHeader = "Almond-Request-Id";

std::string serviceOf(const request &incoming)
{
    const std::string_view target(incoming.target().data(), incoming.target().size());
    const std::string_view path = http::splitTarget(target).path.substr(1);
    return std::string(path.substr(0, path.find('/')));
}

milliseconds timeLimitOf(const request &incoming, const config::service &service)
{
    const std::string_view text = http::header(incoming, "Almond-Deadline-Ms");
    std::int64_t requestedMs = service.deadlineMs;
    std::from_chars(text.data(), text.data() + text.size(), requestedMs);
    return milliseconds(std::clamp<std::int64_t>(requestedMs, 1, service.deadlineMs));
}

//! Copies a caller's request for a minion, without the headers that apply to a single connection.
request forwardedRequest(const request &incoming, const std::string &id, const std::string &peer)
{
    request message(incoming);
    message.version(11);
    message.erase(http::field::connection);
    message.erase(http::field::keep_alive);
    message.erase(http::field::transfer_encoding);
    message.erase(http::field::expect);
    message.set(http::field::host, peer);
    message.set(boost::beast::string_view(requestIdHeader.data(), requestIdHeader.size()), id);
    return message;
}

reply makeReplyFrom(http::response answer)
{
    reply result;
    result.message = std::move(answer);
    result.message.erase(http::field::connection);
    result.message.erase(http::field::keep_alive);
    result.message.erase(http::field::transfer_encoding);
    return result;
}

attempt_result attemptResultOf(const http::exchange_result &result)
{
    if (result.status != exchange_status::answered)
        return attempt_result::failed;
    const std::string_view refused = http::header(result.answer, "Almond-Refused");
    if (refused == "leaving")
        return attempt_result::refusedLeaving;
    if (!refused.empty())
        return attempt_result::refusedFull;
    return result.answer.result_int() >= 500 ? attempt_result::failed : attempt_result::answered;
}

//! Returns the number of slots in use that the minion reported with its response, if any.
std::optional<std::int64_t> parseBusySlots(const http::exchange_result &result)
{
    if (result.status != exchange_status::answered)
        return std::nullopt;
    const std::string_view text = http::header(result.answer, "Almond-Busy");
    std::int64_t busy = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), busy);
    return parsed.ec == std::errc() && !text.empty() ? std::optional(busy) : std::nullopt;
}

} // namespace

request_router::request_router(boost::asio::io_context &context, router_dependencies dependencies)
    : m_context(context)
    , m_dependencies(std::move(dependencies))
{
}

void request_router::refresh()
{
    const config::config_view_ptr view = m_dependencies.config();
    for (const auto &[name, service] : view->parsed.services) {
        std::vector<listed_minion> listed;
        for (const auto &[id, host] : m_dependencies.hosts->hosts()) {
            if (host.role != "minion" || host.service != name)
                continue;
            const bool leaving = host.leaving || !config::isOpen(view->parsed, host.failureDomain);
            listed.push_back({id, host.address, host.failureDomain, leaving, service.slotsPerMinion});
        }
        service_state &state = m_state[name];
        state.routing.retryTokens = std::max(state.routing.retryTokens, 1.0);
        updateMinions(state.routing, listed);
        wakeFirstWaiter(state);
    }
}

task<reply> request_router::route(request incoming)
{
    ++m_counters.requests;
    const time_point startedAt = m_dependencies.clock();
    routed_request routed;
    routed.service = serviceOf(incoming);
    const config::config_view_ptr view = m_dependencies.config();
    const auto service = view->parsed.services.find(routed.service);
    if (service == view->parsed.services.end())
        co_return completeReply(
            makeOutcomeReply(status::not_found, outcome::notRun, "no such service: " + routed.service),
            routed, startedAt);
    const std::string_view callerId = http::header(incoming, requestIdHeader);
    routed.id = callerId.empty() ? m_dependencies.processId + "-" + std::to_string(m_nextRequest++)
                                 : std::string(callerId);
    routed.idempotent = isIdempotent(incoming);
    routed.deadline = startedAt + timeLimitOf(incoming, service->second);
    const std::string key(http::header(incoming, "Idempotency-Key"));
    routed.message = std::move(incoming);
    reply answer;
    if (!routed.idempotent && !key.empty())
        answer = co_await routeClaimed(routed, key);
    else
        answer = co_await routeToMinions(routed);
    co_return completeReply(std::move(answer), routed, startedAt);
}

reply request_router::completeReply(reply answer, const routed_request &routed, time_point startedAt)
{
    const std::string_view outcomeName = http::header(answer.message, "Almond-Outcome");
    m_counters.run += outcomeName == nameOf(outcome::run) ? 1 : 0;
    m_counters.notRun += outcomeName == nameOf(outcome::notRun) ? 1 : 0;
    m_counters.unknown += outcomeName == nameOf(outcome::unknown) ? 1 : 0;
    if (!routed.id.empty())
        answer.message.set(boost::beast::string_view(requestIdHeader.data(), requestIdHeader.size()),
                           routed.id);
    const auto elapsed = std::chrono::duration<double>(m_dependencies.clock() - startedAt);
    if (m_dependencies.observeSeconds)
        m_dependencies.observeSeconds(elapsed.count());
    return answer;
}

task<reply> request_router::routeClaimed(routed_request &routed, std::string key)
{
    // Callers may repeat request ids, so the claim uses an id that is unique to this gateway.
    const std::string claimId = m_dependencies.processId + "/" + std::to_string(m_nextRequest++);
    const claim_result claim = co_await m_dependencies.claims->claim(routed.service, key, claimId);
    if (claim.status == claim_status::unavailable)
        co_return makeOutcomeReply(status::service_unavailable, outcome::notRun,
                                   "the key can't be claimed while the store is unavailable");
    if (claim.status == claim_status::pending)
        co_return makeOutcomeReply(status::conflict, outcome::unknown,
                                   "a request with this Idempotency-Key is under way or was cut off");
    if (claim.status == claim_status::answered) {
        reply stored = http::makeReply(static_cast<status>(claim.answer.status), claim.answer.body);
        stored.message.set("Almond-Outcome", "run");
        stored.message.set("Almond-Replayed", "true");
        co_return stored;
    }
    reply answer = co_await routeToMinions(routed);
    const std::string_view outcomeName = http::header(answer.message, "Almond-Outcome");
    if (outcomeName == nameOf(outcome::notRun)) {
        co_await m_dependencies.claims->release(routed.service, key);
    } else if (outcomeName == nameOf(outcome::run)) {
        stored_answer stored{answer.message.result_int(), answer.message.body(), ""};
        co_await m_dependencies.claims->complete(routed.service, key, claim.revision, std::move(stored));
    }
    co_return answer;
}

task<reply> request_router::routeToMinions(routed_request &routed)
{
    service_state &service = m_state[routed.service];
    addRetryTokens(service.routing, m_dependencies.settings);
    // A new request must not overtake the queued ones.
    bool mayChoose = service.waiters.empty();
    bool hasWaited = false;
    while (true) {
        const time_point now = m_dependencies.clock();
        const bool late
            = hasWaited && wouldMissDeadline(service.routing, m_dependencies.settings, routed.deadline - now);
        m_counters.shed += late ? 1 : 0;
        if (now >= routed.deadline || late) {
            wakeFirstWaiter(service);
            co_return makeFailureReply(routed);
        }
        const auto index = mayChoose
            ? chooseMinion(service.routing, m_dependencies.settings, routed.tried, now)
            : std::optional<std::size_t>();
        if (!index) {
            mayChoose = co_await waitInQueue(service, routed.deadline, hasWaited);
            hasWaited = true;
            if (!mayChoose)
                co_return makeFailureReply(routed);
            continue;
        }
        attempt_outcome result = co_await attempt(routed, service, *index);
        if (result.action == next_action::respond)
            co_return std::move(result.answer);
        if (result.action == next_action::fail)
            co_return makeFailureReply(routed);
    }
}

task<bool> request_router::waitInQueue(service_state &service, time_point deadline, bool waitedBefore)
{
    if (service.waiters.size() >= m_dependencies.queueLength) {
        ++m_counters.queueFull;
        co_return false;
    }
    const auto waiter = std::make_shared<kernel::completion<bool>>(m_context.get_executor());
    if (waitedBefore)
        service.waiters.push_front(waiter);
    else
        service.waiters.push_back(waiter);
    while (true) {
        const milliseconds left = deadline - m_dependencies.clock();
        if (left <= milliseconds(0))
            break;
        // Ejections and backoffs end without an event, so the first request in the queue polls.
        const auto woken = co_await waiter->wait(std::min(left, slotPollInterval));
        const bool first = !service.waiters.empty() && service.waiters.front() == waiter;
        if (!woken && !first)
            continue;
        std::erase(service.waiters, waiter);
        co_return true;
    }
    std::erase(service.waiters, waiter);
    ++m_counters.queueExpired;
    co_return false;
}

void request_router::wakeFirstWaiter(service_state &service)
{
    if (service.waiters.empty())
        return;
    const auto waiter = service.waiters.front();
    service.waiters.pop_front();
    waiter->complete(true);
}

task<request_router::attempt_outcome> request_router::attempt(routed_request &routed, service_state &service,
                                                              std::size_t index)
{
    minion_state &chosen = service.routing.minions[index];
    const std::string id = chosen.id;
    const std::string address = chosen.address;
    recordSend(chosen);
    ++m_counters.attempts;
    routed.tried.push_back(id);
    const time_point startedAt = m_dependencies.clock();
    const milliseconds timeout
        = attemptTimeout(chosen, m_dependencies.settings, routed.idempotent, routed.deadline - startedAt);
    http::exchange_result result = co_await m_dependencies.minions->exchange(
        address, forwardedRequest(routed.message, routed.id, address), timeout);
    attempt_report report;
    report.result = attemptResultOf(result);
    report.elapsed = m_dependencies.clock() - startedAt;
    report.busy = parseBusySlots(result);
    finishAttempt(routed.service, id, address, report);
    minion_state answered;
    answered.id = id;
    answered.address = address;
    co_return evaluateExchange(routed, service, answered, std::move(result));
}

void request_router::finishAttempt(const std::string &service, const std::string &minion,
                                   const std::string &address, const attempt_report &report)
{
    service_state &state = m_state[service];
    for (minion_state &item : state.routing.minions) {
        if (item.id != minion || item.address != address)
            continue;
        recordAttempt(item, m_dependencies.settings, report, m_dependencies.clock());
    }
    if (report.result == attempt_result::answered)
        recordLatency(state.routing, report.elapsed);
    wakeFirstWaiter(state);
}

request_router::attempt_outcome request_router::evaluateExchange(routed_request &routed,
                                                                 service_state &service,
                                                                 const minion_state &minion,
                                                                 http::exchange_result result)
{
    if (result.status != exchange_status::answered) {
        routed.lastFailure = minion.id + ": " + result.detail;
        if (result.status == exchange_status::timedOut)
            m_dependencies.minions->forget(minion.address);
        return evaluateFailure(routed, service, result.status);
    }
    if (!http::header(result.answer, "Almond-Refused").empty()) {
        ++m_counters.refused;
        routed.lastFailure = minion.id + ": refused";
        return {next_action::retry, {}};
    }
    if (http::header(result.answer, requestIdHeader) != routed.id) {
        observe::log(observe::log_level::error, "response has the id of another request; discarded",
                     {{"minion", minion.id}});
        routed.lastFailure = minion.id + ": the answer belongs to another request";
        return evaluateFailure(routed, service, exchange_status::broken);
    }
    const bool serverError = result.answer.result_int() >= 500;
    if (serverError && routed.idempotent && takeRetry(routed, service)) {
        routed.mayHaveRun = true;
        return {next_action::retry, {}};
    }
    attempt_outcome done{next_action::respond, makeReplyFrom(std::move(result.answer))};
    done.answer.message.set("Almond-Outcome", "run");
    return done;
}

request_router::attempt_outcome
request_router::evaluateFailure(routed_request &routed, service_state &service, exchange_status status)
{
    if (status == exchange_status::notSent)
        return {next_action::retry, {}};
    routed.mayHaveRun = true;
    const bool again = routed.idempotent && takeRetry(routed, service);
    return {again ? next_action::retry : next_action::fail, {}};
}

bool request_router::takeRetry(routed_request &routed, service_state &service)
{
    const bool inTime = m_dependencies.clock() < routed.deadline;
    const bool granted = inTime && takeRetryToken(service.routing);
    m_counters.retries += granted ? 1 : 0;
    m_counters.retriesDenied += granted ? 0 : 1;
    return granted;
}

reply request_router::makeFailureReply(const routed_request &routed) const
{
    if (!routed.mayHaveRun)
        return makeOutcomeReply(status::service_unavailable, outcome::notRun,
                                routed.lastFailure.empty() ? "no minion was free in time"
                                                           : routed.lastFailure);
    const bool late = m_dependencies.clock() >= routed.deadline;
    return makeOutcomeReply(late ? status::gateway_timeout : status::bad_gateway, outcome::unknown,
                            routed.lastFailure);
}

std::size_t request_router::queued() const
{
    std::size_t count = 0;
    for (const auto &[name, service] : m_state)
        count += service.waiters.size();
    return count;
}

nlohmann::json request_router::dump() const
{
    nlohmann::json services = nlohmann::json::object();
    for (const auto &[name, service] : m_state) {
        nlohmann::json minions = nlohmann::json::array();
        for (const minion_state &minion : service.routing.minions) {
            minions.push_back({{"id", minion.id},
                               {"address", minion.address},
                               {"failureDomain", minion.failureDomain},
                               {"leaving", minion.leaving},
                               {"inFlight", minion.inFlight},
                               {"failuresInRow", minion.failuresInRow},
                               {"ejections", minion.ejections},
                               {"typicalMs", minion.averageLatencyMs}});
        }
        services[name] = {{"queued", service.waiters.size()},
                          {"retryTokens", service.routing.retryTokens},
                          {"minions", minions}};
    }
    return services;
}

} // namespace almond::routing
