#include "jobs/planner.h"

#include "jobs/overdue_jobs.h"
#include "jobs/placement_round.h"

#include <algorithm>
#include <array>
#include <optional>

namespace almond::jobs {

namespace {

//! New long-running tasks wait up to this long for batch tasks of their priority; a batch task ends within
//! that time. After that a few go first in each round, one per workersPerReservation workers, with workers
//! reserved for them.
constexpr milliseconds newLongRunningDelay{3000};
constexpr std::size_t workersPerReservation = 100;

//! Resources that \a worker has beside its long-running tasks, once all others have ended.
resources capacityBesideLongRunning(const planning_round &round, const candidate &worker)
{
    resources left = worker.info->capacity;
    if (!worker.load)
        return left;
    for (const auto &[name, run] : worker.load->runs) {
        const step_spec *spec = findStep(round.table, name);
        if (!spec || !spec->longRunning)
            continue;
        left = left - spec->demand;
        left.millicores += spec->bestEffort ? spec->demand.millicores : 0;
    }
    return left;
}

//! Reserves the worker that is closest to having enough free capacity for a long-running task: no new batch
//! tasks with guaranteed resources are placed there. Returns false if no worker could ever hold the task.
bool reserveFor(planning_round &round, const ready_step &step)
{
    const step_spec &spec = step.jobState->spec.steps[step.step];
    candidate *nearest = nullptr;
    for (candidate &worker : round.candidates) {
        const bool nearer
            = !worker.reserved && (!nearest || worker.available.millicores > nearest->available.millicores);
        const bool suitable = worker.info->service == step.queue->service
            && (spec.requiredLabel.empty() || hasLabel(*worker.info, spec.requiredLabel))
            && (spec.perWorkerLimit == 0
                || tasksOfStep(round, worker, firstTaskOf(step)) < spec.perWorkerLimit);
        // The look at its runs is costly; few workers get this far.
        if (nearer && suitable && fits(spec.demand, capacityBesideLongRunning(round, worker)))
            nearest = &worker;
    }
    if (nearest)
        nearest->reserved = true;
    return nearest != nullptr;
}

//! Returns whether a task of the same kind with at most the same demand has found no candidate in this round.
//! Free capacity only shrinks within a round.
bool isUnplaceable(const planning_round &round, const placement_request &task)
{
    const auto found = round.unplacedDemands.find(placementKeyOf(task));
    return found != round.unplacedDemands.end() && fits(found->second, task.spec->demand);
}

void recordUnplaced(planning_round &round, const placement_request &task)
{
    // A step with a limit per worker may fail to fit where others of its kind do.
    if (task.spec->perWorkerLimit > 0)
        return;
    const auto [place, added] = round.unplacedDemands.try_emplace(placementKeyOf(task), task.spec->demand);
    if (!added && fits(task.spec->demand, place->second))
        place->second = task.spec->demand;
}

bool isNewLongRunning(const placement_request &task, const task_state &state)
{
    return task.spec->longRunning && !state.interrupted;
}

//! Returns whether the task in \a state may be placed: new long-running tasks leave capacity to batch tasks.
bool mayTakeCapacity(planning_round &round, const placement_request &task, const task_state &state)
{
    return !isNewLongRunning(task, state) || hasRoomBesideBatch(round, task);
}

void placeSingle(planning_round &round, const placement_request &task, std::uint32_t index,
                 const task_state &state, std::ptrdiff_t chosen)
{
    place(round, task, index, state.run + 1, static_cast<std::size_t>(chosen));
    if (isNewLongRunning(task, state))
        takeBesideBatch(round, task);
}

void placeTasks(planning_round &round, const ready_step &step, std::size_t limit)
{
    const placement_request task = placementRequestOf(round, step);
    const auto &tasks = step.jobState->occurrences.at(step.occurrence).steps[step.step].tasks;
    const auto mayStart = [&](const task_state &state) {
        return state.phase == task_phase::waiting && mayTakeCapacity(round, task, state);
    };
    // Ranking the candidates is costly.
    if (isUnplaceable(round, task) || std::none_of(tasks.begin(), tasks.end(), mayStart))
        return;
    candidate_ranking ranking(round, task);
    for (std::uint32_t index = 0; index < tasks.size() && round.records.size() < limit; ++index) {
        task_name name = task.first;
        name.index = index;
        if (round.placedEarly.contains(name) || !mayStart(tasks[index]))
            continue;
        const std::ptrdiff_t chosen = ranking.best();
        if (chosen < 0) {
            recordUnplaced(round, task);
            return;
        }
        placeSingle(round, task, index, tasks[index], chosen);
        ranking.updateBest();
    }
}

//! Remaining budget in this round for long-running tasks that go before others of their priority.
struct early_budget
{
    std::size_t placements = 0;
    //! Number of workers that may still be reserved for tasks that fit nowhere. Reservations do not use up
    //! placements: tasks that fit must not wait behind tasks that do not.
    std::size_t reservations = 0;
};

//! Places waiting tasks of the long-running \a step or reserves workers for them, within the budget \a left.
void placeEarly(planning_round &round, const ready_step &step, bool onlyRestarts, early_budget &left)
{
    const placement_request task = placementRequestOf(round, step);
    const auto &tasks = step.jobState->occurrences.at(step.occurrence).steps[step.step].tasks;
    for (std::uint32_t index = 0; index < tasks.size() && left.placements > 0; ++index) {
        task_name name = task.first;
        name.index = index;
        if (tasks[index].phase != task_phase::waiting || round.placedEarly.contains(name)
            || (onlyRestarts && !tasks[index].interrupted) || !mayTakeCapacity(round, task, tasks[index]))
            continue;
        const std::ptrdiff_t chosen = isUnplaceable(round, task) ? -1 : chooseCandidate(round, task, {});
        if (chosen >= 0) {
            placeSingle(round, task, index, tasks[index], chosen);
            round.placedEarly.insert(name);
            --left.placements;
            continue;
        }
        recordUnplaced(round, task);
        if (left.reservations == 0 || !reserveFor(round, step))
            return;
        --left.reservations;
    }
}

//! Only single tasks are placed early: the members of a gang are placed together or not at all.
bool mayPlaceEarly(const ready_step &step)
{
    return step.longRunning && !step.jobState->spec.steps[step.step].gang;
}

//! Places the long-running tasks in \a ready, which has the steps of one priority, before the others. All
//! tasks that ran before and fit are restarted: their users are without them, and they only take back the
//! capacity that they had. Of the new tasks that have waited for long, a few are placed; otherwise a steady
//! stream of batch tasks would starve them.
void placeLongRunningFirst(planning_round &round, std::span<const ready_step> ready, std::size_t limit,
                           time_point unixNow)
{
    const std::size_t limitPerRound = 1 + round.candidates.size() / workersPerReservation;
    early_budget restartBudget{limit - round.records.size(), limitPerRound};
    for (const ready_step &step : ready) {
        if (mayPlaceEarly(step))
            placeEarly(round, step, true, restartBudget);
    }
    early_budget newTaskBudget{std::min(limitPerRound, restartBudget.placements), restartBudget.reservations};
    for (const ready_step &step : ready) {
        const milliseconds waited = unixNow - kernel::fromMillis(step.acceptedAtMs);
        if (mayPlaceEarly(step) && waited >= newLongRunningDelay)
            placeEarly(round, step, false, newTaskBudget);
    }
}

//! Places the steps of one priority; \a ready is sorted.
void placePriority(planning_round &round, std::span<const ready_step> ready, std::size_t limit,
                   time_point unixNow)
{
    placeLongRunningFirst(round, ready, limit, unixNow);
    for (const ready_step &step : ready) {
        if (round.records.size() >= limit)
            return;
        if (step.jobState->spec.steps[step.step].gang)
            placeGang(round, placementRequestOf(round, step));
        else
            placeTasks(round, step, limit);
    }
}

} // namespace

std::int64_t bestEffortCapacity(const worker_info &worker, const worker_load *load)
{
    if (!load)
        return worker.capacity.millicores;
    const std::int64_t idle = load->longRunningMillicores * (100 - servingUsePercent) / 100;
    return worker.capacity.millicores - load->guaranteed.millicores + idle;
}

candidate makeCandidate(const worker_info &worker, const worker_load *load)
{
    candidate result{&worker, load, worker.capacity, worker.capacity.millicores, 0, {}};
    if (!load)
        return result;
    result.available = worker.capacity - load->guaranteed;
    result.bestEffortMillicores = load->bestEffortMillicores;
    result.spareMillicores = bestEffortCapacity(worker, load) - load->bestEffortMillicores;
    return result;
}

std::int64_t placesFor(const resources &available, const resources &demand)
{
    std::int64_t places
        = std::max<std::int64_t>(available.millicores, 0) / std::max<std::int64_t>(demand.millicores, 1);
    if (demand.memoryMb > 0)
        places = std::min(places, std::max<std::int64_t>(available.memoryMb, 0) / demand.memoryMb);
    if (demand.accelerators > 0)
        places = std::min(places, std::max<std::int64_t>(available.accelerators, 0) / demand.accelerators);
    return places;
}

bool needsServingViews(const candidate &worker, const waiting_demand &demand)
{
    return demand.serving
        || (demand.smallestBestEffort && !worker.bestEffortBlocked
            && (hasSpareCpu(worker, *demand.smallestBestEffort)
                || (demand.mayCrowd && !isTooCrowded(worker, *demand.smallestBestEffort))));
}

std::vector<journal_record> planStarts(const round_work &work, const job_table &table,
                                       const fleet_config &config, const interference_view &interference,
                                       std::vector<candidate> candidates, std::size_t limit,
                                       time_point unixNow, std::span<const job_id> overdue,
                                       const average_demands &batchDemands)
{
    planning_round round(table, interference, std::move(candidates));
    round.batchShares = batchShares(batchDemands, table, config);
    placeOverdue(round, config, overdue_rules{}, overdue, limit);
    const std::vector<ready_step> &ready = work.ready;
    for (auto first = ready.begin(); first != ready.end() && round.records.size() < limit;) {
        const auto last = std::find_if(
            first, ready.end(), [first](const ready_step &step) { return step.priority != first->priority; });
        placePriority(round, {first, last}, limit, unixNow);
        first = last;
    }
    return std::move(round.records);
}

std::vector<journal_record> planStarts(const job_table &table, const fleet_config &config,
                                       const interference_view &interference,
                                       std::vector<candidate> candidates, std::size_t limit,
                                       time_point unixNow, std::span<const job_id> overdue,
                                       const average_demands &batchDemands)
{
    return planStarts(findRoundWork(table, config, unixNow), table, config, interference,
                      std::move(candidates), limit, unixNow, overdue, batchDemands);
}

std::string_view refusalName(placement_refusal refusal)
{
    static constexpr std::array<std::string_view, placementRefusalCount> names{
        "other_service", "label",         "capacity",         "spare_cpu",
        "reserved",      "target_missed", "per_worker_limit", "slack"};
    return names.at(static_cast<std::size_t>(refusal));
}

placement_options countOptions(const job_table &table, const fleet_config &config,
                               const interference_view &interference, std::vector<candidate> candidates,
                               const task_name &task)
{
    placement_options options;
    const auto jobEntry = table.jobs.find(task.job);
    const step_spec *spec = findStep(table, task);
    if (!spec)
        return options;
    const auto queue = config.queues.find(jobEntry->second.spec.queue);
    if (queue == config.queues.end())
        return options;
    const planning_round round(table, interference, std::move(candidates));
    ready_step step;
    step.jobState = &jobEntry->second;
    step.occurrence = task.occurrence;
    step.step = task.step;
    step.queue = &queue->second;
    const placement_request request = placementRequestOf(round, step);
    for (const candidate &worker : round.candidates) {
        if (const auto refusal = refusalOf(round, worker, request))
            ++options.refusing.at(static_cast<std::size_t>(*refusal));
        else
            ++options.accepting;
    }
    return options;
}

std::vector<job_id> jobsOutOfAttempts(const job_table &table, const fleet_config &config,
                                      std::span<const task_name> touched)
{
    std::vector<job_id> failed;
    for (const task_name &name : touched) {
        const auto jobEntry = table.jobs.find(name.job);
        if (jobEntry == table.jobs.end() || isFinal(jobEntry->second.status))
            continue;
        const auto queue = config.queues.find(jobEntry->second.spec.queue);
        const step_spec &spec = jobEntry->second.spec.steps[name.step];
        if (queue == config.queues.end() || spec.longRunning)
            continue;
        const step_state &state = jobEntry->second.occurrences.at(name.occurrence).steps[name.step];
        const std::uint32_t failures = spec.gang ? state.failedRuns : state.tasks[name.index].failures;
        if (failures >= queue->second.attempts)
            failed.push_back(name.job);
    }
    std::sort(failed.begin(), failed.end());
    failed.erase(std::unique(failed.begin(), failed.end()), failed.end());
    return failed;
}

} // namespace almond::jobs
