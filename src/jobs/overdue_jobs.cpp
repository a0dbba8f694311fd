#include "jobs/overdue_jobs.h"

#include "jobs/placement_round.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace almond::jobs {

namespace {

//! Whether a task of the step may start now; lasting ones with guaranteed resources don't count.
bool hasReadyTask(const job_state &jobState, const occurrence_state &occurrence, std::uint32_t step)
{
    const step_spec &spec = jobState.spec.steps[step];
    const step_state &state = occurrence.steps[step];
    const bool isComplete = !spec.gang || state.waiting == state.tasks.size();
    const bool isLasting = spec.longRunning && !spec.bestEffort;
    return !isLasting && state.waiting > 0 && isComplete && isReady(jobState, occurrence, step);
}

bool hasReadyTask(const job_state &jobState)
{
    if (jobState.waiting == 0)
        return false;
    for (const auto &[number, occurrence] : jobState.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (hasReadyTask(jobState, occurrence, step))
                return true;
        }
    }
    return false;
}

//! Returns the tasks of \a jobState that may start now, without lasting ones with guaranteed resources, one
//! of each step and the first one of a gang, \a most at most.
std::vector<task_name> findReadyTasks(const job_state &jobState, std::size_t most)
{
    std::vector<task_name> ready;
    for (const auto &[number, occurrence] : jobState.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (ready.size() >= most)
                return ready;
            if (!hasReadyTask(jobState, occurrence, step))
                continue;
            const step_state &state = occurrence.steps[step];
            const auto waiting
                = std::find_if(state.tasks.begin(), state.tasks.end(),
                               [](const task_state &task) { return task.phase == task_phase::waiting; });
            const auto index = static_cast<std::uint32_t>(waiting - state.tasks.begin());
            ready.push_back({jobState.spec.id, number, step, index});
        }
    }
    return ready;
}

bool isIdle(const job_state &jobState, const uncertain_runs &uncertain)
{
    if (isFinal(jobState.status))
        return false;
    if (jobState.assigned > 0) {
        const auto found = uncertain.find(jobState.spec.id);
        if (found == uncertain.end() || found->second < jobState.assigned)
            return false;
    }
    return hasReadyTask(jobState);
}

bool hasFreeShare(std::span<const candidate> candidates, std::string_view service, int leastFreePercent)
{
    constexpr std::int64_t whole = 100;
    resources capacity;
    resources available;
    for (const candidate &worker : candidates) {
        if (worker.info->service != service)
            continue;
        capacity.millicores += worker.info->capacity.millicores;
        capacity.memoryMb += worker.info->capacity.memoryMb;
        available.millicores += worker.available.millicores;
        available.memoryMb += worker.available.memoryMb;
    }
    return capacity.millicores > 0 && available.millicores * whole >= capacity.millicores * leastFreePercent
        && available.memoryMb * whole >= capacity.memoryMb * leastFreePercent;
}

//! A task of an overdue job and what decides where it can run.
struct overdue_task
{
    task_name name;
    ready_step step;
};

std::vector<overdue_task> overdueTasksOf(const job_state &jobState, const queue_rules &queue,
                                         std::size_t most)
{
    std::vector<overdue_task> tasks;
    for (const task_name &name : findReadyTasks(jobState, most)) {
        overdue_task task{name, {}};
        task.step.jobState = &jobState;
        task.step.occurrence = task.name.occurrence;
        task.step.step = task.name.step;
        task.step.queue = &queue;
        tasks.push_back(task);
    }
    return tasks;
}

//! Holds the worker that is closest to having enough CPU for the task of \a request: no other best-effort
//! task is added there in this round. Smaller tasks would take what becomes free otherwise.
void holdWorkerFor(planning_round &round, const placement_request &request)
{
    placement_request smaller = request;
    step_spec spec = *request.spec;
    spec.demand.millicores = 0;
    smaller.spec = &spec;
    candidate *nearest = nullptr;
    for (candidate &worker : round.candidates) {
        const bool nearer = !nearest || worker.spareMillicores > nearest->spareMillicores;
        if (nearer && !refusalOf(round, worker, smaller))
            nearest = &worker;
    }
    if (nearest)
        nearest->heldForOverdue = true;
}

