#include "jobs/serving_tails.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almond::jobs {

bool isStartedHere(const worker_session &session, const running_report &row)
{
    const auto accepted = session.acceptedRuns.find(row.task);
    return (accepted != session.acceptedRuns.end() && accepted->second.first == row.run)
        || session.pendingStarts.contains(row.task) || session.unansweredStarts.contains(row.task);
}

void updateTails(throttle_state &throttle, const interference_rules &rules, const worker_session &session,
                 std::span<const listed_run> runs, bool disturbed, time_point now)
{
    miss_rules misses = rules.misses;
    misses.historyTime = std::max(misses.historyTime, 2 * rules.harmBound);
    std::size_t present = 0;
    for (const listed_run &run : runs) {
        if (!isServing(run.spec))
            continue;
        const running_report &row = *run.report;
        ++present;
        const auto [known, isNew] = throttle.tails.try_emplace(row.task);
        tail_history &tail = known->second;
        if (isNew && !isStartedHere(session, row))
            tail.unattendedSince = throttle.unattendedSince;
        if (!disturbed)
            tail.undisturbedAt = now;
        if (row.measurement > 0)
            recordTail(tail, misses, row.measurement, run.spec->tailLatencyTarget, now);
        tail.miss = possibleMiss(tail, rules.misses);
    }
    if (throttle.tails.size() == present)
        return;
    std::erase_if(throttle.tails, [runs](const auto &entry) {
        return std::none_of(runs.begin(), runs.end(),
                            [&entry](const listed_run &run) { return run.report->task == entry.first; });
    });
}

bool assessTargetMisses(throttle_state &throttle, const interference_rules &rules, time_point now)
{
    bool isNear = false;
    bool isUncertain = false;
    const std::optional<time_point> before = std::exchange(throttle.missedSince, std::nullopt);
    for (const auto &[task, tail] : throttle.tails) {
        isUncertain = isUncertain || isUnconfirmed(tail, rules.misses);
        if (!tail.miss || !isLikely(*tail.miss, rules.misses))
            continue;
        throttle.missedSince = std::min(throttle.missedSince.value_or(now), tail.miss->firstMeasuredAt);
        isNear = isNear || now - tail.miss->since >= suspensionDelay(*tail.miss, rules);
    }
    if (!throttle.missedSince && isUncertain)
        throttle.missedSince = before;
    if (throttle.missedSince || throttle.metSince == time_point{})
        throttle.metSince = now;
    return isNear;
}

bool isMissedFor(const throttle_state &throttle, milliseconds time, time_point now)
{
    return throttle.missedSince && now - *throttle.missedSince >= time;
}

bool isRoomConfirmed(const throttle_state &throttle, const interference_rules &rules,
                     std::span<const listed_run> runs)
{
    return std::none_of(runs.begin(), runs.end(), [&](const listed_run &run) {
        if (!isServing(run.spec))
            return false;
        const auto tail = throttle.tails.find(run.report->task);
        return tail != throttle.tails.end()
            && (run.report->measurement <= 0 || isUnconfirmed(tail->second, rules.misses));
    });
}

bool isTargetMissed(const throttle_state &throttle)
{
    return throttle.missedSince.has_value();
}

milliseconds suspensionDelay(const possible_miss &miss, const interference_rules &rules)
{
    const double halvings = std::max(0.0, miss.latestExcess) / std::log(2.0);
    const milliseconds falling(
        static_cast<std::int64_t>(halvings * static_cast<double>(rules.tailHalfLife.count())));
    return rules.harmBound - rules.misses.measurementTime - rules.suspendTime - rules.pollInterval - falling;
}

bool isBestEffortBlocked(const throttle_state &throttle, const interference_rules &rules, time_point now)
{
    return isMissedFor(throttle, rules.throttleAfter, now);
}

} // namespace almond::jobs
