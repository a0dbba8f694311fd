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

std::string serviceOf(const request &asked)
{
    const std::string_view target(asked.target().data(), asked.target().size());
    const std::string_view path = http::splitTarget(target).path.substr(1);
    return std::string(path.substr(0, path.find('/')));
}

milliseconds deadlineOf(const request &asked, const config::service &service)
{
    const std::string_view text = http::header(asked, "Almond-Deadline-Ms");
    std::int64_t wanted = service.deadlineMs;
    std::from_chars(text.data(), text.data() + text.size(), wanted);
    return milliseconds(std::clamp<std::int64_t>(wanted, 1, service.deadlineMs));
}

//! Connection headers concern one hop only.
request forwardedRequest(const request &asked, const std::string &id, const std::string &peer)
{
    request message(asked);
    message.version(11);
    message.erase(http::field::connection);
    message.erase(http::field::keep_alive);
    message.erase(http::field::transfer_encoding);
    message.erase(http::field::expect);
    message.set(http::field::host, peer);
    message.set(boost::beast::string_view(requestIdHeader.data(), requestIdHeader.size()), id);
    return message;
}

reply passedOn(http::response answer)
{
    reply result;
    result.message = std::move(answer);
    result.message.erase(http::field::connection);
    result.message.erase(http::field::keep_alive);
    result.message.erase(http::field::transfer_encoding);
    return result;
}

attempt_result resultFor(const http::exchange_result &result)
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

//! What a minion said of its slots with its answer, if anything.
std::optional<std::int64_t> reportedBusy(const http::exchange_result &result)
{
    if (result.status != exchange_status::answered)
        return std::nullopt;
    const std::string_view text = http::header(result.answer, "Almond-Busy");
    std::int64_t busy = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), busy);
    return parsed.ec == std::errc() && !text.empty() ? std::optional(busy) : std::nullopt;
}

} // namespace

request_router::request_router(boost::asio::io_context &context, router_dependencies services)
    : m_context(context)
    , m_services(std::move(services))
{
}

void request_router::refresh()
{
    const config::config_view_ptr view = m_services.config();
    for (const auto &[name, service] : view->parsed.services) {
        std::vector<listed_minion> listed;
        for (const auto &[id, host] : m_services.hosts->hosts()) {
            if (host.role != "minion" || host.service != name)
                continue;
            const bool leaving = host.leaving || !config::isOpen(view->parsed, host.failureDomain);
            listed.push_back({id, host.address, host.failureDomain, leaving, service.slotsPerMinion});
        }
        service_state &state = m_state[name];
        state.routing.retryTokens = std::max(state.routing.retryTokens, 1.0);
        updateMinions(state.routing, listed);
        wakeOne(state);
    }
}

task<reply> request_router::route(request asked)
{
    ++m_counters.requests;
    const time_point startedAt = m_services.clock();
    routed_request routed;
    routed.service = serviceOf(asked);
    const config::config_view_ptr view = m_services.config();
    const auto service = view->parsed.services.find(routed.service);
    if (service == view->parsed.services.end())
        co_return finish(
            makeOutcomeReply(status::not_found, outcome::notRun, "no such service: " + routed.service),
            routed, startedAt);
    const std::string_view given = http::header(asked, requestIdHeader);
    routed.id
        = given.empty() ? m_services.processId + "-" + std::to_string(m_nextRequest++) : std::string(given);
    routed.idempotent = isIdempotent(asked);
    routed.deadline = startedAt + deadlineOf(asked, service->second);
    const std::string key(http::header(asked, "Idempotency-Key"));
    routed.message = std::move(asked);
    reply answer;
    if (!routed.idempotent && !key.empty())
        answer = co_await routeClaimed(routed, key);
    else
        answer = co_await routeToMinions(routed);
    co_return finish(std::move(answer), routed, startedAt);
}

reply request_router::finish(reply answer, const routed_request &asked, time_point startedAt)
{
    const std::string_view said = http::header(answer.message, "Almond-Outcome");
    m_counters.run += said == nameOf(outcome::run) ? 1 : 0;
    m_counters.notRun += said == nameOf(outcome::notRun) ? 1 : 0;
    m_counters.unknown += said == nameOf(outcome::unknown) ? 1 : 0;
    if (!asked.id.empty())
        answer.message.set(boost::beast::string_view(requestIdHeader.data(), requestIdHeader.size()),
                           asked.id);
    const auto elapsed = std::chrono::duration<double>(m_services.clock() - startedAt);
    if (m_services.observeSeconds)
        m_services.observeSeconds(elapsed.count());
    return answer;
}

