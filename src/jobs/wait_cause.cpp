#include "jobs/wait_cause.h"

#include "jobs/planner.h"

#include <algorithm>
#include <array>

namespace almond::jobs {

namespace {

std::uint32_t tasksOfStep(const worker_load &load, task_name first)
{
    first.index = 0;
    std::uint32_t count = 0;
    for (auto run = load.runs.lower_bound(first); run != load.runs.end(); ++run) {
        const task_name &name = run->first;
        if (name.job != first.job || name.occurrence != first.occurrence || name.step != first.step)
            break;
        ++count;
    }
    return count;
}

//! Whether a best-effort task of \a spec would find the spare CPU that the planner requires.
bool hasSpareCpu(const worker_session &session, const worker_load *load, const step_spec &spec)
{
    const candidate worker = makeCandidate(session.info, load);
    return worker.spareMillicores >= spec.demand.millicores
        || (worker.bestEffortMillicores == 0 && worker.spareMillicores * 2 >= spec.demand.millicores);
}

bool hasFreeCapacityFor(const worker_session &session, const worker_load *load, const step_spec &spec,
                        const task_name &task)
{
    if (!spec.requiredLabel.empty() && !hasLabel(session.info, spec.requiredLabel))
        return false;
    resources demand = spec.demand;
    if (spec.bestEffort)
        demand.millicores = 0;
    if (!fits(demand, load ? session.info.capacity - load->guaranteed : session.info.capacity))
        return false;
    if (spec.bestEffort && !hasSpareCpu(session, load, spec))
        return false;
    return spec.perWorkerLimit == 0 || !load || tasksOfStep(*load, task) < spec.perWorkerLimit;
}

std::size_t &counterFor(fitting_workers &count, const fleet_view &view, const worker_view &worker)
{
    const worker_session &session = *worker.session;
    if (!acceptsNewTasks(session, view.sessions, view.now))
        return count.unreachable;
    if (view.config.withdrawnDomains.contains(session.info.failureDomain))
        return count.withdrawn;
    if (worker.quarantined)
        return count.quarantined;
    return worker.refusing ? count.refusing : count.usable;
}

void addTo(resources &sum, const resources &added)
{
    sum.millicores += added.millicores;
    sum.memoryMb += added.memoryMb;
}

int percentOf(std::int64_t part, std::int64_t total)
{
    constexpr std::int64_t whole = 100;
    return static_cast<int>(part * whole / std::max<std::int64_t>(total, 1));
}

fitting_workers scanFittingWorkers(const fleet_view &view, std::string_view service, const step_spec &spec,
                                   const task_name &task)
{
    fitting_workers count;
    resources capacity;
    resources assigned;
    for (const worker_view &worker : view.workers) {
        const worker_session &session = *worker.session;
        if (session.info.service != service || session.dead || !session.listed)
            continue;
        addTo(capacity, session.info.capacity);
        if (worker.load)
            addTo(assigned, worker.load->guaranteed);
        if (hasFreeCapacityFor(session, worker.load, spec, task))
            ++counterFor(count, view, worker);
    }
    count.servicePercent = percentOf(assigned.millicores, capacity.millicores);
    count.serviceMemoryPercent = percentOf(assigned.memoryMb, capacity.memoryMb);
    return count;
}

wait_cause causeFromWorkers(const fitting_workers &workers)
{
    if (workers.usable > 0)
        return wait_cause::notPlaced;
    if (workers.refusing > 0)
        return wait_cause::onlyRefusing;
    if (workers.quarantined > 0)
        return wait_cause::onlyQuarantined;
    if (workers.unreachable > 0)
        return wait_cause::onlyUnreachable;
    return workers.withdrawn > 0 ? wait_cause::onlyWithdrawn : wait_cause::noRoom;
}

} // namespace

std::string_view causeName(wait_cause cause)
{
    static constexpr std::array<std::string_view, waitCauseCount> names{
        "earlier steps",
        "start under way",
        "start unanswered",
        "run not over",
        "room but not placed",
        "no room",
        "only quarantined workers have room",
        "only refusing workers have room",
        "only withdrawn failure domains have room",
        "only unreachable workers have room",
        "old configuration",
        "old list of workers",
        "old jobs",
        "queue not configured"};
    return names.at(static_cast<std::size_t>(cause));
}

const worker_view *findWorker(const fleet_view &view, std::string_view incarnation)
{
    const auto found = std::lower_bound(view.workers.begin(), view.workers.end(), incarnation,
                                        [](const worker_view &worker, std::string_view wanted) {
                                            return worker.session->incarnation < wanted;
                                        });
    const bool known = found != view.workers.end() && found->session->incarnation == incarnation;
    return known ? &*found : nullptr;
}

bool isUnobservable(const worker_session &session, const session_rules &rules, time_point now)
{
    return session.dead || session.info.address.empty() || isUnresponsive(session, rules, now);
}

fitting_workers countFittingWorkers(const fleet_view &view, std::string_view service, const step_spec &spec,
                                    const task_name &task, fitting_workers_cache &cache)
{
    // With a limit per worker the count depends on the step, so it cannot be cached by the properties in the
    // key.
    if (spec.perWorkerLimit > 0)
        return scanFittingWorkers(view, service, spec, task);
    const fitting_workers_key key(service, spec.requiredLabel, spec.demand.millicores, spec.demand.memoryMb,
                                  spec.demand.accelerators, spec.bestEffort);
    const auto [place, added] = cache.try_emplace(key);
    if (added)
        place->second = scanFittingWorkers(view, service, spec, task);
    return place->second;
}

wait_cause causeOfWaiting(const fleet_view &view, const job_state &jobState, const task_name &task,
                          fitting_workers_cache &cache)
{
    if (!isReady(jobState, jobState.occurrences.at(task.occurrence), task.step))
        return wait_cause::earlierSteps;
    if (view.configStale)
        return wait_cause::staleConfig;
    if (view.workerListStale)
        return wait_cause::staleWorkerList;
    if (view.jobsStale)
        return wait_cause::staleJobs;
    const auto queue = view.config.queues.find(jobState.spec.queue);
    if (queue == view.config.queues.end())
        return wait_cause::noQueue;
    return causeFromWorkers(
        countFittingWorkers(view, queue->second.service, jobState.spec.steps[task.step], task, cache));
}

std::optional<wait_cause> causeOf(const fleet_view &view, const task_name &task, fitting_workers_cache &cache)
{
    const auto jobEntry = view.table.jobs.find(task.job);
    const task_state *state = findTask(view.table, task);
    if (!state || isFinal(jobEntry->second.status) || state->phase == task_phase::done)
        return std::nullopt;
    if (state->phase == task_phase::waiting)
        return causeOfWaiting(view, jobEntry->second, task, cache);
    const worker_view *worker = findWorker(view, state->worker);
    if (worker && worker->session->pendingStarts.contains(task))
        return worker->session->unansweredSince == time_point{} ? wait_cause::startUnderWay
                                                                : wait_cause::startUnanswered;
    if (!worker || isUnobservable(*worker->session, view.sessions, view.now))
        return wait_cause::runNotOver;
    return std::nullopt;
}

} // namespace almond::jobs
