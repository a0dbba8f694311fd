#include "jobs/miss_monitor.h"

#include "jobs/job_codec.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almond::jobs {

namespace {

using nlohmann::json;

miss_height heightOf(double excess)
{
    const double ratio = std::exp(excess);
    if (ratio < 2.0)
        return miss_height::under2;
    return ratio <= 4.0 ? miss_height::from2To4 : miss_height::over4;
}

//! When the last of the suspended neighbours was suspended; nothing if there are none.
std::optional<time_point> suspendedAt(const polled_worker &worker)
{
    std::optional<time_point> last;
    for (const running_report &row : worker.session.running) {
        const auto order = worker.throttle.orders.find({row.task, row.run});
        const bool suspended = order != worker.throttle.orders.end() && order->second.percent == 0
            && order->second.acceptedAt != time_point{};
        if (suspended && isBestEffort(findStep(worker.table, row.task)))
            last = std::max(last.value_or(time_point{}), order->second.acceptedAt);
    }
    return last;
}

json describeReadings(const tail_history &tail, time_point now)
{
    json readings = json::array();
    for (const tail_measurement &measurement : tail.measurements)
        readings.push_back({{"latencyMs", measurement.latencyMs}, {"ageMs", (now - measurement.at).count()}});
    return readings;
}

//! Describes the best-effort runs on the worker and what is known of their limits.
json describeNeighbours(const polled_worker &worker, time_point now)
{
    json runs = json::array();
    for (const running_report &row : worker.session.running) {
        if (!isBestEffort(findStep(worker.table, row.task)))
            continue;
        const auto order = worker.throttle.orders.find({row.task, row.run});
        const auto accepted = worker.session.acceptedRuns.find(row.task);
        json run{{"task", formatTask(row.task)},
                 {"run", row.run},
                 {"percent", throttlePercent(worker.throttle, row.task, row.run)},
                 {"limitAccepted", nullptr},
                 {"startedBeforeMs", nullptr},
                 {"usedMillicores", row.measurement}};
        if (order != worker.throttle.orders.end())
            run["limitAccepted"] = order->second.acceptedAt != time_point{};
        if (accepted != worker.session.acceptedRuns.end() && accepted->second.first == row.run)
            run["startedBeforeMs"] = (now - accepted->second.second).count();
        runs.push_back(std::move(run));
    }
    return runs;
}

//! State of the observation of one worker.
struct observation
{
    miss_monitor &monitor;
    const polled_worker &worker;
    time_point now;
    std::vector<log_line> lines;
};

void recordLength(miss_monitor &monitor, milliseconds length)
{
    monitor.found.endedMisses.push_back(length);
    monitor.longestMiss = std::max(monitor.longestMiss, length);
}

void endMiss(observation &seen, const task_name &name, watched_task &task, time_point end, const char *cause)
{
    // The miss may have gone on until the poll that shows its end.
    const milliseconds length
        = task.miss->isCounted ? std::max(task.miss->lasted, end - task.miss->since) : task.miss->lasted;
    recordLength(seen.monitor, length);
    if (task.miss->isLogged)
        seen.lines.push_back({"target miss of a serving task beside best-effort tasks has ended",
                              {{"task", formatTask(name)},
                               {"worker", seen.worker.session.incarnation},
                               {"lastedMs", length.count()},
                               {"cause", cause}}});
    task.miss.reset();
    task.missEndedAt = end;
}

void logIfLong(observation &seen, const task_name &name, const tail_history &tail, watched_task &task)
{
    const double logged
        = seen.monitor.rules.logFrom * static_cast<double>(seen.worker.rules.harmBound.count());
    if (task.miss->isLogged || static_cast<double>(task.miss->lasted.count()) < logged)
        return;
    task.miss->isLogged = true;
    const step_spec *spec = findStep(seen.worker.table, name);
    json fields{{"task", formatTask(name)},
                {"worker", seen.worker.session.incarnation},
                {"lastedMs", task.miss->lasted.count()},
                {"targetMs", nullptr},
                {"previousEndedBeforeMs", nullptr},
                {"readings", describeReadings(tail, seen.now)},
                {"neighbours", describeNeighbours(seen.worker, seen.now)}};
    if (spec)
        fields["targetMs"] = spec->tailLatencyTarget.count();
    if (task.missEndedAt != time_point{})
        fields["previousEndedBeforeMs"] = (seen.now - task.missEndedAt).count();
    seen.lines.push_back({"serving task near the harm bound beside best-effort tasks", std::move(fields)});
}

void observeDisturbed(observation &seen, const task_name &name, const tail_history &tail, watched_task &task)
{
    const miss_rules &rules = seen.worker.rules.misses;
    std::optional<possible_miss> miss = tail.miss;
    if (miss && !isLikely(*miss, rules))
        miss.reset();
    if (task.miss && !miss)
        endMiss(seen, name, task, seen.now, "target met");
    // A miss that is longer than the history of measurements did not begin anew.
    const bool beganAnew = task.miss && miss->since > task.miss->since
        && miss->firstMeasuredAt != tail.measurements.front().at;
    if (beganAnew)
        endMiss(seen, name, task, miss->since, "target met");
    const bool counted = miss && miss->meanExcess >= 0.0;
    if (counted && !task.miss)
        task.miss = open_miss{miss->since};
    if (!task.miss)
        return;
    task.miss->isCounted = counted;
    if (!counted)
        return;
    task.miss->since = std::min(task.miss->since, miss->since);
    task.miss->lasted = seen.now - task.miss->since;
    seen.monitor.longestMiss = std::max(seen.monitor.longestMiss, task.miss->lasted);
    logIfLong(seen, name, tail, task);
}

void observeUndisturbed(observation &seen, const task_name &name, watched_task &task)
{
    if (!task.miss)
        return;
    const std::optional<time_point> suspended = suspendedAt(seen.worker);
    endMiss(seen, name, task, suspended.value_or(seen.now), suspended ? "suspended" : "neighbours ended");
    if (suspended && task.excess > 0.0)
        task.falling = falling_tail{*suspended, heightOf(task.excess)};
}

void observeMeasurement(observation &seen, const tail_history &tail, bool disturbed, watched_task &task)
{
    const double excess = tail.measurements.back().excess;
    const bool disturbedSince = task.measuredAt != time_point{} && task.measuredAt > tail.undisturbedAt;
    if (disturbed && disturbedSince) {
        const milliseconds gap = seen.now - task.measuredAt;
        seen.monitor.found.measurementGaps.push_back(gap);
        seen.monitor.longestMeasurementGap = std::max(seen.monitor.longestMeasurementGap, gap);
    }
    task.measuredAt = seen.now;
    if (disturbed)
        task.excess = excess;
    if (!task.falling || excess > 0.0)
        return;
    seen.monitor.found.recoveries.at(static_cast<std::size_t>(task.falling->height))
        .push_back(seen.now - task.falling->suspendedAt);
    task.falling.reset();
}

void observeTask(observation &seen, const task_name &name, const tail_history &tail, watched_task &task)
{
    const bool disturbed = tail.undisturbedAt != seen.now;
    if (disturbed) {
        task.falling.reset();
        observeDisturbed(seen, name, tail, task);
    } else {
        observeUndisturbed(seen, name, task);
    }
    if (!tail.measurements.empty() && tail.measurements.back().seenAt == seen.now)
        observeMeasurement(seen, tail, disturbed, task);
}

} // namespace