task<reply> request_router::routeClaimed(routed_request &asked, std::string key)
{
    // The gateway's own name makes the claim unique even where callers repeat their request ids.
    const std::string unique = m_services.processId + "/" + std::to_string(m_nextRequest++);
    const claim_result claim = co_await m_services.claims->claim(asked.service, key, unique);
    if (claim.status == claim_status::unavailable)
        co_return makeOutcomeReply(status::service_unavailable, outcome::notRun,
                                   "the key can't be claimed while the store is unavailable");
    if (claim.status == claim_status::pending)
        co_return makeOutcomeReply(status::conflict, outcome::unknown,
                                   "a request with this Idempotency-Key is under way or was cut off");
    if (claim.status == claim_status::answered) {
        reply kept = http::makeReply(static_cast<status>(claim.answer.status), claim.answer.body);
        kept.message.set("Almond-Outcome", "run");
        kept.message.set("Almond-Replayed", "true");
        co_return kept;
    }
    reply answer = co_await routeToMinions(asked);
    const std::string_view said = http::header(answer.message, "Almond-Outcome");
    if (said == nameOf(outcome::notRun)) {
        co_await m_services.claims->withdraw(asked.service, key);
    } else if (said == nameOf(outcome::run)) {
        kept_answer kept{answer.message.result_int(), answer.message.body(), ""};
        co_await m_services.claims->complete(asked.service, key, claim.revision, std::move(kept));
    }
    co_return answer;
}

task<reply> request_router::routeToMinions(routed_request &asked)
{
    service_state &service = m_state[asked.service];
    addRetryTokens(service.routing, m_services.settings);
    // A request that has not waited yet goes behind those that do.
    bool isTurn = service.waiting.empty();
    bool hasWaited = false;
    while (true) {
        const time_point now = m_services.clock();
        const bool late
            = hasWaited && wouldMissDeadline(service.routing, m_services.settings, asked.deadline - now);
        m_counters.shed += late ? 1 : 0;
        if (now >= asked.deadline || late) {
            wakeOne(service);
            co_return giveUp(asked);
        }
        const auto index = isTurn ? chooseMinion(service.routing, m_services.settings, asked.tried, now)
                                  : std::optional<std::size_t>();
        if (!index) {
            isTurn = co_await awaitTurn(service, asked.deadline, hasWaited);
            hasWaited = true;
            if (!isTurn)
                co_return giveUp(asked);
            continue;
        }
        attempt_outcome result = co_await attempt(asked, service, *index);
        if (result.verdict == attempt_verdict::final)
            co_return std::move(result.answer);
        if (result.verdict == attempt_verdict::giveUp)
            co_return giveUp(asked);
    }
}

task<bool> request_router::awaitTurn(service_state &service, time_point deadline, bool atFront)
{
    if (service.waiting.size() >= m_services.queueLength) {
        ++m_counters.queueFull;
        co_return false;
    }
    const auto turn = std::make_shared<kernel::completion<bool>>(m_context.get_executor());
    if (atFront)
        service.waiting.push_front(turn);
    else
        service.waiting.push_back(turn);
    while (true) {
        const milliseconds left = deadline - m_services.clock();
        if (left <= milliseconds(0))
            break;
        // Ejections and pauses end without an event, so the first in the queue looks again from time to time.
        const auto woken = co_await turn->wait(std::min(left, slotPollInterval));
        const bool first = !service.waiting.empty() && service.waiting.front() == turn;
        if (!woken && !first)
            continue;
        std::erase(service.waiting, turn);
        co_return true;
    }
    std::erase(service.waiting, turn);
    ++m_counters.queueExpired;
    co_return false;
}

void request_router::wakeOne(service_state &service)
{
    if (service.waiting.empty())
        return;
    const auto turn = service.waiting.front();
    service.waiting.pop_front();
    turn->complete(true);
}

