#include "routing/routing_state.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace almond::routing {

namespace {

constexpr double latencySampleWeight = 0.1;
constexpr int maximumEjectionDoublings = 10;

double movingAverage(double average, double sample)
{
    return average == 0 ? sample : average + latencySampleWeight * (sample - average);
}

bool isLeaving(const minion_state &minion, time_point now)
{
    return minion.leaving || now < minion.leavingUntil;
}

//! Estimates the slots in use: those that the minion last reported and the requests sent since then. Without
//! a report, only the requests of this gateway.
std::int64_t estimatedBusy(const minion_state &minion)
{
    if (!minion.reportedBusy)
        return minion.inFlight;
    return std::max(minion.inFlight, *minion.reportedBusy + minion.sentSinceReport);
}

//! Returns whether a slot is probably free. After the backoff, a full minion gets one request as a probe.
bool hasSlot(const minion_state &minion, time_point now)
{
    if (minion.inFlight >= minion.slots)
        return false;
    if (estimatedBusy(minion) < minion.slots)
        return true;
    return now >= minion.backoffUntil && minion.sentSinceReport == 0;
}

bool isHealthy(const minion_state &minion, time_point now)
{
    if (now < minion.backoffUntil || now < minion.ejectedUntil)
        return false;
    // After an ejection, the minion gets one request at a time until one is answered.
    const bool isRecovering = minion.ejections > 0;
    return !isRecovering || minion.inFlight == 0;
}

bool wasTried(const minion_state &minion, const std::vector<std::string> &tried)
{
    return std::find(tried.begin(), tried.end(), minion.id) != tried.end();
}

template<typename Allowed>
std::vector<std::size_t> indexesWhere(const routing_state &state, Allowed allowed)
{
    std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < state.minions.size(); ++index) {
        if (allowed(state.minions[index]))
            indexes.push_back(index);
    }
    return indexes;
}

std::size_t randomIndex(routing_state &state, const std::vector<std::size_t> &indexes)
{
    std::uniform_int_distribution<std::size_t> any(0, indexes.size() - 1);
    return indexes[any(state.random)];
}

std::size_t nextRoundRobin(routing_state &state, const std::vector<std::size_t> &indexes)
{
    const auto after = std::lower_bound(indexes.begin(), indexes.end(), state.nextRoundRobin);
    const std::size_t chosen = after == indexes.end() ? indexes.front() : *after;
    state.nextRoundRobin = chosen + 1;
    return chosen;
}

std::size_t fewerInFlightOfTwo(routing_state &state, const std::vector<std::size_t> &indexes)
{
    const std::size_t first = randomIndex(state, indexes);
    const std::size_t second = randomIndex(state, indexes);
    return state.minions[second].inFlight < state.minions[first].inFlight ? second : first;
}

//! Estimates the wait from the requests at the minion and its average latency.
double expectedWait(const minion_state &minion)
{
    const double latencyMs = minion.averageLatencyMs > 0 ? minion.averageLatencyMs : 1;
    return (static_cast<double>(estimatedBusy(minion)) + 1) * latencyMs;
}

std::size_t leastLoaded(routing_state &state, const std::vector<std::size_t> &indexes)
{
    std::int64_t lowest = estimatedBusy(state.minions[indexes.front()]);
    for (const std::size_t index : indexes)
        lowest = std::min(lowest, estimatedBusy(state.minions[index]));
    std::vector<std::size_t> leastBusy;
    for (const std::size_t index : indexes) {
        if (estimatedBusy(state.minions[index]) == lowest)
            leastBusy.push_back(index);
    }
    // Of two random minions among the least busy ones, the one with the lower expected wait is chosen.
    const std::size_t first = randomIndex(state, leastBusy);
    const std::size_t second = randomIndex(state, leastBusy);
    return expectedWait(state.minions[second]) < expectedWait(state.minions[first]) ? second : first;
}

std::size_t chooseByPolicy(routing_state &state, routing_policy policy,
                           const std::vector<std::size_t> &indexes)
{
    switch (policy) {
    case routing_policy::random:
        return randomIndex(state, indexes);
    case routing_policy::roundRobin:
        return nextRoundRobin(state, indexes);
    case routing_policy::twoChoices:
        return fewerInFlightOfTwo(state, indexes);
    case routing_policy::leastLoaded:
        break;
    }
    return leastLoaded(state, indexes);
}

void recordFailure(minion_state &minion, const routing_settings &settings, time_point now)
{
    ++minion.failuresInRow;
    if (minion.failuresInRow < settings.ejectionThreshold && minion.ejections == 0)
        return;
    const int doublings = std::min(minion.ejections, maximumEjectionDoublings);
    const milliseconds ejection
        = std::min(settings.maximumEjection, settings.initialEjection * (1 << doublings));
    minion.ejectedUntil = now + ejection;
    ++minion.ejections;
}

} // namespace