std::string_view heightName(miss_height height)
{
    constexpr std::array<std::string_view, missHeightCount> names{"under_2", "2_to_4", "over_4"};
    return names.at(static_cast<std::size_t>(height));
}

std::vector<log_line> observeMisses(miss_monitor &monitor, const polled_worker &worker, time_point now)
{
    const std::map<task_name, tail_history> &tails = worker.throttle.tails;
    if (tails.empty() && monitor.workers.empty())
        return {};
    auto known = monitor.workers.find(worker.session.incarnation);
    const bool anyDisturbed = std::any_of(
        tails.begin(), tails.end(), [now](const auto &entry) { return entry.second.undisturbedAt != now; });
    if (known == monitor.workers.end() && !anyDisturbed)
        return {};
    if (known == monitor.workers.end())
        known = monitor.workers.try_emplace(worker.session.incarnation).first;
    observation seen{monitor, worker, now, {}};
    watched_worker &watched = known->second;
    watched.observedAt = now;
    for (const auto &[name, tail] : tails)
        observeTask(seen, name, tail, watched.tasks[name]);
    for (auto &[name, task] : watched.tasks) {
        if (task.miss && !tails.contains(name))
            endMiss(seen, name, task, now, "not listed");
    }
    std::erase_if(watched.tasks, [&tails, now](const auto &entry) {
        const auto tail = tails.find(entry.first);
        return tail == tails.end() || (tail->second.undisturbedAt == now && !entry.second.falling);
    });
    if (watched.tasks.empty())
        monitor.workers.erase(known);
    return std::move(seen.lines);
}

void forgetSilentWorkers(miss_monitor &monitor, time_point now)
{
    std::erase_if(monitor.workers, [&](const auto &entry) {
        if (now - entry.second.observedAt < monitor.rules.retention)
            return false;
        for (const auto &[name, task] : entry.second.tasks) {
            if (task.miss)
                recordLength(monitor, task.miss->lasted);
        }
        return true;
    });
}

miss_findings takeFindings(miss_monitor &monitor)
{
    return std::exchange(monitor.found, {});
}

json describeMisses(const miss_monitor &monitor)
{
    constexpr std::size_t described = 5;
    struct present_miss
    {
        milliseconds lasted;
        const task_name *task;
        const std::string *worker;
    };
    std::vector<present_miss> present;
    for (const auto &[incarnation, worker] : monitor.workers) {
        for (const auto &[name, task] : worker.tasks) {
            if (task.miss)
                present.push_back({task.miss->lasted, &name, &incarnation});
        }
    }
    const auto end = present.begin() + static_cast<std::ptrdiff_t>(std::min(described, present.size()));
    std::partial_sort(
        present.begin(), end, present.end(),
        [](const present_miss &left, const present_miss &right) { return left.lasted > right.lasted; });
    json misses = json::array();
    for (auto miss = present.begin(); miss != end; ++miss)
        misses.push_back({{"task", formatTask(*miss->task)},
                          {"worker", *miss->worker},
                          {"lastedMs", miss->lasted.count()}});
    return {{"present", std::move(misses)},
            {"longestMs", monitor.longestMiss.count()},
            {"longestMeasurementGapMs", monitor.longestMeasurementGap.count()}};
}

} // namespace almond::jobs
