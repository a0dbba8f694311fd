#include "jobs/batch_reserve.h"

#include "jobs/decay.h"
#include "jobs/placement_round.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace almond::jobs {

namespace {

constexpr std::int64_t whole = 100;
constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();
//! A queue with fewer tasks than this on average has no batch tasks.
constexpr double leastTasks = 0.01;

batch_demand demandOf(const resources &demand, std::int64_t tasks)
{
    return {static_cast<double>(demand.millicores), static_cast<double>(demand.memoryMb),
            static_cast<double>(tasks)};
}

batch_demand operator+(const batch_demand &left, const batch_demand &right)
{
    return {left.millicores + right.millicores, left.memoryMb + right.memoryMb, left.tasks + right.tasks};
}

batch_demand operator*(const batch_demand &demand, double factor)
{
    return {demand.millicores * factor, demand.memoryMb * factor, demand.tasks * factor};
}

//! Demand of the tasks in \a jobState that are ready to start and for which free capacity is of use.
batch_demand readyDemand(const batch_view &view, const job_state &jobState)
{
    batch_demand sum;
    const auto queue = view.config.queues.find(jobState.spec.queue);
    const auto largest = queue == view.config.queues.end() ? view.largestWorkers.end()
                                                           : view.largestWorkers.find(queue->second.service);
    if (largest == view.largestWorkers.end())
        return sum;
    for (const auto &[number, occurrence] : jobState.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const step_spec &spec = jobState.spec.steps[step];
            const std::uint32_t waiting = occurrence.steps[step].waiting;
            if (waiting > 0 && isGuaranteedBatch(spec) && spec.requiredLabel.empty()
                && fits(spec.demand, largest->second) && isReady(jobState, occurrence, step))
                sum = sum + demandOf(spec.demand, 1) * waiting;
        }
    }
    return sum;
}

std::map<std::string, batch_demand, std::less<>> presentDemands(const batch_view &view)
{
    std::map<std::string, batch_demand, std::less<>> present;
    for (const auto &[queue, assigned] : view.table.assignedBatch)
        present[queue] = demandOf(assigned.demand, assigned.tasks);
    for (const job_id &id : view.table.jobsWithWaitingTasks) {
        const job_state &jobState = view.table.jobs.find(id)->second;
        batch_demand &demand = present[jobState.spec.queue];
        demand = demand + readyDemand(view, jobState);
    }
    return present;
}

//! Batch tasks of the same and of higher priorities than those of \a queue.
batch_share shareBefore(const batch_shares &shares, const queue_rules &queue)
{
    batch_share sum;
    const auto first = shares.lower_bound({queue.service, std::numeric_limits<int>::min()});
    const auto last = shares.upper_bound({queue.service, queue.priority});
    for (auto found = first; found != last; ++found) {
        sum.average = sum.average + found->second.average;
        sum.assignedMillicores += found->second.assignedMillicores;
    }
    return sum;
}

//! Resources of one task of \a demand on average.
resources averageTask(const batch_demand &demand)
{
    return {std::llround(demand.millicores / demand.tasks), std::llround(demand.memoryMb / demand.tasks), 0};
}

//! CPU in millicores that new long-running tasks of \a queue may take. Workers with too little room for a
//! batch task don't count as free.
std::int64_t allowanceBeside(const planning_round &round, const batch_share &share, const queue_rules &queue)
{
    const batch_reserve_rules rules;
    const resources batchTask = averageTask(share.average);
    std::int64_t capacity = 0;
    std::int64_t available = 0;
    std::int64_t usable = 0;
    for (const candidate &worker : round.candidates) {
        if (worker.info->service != queue.service)
            continue;
        capacity += worker.info->capacity.millicores;
        available += worker.available.millicores;
        usable += fits(batchTask, worker.available) ? worker.available.millicores : 0;
    }
    if (available * whole >= capacity * rules.leastFreePercent)
        return unlimited;
    const std::int64_t demand = std::llround(share.average.millicores);
    const std::int64_t wanted
        = std::min(demand * rules.headroomPercent, capacity * rules.largestSharePercent) / whole;
    const std::int64_t missing = wanted - share.assignedMillicores;
    return missing < batchTask.millicores ? unlimited : usable - missing;
}

} // namespace

void updateBatchDemands(average_demands &averages, const batch_reserve_rules &rules, const batch_view &view)
{
    const auto present = presentDemands(view);
    for (const auto &[queue, demand] : present)
        averages.try_emplace(queue);
    for (auto &[queue, average] : averages) {
        const auto found = present.find(queue);
        const double kept = average.updatedAt == time_point{}
            ? 0.0
            : decayFactor(average.updatedAt, view.now, rules.window);
        average.value = average.value * kept;
        if (found != present.end())
            average.value = average.value + found->second * (1.0 - kept);
        average.updatedAt = view.now;
    }
    std::erase_if(averages, [](const auto &entry) { return entry.second.value.tasks < leastTasks; });
}

batch_shares batchShares(const average_demands &averages, const job_table &table, const fleet_config &config)
{
    batch_shares shares;
    for (const auto &[name, average] : averages) {
        const auto queue = config.queues.find(name);
        if (queue == config.queues.end())
            continue;
        batch_share &share = shares[{queue->second.service, queue->second.priority}];
        share.average = share.average + average.value;
        const auto assigned = table.assignedBatch.find(name);
        if (assigned != table.assignedBatch.end())
            share.assignedMillicores += assigned->second.demand.millicores;
    }
    return shares;
}

bool hasRoomBesideBatch(planning_round &round, const placement_request &task)
{
    if (task.spec->bestEffort)
        return true;
    const queue_rules &queue = *task.step->queue;
    const auto [left, isNew] = round.allowances.try_emplace({queue.service, queue.priority}, unlimited);
    const batch_share share = isNew ? shareBefore(round.batchShares, queue) : batch_share{};
    if (share.average.millicores > 0.0)
        left->second = allowanceBeside(round, share, queue);
    return left->second >= task.spec->demand.millicores;
}

void takeBesideBatch(planning_round &round, const placement_request &task)
{
    const queue_rules &queue = *task.step->queue;
    const auto left = round.allowances.find({queue.service, queue.priority});
    if (left != round.allowances.end() && !task.spec->bestEffort)
        left->second -= task.spec->demand.millicores;
}

} // namespace almond::jobs