routing_policy policyFromName(std::string_view name)
{
    if (name == "random")
        return routing_policy::random;
    if (name == "round-robin")
        return routing_policy::roundRobin;
    if (name == "two-choices")
        return routing_policy::twoChoices;
    return routing_policy::leastLoaded;
}

std::optional<std::size_t> chooseMinion(routing_state &state, const routing_settings &settings,
                                        const std::vector<std::string> &tried, time_point now)
{
    const auto usable
        = [&](const minion_state &minion) { return !isLeaving(minion, now) && hasSlot(minion, now); };
    auto indexes = indexesWhere(state, [&](const minion_state &minion) {
        return usable(minion) && isHealthy(minion, now) && !wasTried(minion, tried);
    });
    if (indexes.empty())
        indexes = indexesWhere(state, [&](const minion_state &minion) {
            return usable(minion) && now >= minion.backoffUntil && !wasTried(minion, tried);
        });
    if (indexes.empty() && !tried.empty())
        indexes = indexesWhere(
            state, [&](const minion_state &minion) { return usable(minion) && now >= minion.backoffUntil; });
    if (indexes.empty())
        return std::nullopt;
    return chooseByPolicy(state, settings.policy, indexes);
}

void recordSend(minion_state &minion)
{
    ++minion.inFlight;
    ++minion.sentSinceReport;
}

void recordAttempt(minion_state &minion, const routing_settings &settings, const attempt_report &report,
                   time_point now)
{
    --minion.inFlight;
    if (report.busy) {
        minion.reportedBusy = report.busy;
        minion.sentSinceReport = 0;
        if (*report.busy >= minion.slots)
            minion.backoffUntil = now + settings.refusalBackoff;
    }
    switch (report.result) {
    case attempt_result::answered: {
        const auto sample = static_cast<double>(report.elapsed.count());
        minion.averageLatencyMs = movingAverage(minion.averageLatencyMs, sample);
        minion.failuresInRow = 0;
        minion.ejections = 0;
        break;
    }
    case attempt_result::refusedFull:
        minion.backoffUntil = now + settings.refusalBackoff;
        break;
    case attempt_result::refusedLeaving:
        minion.leavingUntil = now + settings.leavingBackoff;
        break;
    case attempt_result::failed:
        recordFailure(minion, settings, now);
        break;
    }
}

void recordLatency(routing_state &state, milliseconds elapsed)
{
    const auto sample = static_cast<double>(elapsed.count());
    state.averageLatencyMs = movingAverage(state.averageLatencyMs, sample);
}

bool wouldMissDeadline(const routing_state &state, const routing_settings &settings, milliseconds left)
{
    return static_cast<double>(left.count()) < state.averageLatencyMs * settings.shedLatencyFactor;
}

void addRetryTokens(routing_state &state, const routing_settings &settings)
{
    state.retryTokens = std::min(settings.maximumRetryTokens, state.retryTokens + settings.retryRatio);
}

bool takeRetryToken(routing_state &state)
{
    if (state.retryTokens < 1)
        return false;
    state.retryTokens -= 1;
    return true;
}

milliseconds attemptTimeout(const minion_state &minion, const routing_settings &settings, bool idempotent,
                            milliseconds untilDeadline)
{
    if (!idempotent || minion.averageLatencyMs == 0)
        return idempotent ? std::max(milliseconds(1), untilDeadline / 2) : untilDeadline;
    const milliseconds usualTimeout(std::llround(minion.averageLatencyMs * settings.attemptLatencyFactor));
    return std::min(untilDeadline, std::max(settings.minimumAttemptTimeout, usualTimeout));
}

void updateMinions(routing_state &state, const std::vector<listed_minion> &listed)
{
    for (minion_state &minion : state.minions)
        minion.leaving = true;
    for (const listed_minion &item : listed) {
        // A request ends at the address it was sent to: what is in flight there stays with that address.
        const auto known
            = std::find_if(state.minions.begin(), state.minions.end(), [&](const minion_state &minion) {
                  return minion.id == item.id && minion.address == item.address;
              });
        minion_state &minion = known == state.minions.end() ? state.minions.emplace_back() : *known;
        minion.id = item.id;
        minion.address = item.address;
        minion.failureDomain = item.failureDomain;
        minion.leaving = item.leaving;
        minion.slots = item.slots;
    }
    std::erase_if(state.minions,
                  [](const minion_state &minion) { return minion.leaving && minion.inFlight == 0; });
}

} // namespace almond::routing