//! Holds workers for the members of the gang of \a request, as many as \a holds allows.
void holdWorkersForGang(planning_round &round, const placement_request &request, std::size_t &holds)
{
    const std::size_t members = request.spec->count;
    for (std::size_t held = 0; held < members && holds > 0; ++held, --holds)
        holdWorkerFor(round, request);
}

//! State of placeOverdue().
struct overdue_round
{
    planning_round &round;
    //! Numbers of workers that may still be held, gangs that may be tried, and tasks or gangs that may be
    //! placed in spite of too little slack.
    std::size_t holds = 0;
    std::size_t gangs = 0;
    std::size_t lowSlack = 0;
    //! Number of tasks or gangs that may be placed where they have to share their CPU.
    std::size_t crowding = 0;
    std::map<std::string_view, bool> hasRoom; // by service
    //! Demand and number of members of a task or gang of each kind that fitted nowhere, with and without
    //! regard to slack: jobs that can't be placed must not hold up the others.
    std::array<std::map<placement_key, std::pair<resources, std::uint32_t>>, 3> unplaced;
};

std::size_t unplacedIndex(const placement_request &request)
{
    if (request.mayCrowd)
        return 2;
    return request.slackLimit == slack_limit::inForce ? 0 : 1;
}

std::uint32_t membersOf(const step_spec &spec)
{
    return spec.gang ? spec.count : 1;
}

//! Whether one that needs no more than the task, or the gang, has fitted nowhere in this round.
bool isHopeless(const overdue_round &state, const placement_request &request)
{
    const auto &unplaced = state.unplaced.at(unplacedIndex(request));
    const auto known = unplaced.find(placementKeyOf(request));
    return known != unplaced.end() && fits(known->second.first, request.spec->demand)
        && known->second.second <= membersOf(*request.spec);
}

void noteUnplaced(overdue_round &state, const placement_request &request)
{
    const step_spec &spec = *request.spec;
    if (spec.perWorkerLimit == 0)
        state.unplaced.at(unplacedIndex(request))
            .insert_or_assign(placementKeyOf(request), std::pair(spec.demand, membersOf(spec)));
}

bool placeSingle(overdue_round &state, const overdue_task &task, const placement_request &request)
{
    if (isHopeless(state, request))
        return false;
    planning_round &round = state.round;
    const std::ptrdiff_t chosen = chooseCandidate(round, request, {});
    if (chosen < 0) {
        noteUnplaced(state, request);
        return false;
    }
    const std::uint32_t run = findTask(round.table, task.name)->run + 1;
    place(round, request, task.name.index, run, static_cast<std::size_t>(chosen));
    round.placedEarly.insert(task.name);
    return true;
}

bool placeWholeGang(overdue_round &state, const placement_request &request)
{
    if (state.gangs == 0 || isHopeless(state, request))
        return false;
    // Far cheaper than an attempt, so that gangs which don't fit use up none.
    const std::uint32_t members = request.spec->count;
    if (countPlaces(state.round, request, members) < members) {
        noteUnplaced(state, request);
        return false;
    }
    --state.gangs;
    if (!placeGang(state.round, request))
        return false;
    state.round.placedEarly.insert(request.first);
    return true;
}

//! Whether there is capacity for the task, or the gang, on two workers and twice over, slack aside.
bool fitsTwice(const planning_round &round, placement_request request)
{
    request.slackLimit = slack_limit::ignored;
    if (request.spec->gang) {
        const std::size_t twice = 2 * std::size_t{request.spec->count};
        return countPlaces(round, request, twice) == twice;
    }
    std::size_t found = 0;
    for (const candidate &worker : round.candidates) {
        found += refusalOf(round, worker, request) ? 0 : 1;
        if (found > 1)
            return true;
    }
    return false;
}