task<request_router::attempt_outcome> request_router::attempt(routed_request &asked, service_state &service,
                                                              std::size_t index)
{
    minion_state &chosen = service.routing.minions[index];
    const std::string id = chosen.id;
    const std::string address = chosen.address;
    recordSend(chosen);
    ++m_counters.attempts;
    asked.tried.push_back(id);
    const time_point startedAt = m_services.clock();
    const milliseconds timeout
        = attemptTimeout(chosen, m_services.settings, asked.idempotent, asked.deadline - startedAt);
    http::exchange_result result = co_await m_services.minions->exchange(
        address, forwardedRequest(asked.message, asked.id, address), timeout);
    attempt_report report;
    report.result = resultFor(result);
    report.elapsed = m_services.clock() - startedAt;
    report.busy = reportedBusy(result);
    finishAttempt(asked.service, id, address, report);
    minion_state answered;
    answered.id = id;
    answered.address = address;
    co_return judge(asked, service, answered, std::move(result));
}

void request_router::finishAttempt(const std::string &service, const std::string &minion,
                                   const std::string &address, const attempt_report &report)
{
    service_state &state = m_state[service];
    for (minion_state &item : state.routing.minions) {
        if (item.id != minion || item.address != address)
            continue;
        recordAttempt(item, m_services.settings, report, m_services.clock());
    }
    if (report.result == attempt_result::answered)
        recordLatency(state.routing, report.elapsed);
    wakeOne(state);
}

request_router::attempt_outcome request_router::judge(routed_request &asked, service_state &service,
                                                      const minion_state &minion,
                                                      http::exchange_result result)
{
    if (result.status != exchange_status::answered) {
        asked.lastFailure = minion.id + ": " + result.detail;
        if (result.status == exchange_status::timedOut)
            m_services.minions->forget(minion.address);
        return judgeFailure(asked, service, result.status);
    }
    if (!http::header(result.answer, "Almond-Refused").empty()) {
        ++m_counters.refused;
        asked.lastFailure = minion.id + ": refused";
        return {attempt_verdict::tryElsewhere, {}};
    }
    if (http::header(result.answer, requestIdHeader) != asked.id) {
        observe::log(observe::log_level::error, "answer to another request", {{"minion", minion.id}});
        asked.lastFailure = minion.id + ": the answer belongs to another request";
        return judgeFailure(asked, service, exchange_status::broken);
    }
    const bool serverError = result.answer.result_int() >= 500;
    if (serverError && asked.idempotent && mayRetry(asked, service)) {
        asked.mayHaveRun = true;
        return {attempt_verdict::tryElsewhere, {}};
    }
    attempt_outcome done{attempt_verdict::final, passedOn(std::move(result.answer))};
    done.answer.message.set("Almond-Outcome", "run");
    return done;
}

request_router::attempt_outcome request_router::judgeFailure(routed_request &asked, service_state &service,
                                                             exchange_status status)
{
    if (status == exchange_status::notSent)
        return {attempt_verdict::tryElsewhere, {}};
    asked.mayHaveRun = true;
    const bool again = asked.idempotent && mayRetry(asked, service);
    return {again ? attempt_verdict::tryElsewhere : attempt_verdict::giveUp, {}};
}

bool request_router::mayRetry(routed_request &asked, service_state &service)
{
    const bool inTime = m_services.clock() < asked.deadline;
    const bool granted = inTime && takeRetryToken(service.routing);
    m_counters.retries += granted ? 1 : 0;
    m_counters.retriesDenied += granted ? 0 : 1;
    return granted;
}

reply request_router::giveUp(const routed_request &asked) const
{
    if (!asked.mayHaveRun)
        return makeOutcomeReply(status::service_unavailable, outcome::notRun,
                                asked.lastFailure.empty() ? "no minion was free in time" : asked.lastFailure);
    const bool late = m_services.clock() >= asked.deadline;
    return makeOutcomeReply(late ? status::gateway_timeout : status::bad_gateway, outcome::unknown,
                            asked.lastFailure);
}

std::size_t request_router::queued() const
{
    std::size_t count = 0;
    for (const auto &[name, service] : m_state)
        count += service.waiting.size();
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
        services[name] = {{"queued", service.waiting.size()},
                          {"retryTokens", service.routing.retryTokens},
                          {"minions", minions}};
    }
    return services;
}

} // namespace almond::routing
