#include "jobs/round_work.h"

#include <algorithm>
#include <tuple>

namespace almond::jobs {

namespace {

void addDemand(waiting_demand &demand, const step_spec &spec)
{
    demand.serving = demand.serving || (spec.longRunning && spec.tailLatencyTarget.count() > 0);
    if (spec.bestEffort)
        demand.smallestBestEffort
            = std::min(demand.smallestBestEffort.value_or(spec.demand.millicores), spec.demand.millicores);
}

//! Adds the waiting steps of \a jobState; \a queue is null for an unknown one, whose tasks may not start.
void addJobWork(round_work &work, const job_state &jobState, const queue_rules *queue, time_point unixNow)
{
    for (const auto &[number, occurrence] : jobState.occurrences) {
        std::optional<lateness> expectedLateness;
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.steps[step].waiting == 0)
                continue;
            const step_spec &spec = jobState.spec.steps[step];
            addDemand(work.demand, spec);
            if (!queue || !isReady(jobState, occurrence, step))
                continue;
            if (!expectedLateness)
                expectedLateness = latenessOf(jobState, number, *queue, unixNow);
            work.ready.push_back({queue->priority, spec.longRunning, *expectedLateness,
                                  jobState.spec.acceptedAtMs, &jobState, number, step, queue});
        }
    }
}

} // namespace

round_work findRoundWork(const job_table &table, const fleet_config &config, time_point unixNow)
{
    round_work work;
    for (const job_id &id : table.jobsWithWaitingTasks) {
        const job_state &jobState = table.jobs.find(id)->second;
        const auto queue = config.queues.find(jobState.spec.queue);
        addJobWork(work, jobState, queue == config.queues.end() ? nullptr : &queue->second, unixNow);
    }
    std::sort(work.ready.begin(), work.ready.end(), [](const ready_step &left, const ready_step &right) {
        return std::tie(left.priority, left.longRunning, left.expectedLateness, left.acceptedAtMs,
                        left.jobState->spec.id, left.occurrence, left.step)
            < std::tie(right.priority, right.longRunning, right.expectedLateness, right.acceptedAtMs,
                       right.jobState->spec.id, right.occurrence, right.step);
    });
    return work;
}

waiting_demand waitingDemand(const job_table &table)
{
    return findRoundWork(table, {}, {}).demand;
}

} // namespace almond::jobs
