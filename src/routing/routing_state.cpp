#include "routing/routing_state.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace almond::routing {

namespace {

constexpr double averageWeight = 0.1;
constexpr int longestBackoffShift = 10;

double movingAverage(double average, double sample)
{
    return average == 0 ? sample : average + averageWeight * (sample - average);
}

bool isLeaving(const minion_state &minion, time_point now)
{
    return minion.leaving || now < minion.leavingUntil;
}

//! Requests at the minion: what it last reported and what was sent since, or this gateway's own alone.
std::int64_t estimatedBusy(const minion_state &minion)
{
    if (!minion.reportedBusy)
        return minion.inFlight;
    return std::max(minion.inFlight, *minion.reportedBusy + minion.sentSinceReport);
}

//! A minion that was full is asked again, by one request, when its pause is over.
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
    // After an ejection one request at a time shows whether the minion is back.
    const bool onProbation = minion.ejections > 0;
    return !onProbation || minion.inFlight == 0;
}

bool wasTried(const minion_state &minion, const std::vector<std::string> &tried)
{
    return std::find(tried.begin(), tried.end(), minion.id) != tried.end();
}

template<typename Allowed>
std::vector<std::size_t> indexesOf(const routing_state &state, Allowed allowed)
{
    std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < state.minions.size(); ++index) {
        if (allowed(state.minions[index]))
            indexes.push_back(index);
    }
    return indexes;
}

std::size_t randomOf(routing_state &state, const std::vector<std::size_t> &indexes)
{
    std::uniform_int_distribution<std::size_t> any(0, indexes.size() - 1);
    return indexes[any(state.random)];
}

std::size_t nextInTurn(routing_state &state, const std::vector<std::size_t> &indexes)
{
    const auto after = std::lower_bound(indexes.begin(), indexes.end(), state.nextInTurn);
    const std::size_t chosen = after == indexes.end() ? indexes.front() : *after;
    state.nextInTurn = chosen + 1;
    return chosen;
}

std::size_t betterOfTwo(routing_state &state, const std::vector<std::size_t> &indexes)
{
    const std::size_t first = randomOf(state, indexes);
    const std::size_t second = randomOf(state, indexes);
    return state.minions[second].inFlight < state.minions[first].inFlight ? second : first;
}

//! Expected wait grows with the requests in flight and with the minion's usual answer time.
double loadOf(const minion_state &minion)
{
    const double typical = minion.averageLatencyMs > 0 ? minion.averageLatencyMs : 1;
    return (static_cast<double>(estimatedBusy(minion)) + 1) * typical;
}

std::size_t leastLoaded(routing_state &state, const std::vector<std::size_t> &indexes)
{
    std::int64_t fewest = estimatedBusy(state.minions[indexes.front()]);
    for (const std::size_t index : indexes)
        fewest = std::min(fewest, estimatedBusy(state.minions[index]));
    std::vector<std::size_t> best;
    for (const std::size_t index : indexes) {
        if (estimatedBusy(state.minions[index]) == fewest)
            best.push_back(index);
    }
    // Among equals, two random ones are compared by their usual answer time.
    const std::size_t first = randomOf(state, best);
    const std::size_t second = randomOf(state, best);
    return loadOf(state.minions[second]) < loadOf(state.minions[first]) ? second : first;
}

std::size_t pick(routing_state &state, routing_policy policy, const std::vector<std::size_t> &indexes)
{
    switch (policy) {
    case routing_policy::random:
        return randomOf(state, indexes);
    case routing_policy::roundRobin:
        return nextInTurn(state, indexes);
    case routing_policy::twoChoices:
        return betterOfTwo(state, indexes);
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
    const int shift = std::min(minion.ejections, longestBackoffShift);
    const milliseconds pause = std::min(settings.maximumEjection, settings.initialEjection * (1 << shift));
    minion.ejectedUntil = now + pause;
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
    auto indexes = indexesOf(state, [&](const minion_state &minion) {
        return usable(minion) && isHealthy(minion, now) && !wasTried(minion, tried);
    });
    if (indexes.empty())
        indexes = indexesOf(state, [&](const minion_state &minion) {
            return usable(minion) && now >= minion.backoffUntil && !wasTried(minion, tried);
        });
    if (indexes.empty() && !tried.empty())
        indexes = indexesOf(
            state, [&](const minion_state &minion) { return usable(minion) && now >= minion.backoffUntil; });
    if (indexes.empty())
        return std::nullopt;
    return pick(state, settings.policy, indexes);
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
    const milliseconds patience(std::llround(minion.averageLatencyMs * settings.attemptLatencyFactor));
    return std::min(untilDeadline, std::max(settings.minimumAttemptTimeout, patience));
}

void updateMinions(routing_state &state, const std::vector<listed_minion> &listed)
{
    for (minion_state &minion : state.minions)
        minion.leaving = true;
    for (const listed_minion &item : listed) {
        const auto known = std::find_if(state.minions.begin(), state.minions.end(),
                                        [&](const minion_state &minion) { return minion.id == item.id; });
        minion_state &minion = known == state.minions.end() ? state.minions.emplace_back() : *known;
        if (minion.address != item.address)
            minion = minion_state{};
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