//! Places \a task where the serving tasks keep the most slack, although it is too little, unless the service
//! is too full for that.
bool placeInSpiteOfSlack(overdue_round &state, const overdue_task &task, placement_request request)
{
    request.slackLimit = slack_limit::lifted;
    const bool outOfGangs = request.spec->gang && state.gangs == 0;
    if (!request.spec->bestEffort || state.lowSlack == 0 || outOfGangs || isHopeless(state, request))
        return false;
    const bool fits = fitsTwice(state.round, request);
    if (!fits)
        noteUnplaced(state, request);
    const bool placed
        = fits && (request.spec->gang ? placeWholeGang(state, request) : placeSingle(state, task, request));
    state.lowSlack -= placed ? 1 : 0;
    return placed;
}

placement_request requestOf(const overdue_round &state, const overdue_task &task)
{
    placement_request request = placementRequestOf(state.round, task.step);
    request.overdue = true;
    return request;
}

bool placeTask(overdue_round &state, const overdue_task &task)
{
    const placement_request request = requestOf(state, task);
    return request.spec->gang ? placeWholeGang(state, request) : placeSingle(state, task, request);
}

void holdWorkers(overdue_round &state, const overdue_task &task)
{
    const placement_request request = requestOf(state, task);
    if (request.spec->gang) {
        holdWorkersForGang(state.round, request, state.holds);
    } else if (state.holds > 0) {
        holdWorkerFor(state.round, request);
        --state.holds;
    }
}

//! Places \a task where it shares its CPU with other best-effort tasks.
bool placeCrowded(overdue_round &state, const overdue_task &task, placement_request request)
{
    if (!request.spec->bestEffort || state.crowding == 0)
        return false;
    request.mayCrowd = true;
    const bool placed
        = request.spec->gang ? placeWholeGang(state, request) : placeSingle(state, task, request);
    state.crowding -= placed ? 1 : 0;
    return placed;
}

//! Places one of \a tasks, which are of one job, or holds workers for the first one. A hold keeps only
//! best-effort tasks away, so it is of use to no other.
void placeAnyOf(overdue_round &state, std::span<const overdue_task> tasks)
{
    const auto place = [&state](const overdue_task &task) { return placeTask(state, task); };
    const auto placeAnyway = [&state](const overdue_task &task) {
        return placeInSpiteOfSlack(state, task, requestOf(state, task));
    };
    const auto placeSharing
        = [&state](const overdue_task &task) { return placeCrowded(state, task, requestOf(state, task)); };
    if (!std::any_of(tasks.begin(), tasks.end(), place)
        && !std::any_of(tasks.begin(), tasks.end(), placeSharing)
        && !std::any_of(tasks.begin(), tasks.end(), placeAnyway) && !tasks.empty()
        && tasks.front().step.jobState->spec.steps[tasks.front().step.step].bestEffort)
        holdWorkers(state, tasks.front());
}

} // namespace

bool mayHaveUncertainRuns(const worker_session &session, const session_rules &rules, time_point now)
{
    return !session.pendingStarts.empty() || !session.unansweredStarts.empty()
        || isUnresponsive(session, rules, now);
}

void addUncertainRuns(uncertain_runs &uncertain, const worker_session &session, const session_rules &rules,
                      const worker_load &load, time_point now)
{
    if (isUnresponsive(session, rules, now)) {
        for (const auto &[task, run] : load.runs)
            ++uncertain[task.job];
        return;
    }
    const auto isAssigned = [&load](const task_name &task, std::uint32_t run) {
        const auto assigned = load.runs.find(task);
        return assigned != load.runs.end() && assigned->second == run;
    };
    for (const auto &[task, run] : session.pendingStarts)
        uncertain[task.job] += isAssigned(task, run) ? 1 : 0;
    for (const auto &[task, run] : session.unansweredStarts) {
        const auto pending = session.pendingStarts.find(task);
        const bool isCounted = pending != session.pendingStarts.end() && pending->second == run;
        uncertain[task.job] += isAssigned(task, run) && !isCounted ? 1 : 0;
    }
}

