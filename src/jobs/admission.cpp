#include "jobs/admission.h"

#include "jobs/lateness.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace almond::jobs {

namespace {

declared_work workOf(const step_spec &spec)
{
    return static_cast<double>(spec.demand.millicores) * static_cast<double>(spec.declaredDuration.count());
}

double decayFactor(time_point since, time_point now, milliseconds timeConstant)
{
    const milliseconds passed = std::max(milliseconds(now - since), milliseconds(0));
    return std::exp(-static_cast<double>(passed.count()) / static_cast<double>(timeConstant.count()));
}

bool isBestEffortBatch(const step_spec &spec)
{
    return spec.bestEffort && !spec.longRunning;
}

//! Returns the average rate at which work was done, in millicores.
double throughput(const work_meter &meter, const admission_rules &rules, time_point now)
{
    const double weight = 1.0 - decayFactor(meter.startedAt, now, rules.throughputWindow);
    if (weight <= 0.0)
        return 0.0;
    const double done = meter.done * decayFactor(meter.updatedAt, now, rules.throughputWindow);
    return done / (weight * static_cast<double>(rules.throughputWindow.count()));
}

} // namespace

void recordDoneWork(work_meters &meters, const admission_rules &rules, const job_table &table,
                    const fleet_config &config, std::span<const journal_record> records, time_point now)
{
    for (const journal_record &record : records) {
        if (record.kind != record_kind::ended || record.end != run_end::done)
            continue;
        const step_spec *spec = findStep(table, record.task);
        if (!spec || !isBestEffortBatch(*spec))
            continue;
        const auto queue = config.queues.find(table.jobs.find(record.task.job)->second.spec.queue);
        if (queue == config.queues.end())
            continue;
        const auto [place, added] = meters.try_emplace(queue->second.service, work_meter{0.0, now, now});
        work_meter &meter = place->second;
        meter.done = meter.done * decayFactor(meter.updatedAt, now, rules.throughputWindow) + workOf(*spec);
        meter.updatedAt = now;
    }
}

service_loads waitingWork(const job_table &table, const fleet_config &config, time_point unixNow)
{
    service_loads loads;
    for (const std::string &id : table.jobsWithWaitingTasks) {
        const job_state &jobState = table.jobs.find(id)->second;
        const auto queue = config.queues.find(jobState.spec.queue);
        if (queue == config.queues.end())
            continue;
        for (const auto &[number, occurrence] : jobState.occurrences) {
            if (latenessOf(jobState, number, queue->second, unixNow) == lateness::farTooLate)
                continue;
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const step_spec &spec = jobState.spec.steps[step];
                const std::uint32_t waiting = occurrence.steps[step].waiting;
                if (waiting == 0 || !isBestEffortBatch(spec))
                    continue;
                waiting_work &work = loads[queue->second.service].waiting[queue->second.priority];
                (isReady(jobState, occurrence, step) ? work.ready : work.later) += workOf(spec) * waiting;
            }
        }
    }
    return loads;
}

expected_waits expectedWaits(const service_loads &loads, const work_meters &meters,
                             const admission_rules &rules, time_point now)
{
    constexpr double whole = 100.0;
    expected_waits waits;
    for (const auto &[service, load] : loads) {
        const auto meter = meters.find(service);
        const double measured = meter == meters.end() ? 0.0 : throughput(meter->second, rules, now);
        const double least = static_cast<double>(load.bestEffortMillicores) * rules.leastUsePercent / whole;
        const double rate = std::max({measured, least, 1.0});
        waiting_work ahead;
        for (const auto &[priority, work] : load.waiting) {
            ahead.ready += work.ready;
            ahead.later += work.later;
            const declared_work waiting
                = ahead.ready + std::min(ahead.later, ahead.ready * rules.laterWorkFactor);
            constexpr double longestWaitMs = 3.6e6;
            waits[service][priority]
                = milliseconds(static_cast<std::int64_t>(std::min(waiting / rate, longestWaitMs)));
        }
    }
    return waits;
}

milliseconds expectedWait(const expected_waits &waits, std::string_view service, int priority)
{
    const auto known = waits.find(service);
    if (known == waits.end())
        return milliseconds(0);
    // Work of lower priorities does not count.
    const auto behind = known->second.upper_bound(priority);
    return behind == known->second.begin() ? milliseconds(0) : std::prev(behind)->second;
}

bool dependsOnBestEffort(const job &candidate)
{
    // Scheduled occurrences are due later, when the wait may be another one.
    return candidate.repetitions == 0
        && std::any_of(candidate.steps.begin(), candidate.steps.end(), isBestEffortBatch);
}

std::optional<milliseconds> rejectionOf(const job &candidate, const queue_rules &queue,
                                        const admission_rules &rules, milliseconds wait)
{
    if (!dependsOnBestEffort(candidate))
        return std::nullopt;
    const milliseconds spare = completionObjective(candidate, queue) - criticalPath(candidate, nullptr);
    constexpr int whole = 100;
    const milliseconds longest = std::max(spare * rules.waitPercent / whole, rules.acceptableWait);
    if (wait <= longest)
        return std::nullopt;
    return wait - longest;
}

} // namespace almond::jobs