void updateIdleTimes(idle_times &idle, const job_table &table, time_point now,
                     const uncertain_runs &uncertain)
{
    std::erase_if(idle,
                  [&table](const auto &entry) { return !table.jobsWithWaitingTasks.contains(entry.first); });
    for (const job_id &id : table.jobsWithWaitingTasks) {
        const job_state &jobState = table.jobs.find(id)->second;
        if (!isIdle(jobState, uncertain)) {
            idle.erase(id);
            continue;
        }
        idle_state &entry = idle.try_emplace(id, idle_state{now, jobState.assigned}).first->second;
        if (jobState.assigned > entry.assigned)
            entry.since = now;
        entry.assigned = jobState.assigned;
    }
}

bool hasOverdueJob(const idle_times &idle, const overdue_rules &rules, time_point now)
{
    return std::any_of(idle.begin(), idle.end(),
                       [&](const auto &entry) { return now - entry.second.since >= rules.idleLimit; });
}

bool mayPlaceOverdue(std::span<const candidate> candidates, const overdue_rules &rules)
{
    std::set<std::string_view> services;
    for (const candidate &worker : candidates)
        services.insert(worker.info->service);
    return std::any_of(services.begin(), services.end(), [&](std::string_view service) {
        return hasFreeShare(candidates, service, rules.leastFreePercent);
    });
}

waiting_demand withOverdueJobs(waiting_demand demand)
{
    if (demand.smallestBestEffort)
        demand.smallestBestEffort = expectedMillicores(*demand.smallestBestEffort, true);
    demand.mayCrowd = true;
    return demand;
}

std::vector<job_id> overdueJobs(const idle_times &idle, const overdue_rules &rules, time_point now)
{
    std::vector<std::pair<time_point, job_id>> found;
    for (const auto &[id, job] : idle) {
        if (now - job.since >= rules.idleLimit)
            found.emplace_back(job.since, id);
    }
    std::sort(found.begin(), found.end());
    std::vector<job_id> overdue;
    overdue.reserve(found.size());
    for (const auto &[since, id] : found)
        overdue.emplace_back(id);
    return overdue;
}

void placeOverdue(planning_round &round, const fleet_config &config, const overdue_rules &rules,
                  std::span<const job_id> overdue, std::size_t limit)
{
    if (overdue.empty() || round.candidates.empty())
        return;
    const std::size_t placements = std::min(
        limit / 2, std::max(rules.leastPlacements, rules.examinedCandidates / round.candidates.size()));
    const std::size_t workers = round.candidates.size();
    overdue_round state{round,
                        1 + workers / rules.workersPerHold,
                        rules.gangAttempts,
                        1 + workers / rules.workersPerLowSlack,
                        1 + workers / rules.workersPerCrowding,
                        {},
                        {}};
    for (const job_id &id : overdue) {
        if (round.records.size() >= placements)
            return;
        const auto found = round.table.jobs.find(id);
        if (found == round.table.jobs.end())
            continue;
        const auto queue = config.queues.find(found->second.spec.queue);
        if (queue == config.queues.end())
            continue;
        const std::string_view service = queue->second.service;
        const auto [room, isNew] = state.hasRoom.try_emplace(service, false);
        if (isNew)
            room->second = hasFreeShare(round.candidates, service, rules.leastFreePercent);
        if (room->second)
            placeAnyOf(state, overdueTasksOf(found->second, queue->second, rules.stepsPerJob));
    }
}

} // namespace almond::jobs
