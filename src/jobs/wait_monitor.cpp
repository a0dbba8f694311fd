#include "jobs/wait_monitor.h"

#include "jobs/job_codec.h"
#include "jobs/wait_description.h"

#include <algorithm>

namespace almond::jobs {

namespace {

using nlohmann::json;

constexpr milliseconds logWindow{1000};

//! A task that does not run, or whose run cannot be observed.
struct down_task
{
    task_name task;
    std::uint32_t run = 0;
    wait_cause cause = wait_cause::noRoom;
    //! Its newest run began and has not been reported as ended.
    bool unobservable = false;
    bool longRunning = false;
};

bool beforeByTask(const down_task &left, const down_task &right)
{
    return left.task < right.task;
}

//! Until when the runs on \a session are known to have run.
time_point lastObservedAt(const worker_session &session, const fleet_view &view)
{
    return std::max(session.lastResponseAt, view.termStart);
}

//! Returns false if the end is known already.
bool storeEnd(wait_monitor &monitor, const fleet_view &view, const task_name &task, std::uint32_t run,
              std::optional<time_point> endedAt)
{
    const auto known = monitor.ends.find(task);
    if (known != monitor.ends.end() && known->second.run >= run)
        return false;
    const time_point at = endedAt ? *endedAt : waitingSince(monitor, view, task, run - 1);
    monitor.ends[task] = {run, at};
    return true;
}

void addDownTask(std::vector<down_task> &down, const fleet_view &view, const task_name &task,
                 std::uint32_t run, wait_cause cause)
{
    const auto jobEntry = view.table.jobs.find(task.job);
    if (jobEntry == view.table.jobs.end() || isFinal(jobEntry->second.status))
        return;
    const bool longRunning = jobEntry->second.spec.steps[task.step].longRunning;
    down.push_back({task, run, cause, cause == wait_cause::runNotOver, longRunning});
}

//! Returns assigned tasks that do not run, sorted.
std::vector<down_task> findAssignedDown(const fleet_view &view)
{
    std::vector<down_task> down;
    for (const worker_view &worker : view.workers) {
        const worker_session &session = *worker.session;
        const wait_cause startCause = session.unansweredSince == time_point{} ? wait_cause::startUnderWay
                                                                              : wait_cause::startUnanswered;
        for (const auto &[task, run] : session.pendingStarts) {
            // The task may have been assigned elsewhere while the run of this order is being stopped.
            if (assignedRun(view.table, session.incarnation, task) == run)
                addDownTask(down, view, task, run, startCause);
        }
        if (!worker.load || !isUnobservable(session, view.sessions, view.now))
            continue;
        for (const auto &[task, run] : worker.load->runs) {
            if (!session.pendingStarts.contains(task))
                addDownTask(down, view, task, run, wait_cause::runNotOver);
        }
    }
    std::sort(down.begin(), down.end(), beforeByTask);
    return down;
}

//! Returns long-running tasks without a run, sorted.
std::vector<down_task> findWaitingLongRunning(const fleet_view &view, fitting_workers_cache &cache)
{
    std::vector<down_task> down;
    for (const job_id &id : view.table.jobsWithWaitingTasks) {
        const job_state &jobState = view.table.jobs.find(id)->second;
        for (const auto &[number, occurrence] : jobState.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const step_state &state = occurrence.steps[step];
                if (!jobState.spec.steps[step].longRunning || state.waiting == 0)
                    continue;
                task_name task{id, number, step, 0};
                const wait_cause cause = causeOfWaiting(view, jobState, task, cache);
                for (; task.index < state.tasks.size(); ++task.index) {
                    const task_state &one = state.tasks[task.index];
                    if (one.phase == task_phase::waiting)
                        down.push_back({task, one.run, cause, false, true});
                }
            }
        }
    }
    return down;
}

task_downtime newDowntime(const wait_monitor &monitor, const fleet_view &view, const down_task &down)
{
    task_downtime begun;
    begun.task = down.task;
    begun.newestRun = down.run;
    const task_state *state = findTask(view.table, down.task);
    const bool ordered = state->phase == task_phase::assigned && !down.unobservable;
    begun.lastRun = ordered ? down.run - 1 : down.run;
    const worker_view *worker = down.unobservable ? findWorker(view, state->worker) : nullptr;
    begun.since = worker ? lastObservedAt(*worker->session, view)
                         : waitingSince(monitor, view, down.task, begun.lastRun);
    begun.accountedUntil = begun.since;
    return begun;
}

//! Restarts the downtime if a run has begun and ended since the last scan, or has ended unobserved.
void applyNewEnd(task_downtime &downtime, const wait_monitor &monitor, const down_task &down)
{
    if (down.run == downtime.newestRun)
        return;
    downtime.newestRun = down.run;
    const auto known = monitor.ends.find(down.task);
    if (known == monitor.ends.end() || known->second.run <= downtime.lastRun
        || known->second.at <= downtime.since)
        return;
    downtime.lastRun = known->second.run;
    downtime.since = known->second.at;
    downtime.accountedUntil = known->second.at;
    downtime.timeByCause = {};
    downtime.limitsPassed = 0;
}

json describeCauses(const task_downtime &downtime)
{
    json timeByCause = json::object();
    for (std::size_t index = 0; index < downtime.timeByCause.size(); ++index) {
        if (downtime.timeByCause[index].count() > 0)
            timeByCause[std::string(causeName(static_cast<wait_cause>(index)))]
                = downtime.timeByCause[index].count();
    }
    return timeByCause;
}

//! Describes what determines the state of \a task: its assigned worker and the workers that it fits on.
json describeTask(const fleet_view &view, const task_name &task, fitting_workers_cache &cache)
{
    const job &spec = view.table.jobs.find(task.job)->second.spec;
    const task_state *state = findTask(view.table, task);
    json out{
        {"task", formatTask(task)}, {"run", state->run}, {"officeMs", (view.now - view.termStart).count()}};
    if (state->phase == task_phase::assigned) {
        const worker_view *worker = findWorker(view, state->worker);
        if (worker)
            out.update(describeSession(*worker->session, view));
    }
    const auto queue = view.config.queues.find(spec.queue);
    if (queue != view.config.queues.end()) {
        const fitting_workers workers
            = countFittingWorkers(view, queue->second.service, spec.steps[task.step], task, cache);
        out["workersWithRoom"] = describeFittingWorkers(workers);
        out["serviceUsedPercent"] = workers.servicePercent;
        out["memoryUsedPercent"] = workers.serviceMemoryPercent;
    }
    return out;
}

//! Returns whether one more line may be logged within the rate limit, and counts it.
bool takeLogLine(wait_monitor &monitor, std::vector<log_line> &lines, time_point now)
{
    if (now - monitor.windowStart >= logWindow) {
        if (monitor.suppressedLines > 0)
            lines.push_back({"log lines on waiting tasks suppressed", {{"count", monitor.suppressedLines}}});
        monitor.windowStart = now;
        monitor.linesInWindow = 0;
        monitor.suppressedLines = 0;
    }
    const bool mayBeWritten = monitor.linesInWindow < monitor.rules.linesPerSecond;
    ++(mayBeWritten ? monitor.linesInWindow : monitor.suppressedLines);
    return mayBeWritten;
}

//! State of one scan.
struct scan_state
{
    wait_monitor &monitor;
    const fleet_view &view;
    fitting_workers_cache cache;
    std::vector<log_line> lines;
};

void extendDowntime(scan_state &state, task_downtime &downtime, wait_cause cause)
{
    downtime.timeByCause.at(static_cast<std::size_t>(cause)) += state.view.now - downtime.accountedUntil;
    downtime.accountedUntil = state.view.now;
    const milliseconds waited = state.view.now - downtime.since;
    const auto &limits = state.monitor.rules.longRunningLimits;
    if (downtime.limitsPassed == limits.size() || waited < limits.at(downtime.limitsPassed))
        return;
    for (; downtime.limitsPassed < limits.size() && waited >= limits.at(downtime.limitsPassed);
         ++downtime.limitsPassed)
        ++state.monitor.found.overLimit.at(downtime.limitsPassed).at(static_cast<std::size_t>(cause));
    if (!takeLogLine(state.monitor, state.lines, state.view.now))
        return;
    json fields = describeTask(state.view, downtime.task, state.cache);
    fields["cause"] = causeName(cause);
    fields["waitedMs"] = waited.count();
    fields["lastRun"] = downtime.lastRun;
    fields["spentMs"] = describeCauses(downtime);
    state.lines.push_back({"long-running task has not run for longer than the limit", std::move(fields)});
}

//! Since when \a run of \a task has run on \a session, as far as its worker has confirmed it.
time_point beganAt(const worker_session &session, const task_name &task, std::uint32_t run, time_point now)
{
    const auto accepted = session.acceptedRuns.find(task);
    return accepted != session.acceptedRuns.end() && accepted->second.first == run ? accepted->second.second
                                                                                   : now;
}

void recordGap(wait_monitor &monitor, const task_downtime &downtime, milliseconds gap)
{
    // Before its first run a task has waited, but has not been interrupted.
    if (downtime.lastRun == 0)
        return;
    monitor.found.gaps.push_back(gap);
    monitor.longestGap = std::max(monitor.longestGap, gap);
}

void endDowntime(scan_state &state, task_downtime downtime, std::vector<task_downtime> &present)
{
    const auto jobEntry = state.view.table.jobs.find(downtime.task.job);
    const task_state *own = findTask(state.view.table, downtime.task);
    if (!own || isFinal(jobEntry->second.status) || own->phase != task_phase::assigned)
        return;
    const worker_view *worker = findWorker(state.view, own->worker);
    const bool stillRuns = own->run == downtime.lastRun;
    if (!stillRuns && (!worker || !hasBegun(*worker->session, downtime.task, own->run))) {
        extendDowntime(state, downtime, wait_cause::startUnderWay);
        present.push_back(downtime);
        return;
    }
    const time_point now = state.view.now;
    const time_point end = stillRuns ? now : beganAt(*worker->session, downtime.task, own->run, now);
    if (!stillRuns)
        recordGap(state.monitor, downtime, end - downtime.since);
    if (downtime.limitsPassed == 0 || !takeLogLine(state.monitor, state.lines, now))
        return;
    state.lines.push_back({stillRuns ? "long-running task observed again" : "long-running task runs again",
                           {{"task", formatTask(downtime.task)},
                            {"run", own->run},
                            {"lastRun", downtime.lastRun},
                            {"worker", own->worker},
                            {"gapMs", (end - downtime.since).count()},
                            {"spentMs", describeCauses(downtime)}}});
}

void updateDowntimes(scan_state &state, const std::vector<down_task> &longRunning)
{
    std::vector<task_downtime> present;
    present.reserve(longRunning.size());
    auto prior = state.monitor.downtimes.begin();
    const auto priorEnd = state.monitor.downtimes.end();
    for (const down_task &down : longRunning) {
        for (; prior != priorEnd && prior->task < down.task; ++prior)
            endDowntime(state, *prior, present);
        const bool known = prior != priorEnd && prior->task == down.task;
        task_downtime downtime = known ? *prior++ : newDowntime(state.monitor, state.view, down);
        applyNewEnd(downtime, state.monitor, down);
        extendDowntime(state, downtime, down.cause);
        present.push_back(downtime);
    }
    for (; prior != priorEnd; ++prior)
        endDowntime(state, *prior, present);
    state.monitor.downtimes = std::move(present);
}

bool fitsAnyWorker(scan_state &state, const job_state &jobState, const task_name &task)
{
    return countWithRoom(countWorkersFor(state.view, jobState, task, state.cache)) > 0;
}

std::optional<task_name> findPlaceableTask(scan_state &state, const job_state &jobState)
{
    for (const auto &[number, occurrence] : jobState.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            task_name task{jobState.spec.id, number, step, 0};
            const std::vector<task_state> &tasks = occurrence.steps[step].tasks;
            if (occurrence.steps[step].waiting == 0 || !isReady(jobState, occurrence, step)
                || !fitsAnyWorker(state, jobState, task))
                continue;
            const auto first = std::find_if(tasks.begin(), tasks.end(), [](const task_state &one) {
                return one.phase == task_phase::waiting;
            });
            task.index = static_cast<std::uint32_t>(first - tasks.begin());
            return task;
        }
    }
    return std::nullopt;
}

void updateIdleJob(scan_state &state, const job_id &id, const std::vector<const down_task *> &down)
{
    const job_state &jobState = state.view.table.jobs.find(id)->second;
    if (jobState.assigned > down.size())
        return;
    std::vector<task_name> downTasks;
    std::transform(down.begin(), down.end(), std::back_inserter(downTasks),
                   [](const down_task *one) { return one->task; });
    updateMissedTurn(state.monitor.missedTurns, state.view, jobState, downTasks, state.cache);
    const std::optional<task_name> task
        = down.empty() ? findPlaceableTask(state, jobState) : std::optional(down.front()->task);
    if (!task || !fitsAnyWorker(state, jobState, *task))
        return;
    const auto found = state.monitor.idle.find(id);
    idle_job &idle = found != state.monitor.idle.end() ? found->second : state.monitor.idle[id];
    if (idle.seenAt == time_point{})
        idle.since = state.view.now;
    idle.seenAt = state.view.now;
    const milliseconds lasted = state.view.now - idle.since;
    if (idle.logged || lasted < state.monitor.rules.idleLimit)
        return;
    state.monitor.found.idleJobs += idle.counted ? 0 : 1;
    idle.counted = true;
    if (!takeLogLine(state.monitor, state.lines, state.view.now))
        return;
    idle.logged = true;
    state.monitor.found.idleTasks.push_back(*task);
    json fields = describeTask(state.view, *task, state.cache);
    fields["job"] = id;
    fields["queue"] = jobState.spec.queue;
    fields["lasting"] = jobState.spec.steps[task->step].longRunning;
    fields["idleMs"] = lasted.count();
    fields["acceptedBeforeMs"] = kernel::toMillis(state.view.unixNow) - jobState.spec.acceptedAtMs;
    fields["cause"] = causeName(down.empty() ? causeOfWaiting(state.view, jobState, *task, state.cache)
                                             : down.front()->cause);
    state.lines.push_back(
        {"job has no running task although workers have free capacity for it", std::move(fields)});
}

void updateIdleJobs(scan_state &state, const std::vector<down_task> &assigned)
{
    std::map<job_id, std::vector<const down_task *>> downByJob;
    for (const down_task &down : assigned)
        downByJob[down.task.job].push_back(&down);
    for (const auto &[id, down] : downByJob)
        updateIdleJob(state, id, down);
    for (const job_id &id : state.view.table.jobsWithWaitingTasks) {
        if (!downByJob.contains(id))
            updateIdleJob(state, id, {});
    }
    endMissedTurns(state.monitor.missedTurns, state.view.now);
    std::erase_if(state.monitor.idle, [&state](const auto &entry) {
        const bool over = entry.second.seenAt != state.view.now;
        if (over && entry.second.logged && takeLogLine(state.monitor, state.lines, state.view.now))
            state.lines.push_back(
                {"idle job runs, has ended, or fits on no worker any more",
                 {{"job", entry.first}, {"idleMs", (state.view.now - entry.second.since).count()}}});
        return over;
    });
}

void pruneEnded(wait_monitor &monitor, const fleet_view &view)
{
    if (view.now - monitor.prunedAt < monitor.rules.pruneInterval)
        return;
    monitor.prunedAt = view.now;
    std::erase_if(monitor.ends, [&view](const auto &entry) {
        const auto jobEntry = view.table.jobs.find(entry.first.job);
        return jobEntry == view.table.jobs.end() || isFinal(jobEntry->second.status);
    });
}

} // namespace

void recordEnd(wait_monitor &monitor, const fleet_view &view, const journal_record &record)
{
    const task_state *state = findTask(view.table, record.task);
    if (record.kind != record_kind::ended || !state || state->phase == task_phase::done)
        return;
    const bool began = record.end != run_end::notStarted;
    storeEnd(monitor, view, record.task, record.run, began ? std::optional(view.now) : std::nullopt);
}

bool recordExpiredRuns(wait_monitor &monitor, const fleet_view &view, const worker_session &session,
                       std::span<const journal_record> expired)
{
    bool isNew = false;
    for (const journal_record &record : expired) {
        // Until a worker has responded in this term, it has only runs that an earlier owner started.
        const bool began = !session.fenced || hasBegun(session, record.task, record.run);
        isNew = storeEnd(monitor, view, record.task, record.run,
                         began ? std::optional(lastObservedAt(session, view)) : std::nullopt)
            || isNew;
    }
    return isNew;
}

time_point waitingSince(const wait_monitor &monitor, const fleet_view &view, const task_name &task,
                        std::uint32_t lastRun)
{
    const auto known = monitor.ends.find(task);
    if (known != monitor.ends.end())
        return known->second.at;
    if (lastRun > 0)
        return view.termStart;
    const job &spec = view.table.jobs.find(task.job)->second.spec;
    const std::int64_t begin = spec.repetitions > 0
        ? spec.firstDueMs + static_cast<std::int64_t>(task.occurrence) * spec.interval.count()
        : spec.acceptedAtMs;
    return view.now - (view.unixNow - kernel::fromMillis(begin));
}

milliseconds scanIntervalAfter(const wait_monitor_rules &rules, time_point begun, time_point ended)
{
    return std::clamp((ended - begun) * rules.scanIntervalFactor, rules.scanInterval,
                      rules.longestScanInterval);
}

std::vector<log_line> scanWaiting(wait_monitor &monitor, const fleet_view &view)
{
    monitor.found = {};
    pruneEnded(monitor, view);
    scan_state state{monitor, view, {}, {}};
    const std::vector<down_task> assigned = findAssignedDown(view);
    std::vector<down_task> longRunning = findWaitingLongRunning(view, state.cache);
    const auto waitingEnd = static_cast<std::ptrdiff_t>(longRunning.size());
    std::copy_if(assigned.begin(), assigned.end(), std::back_inserter(longRunning),
                 [](const down_task &down) { return down.longRunning; });
    std::inplace_merge(longRunning.begin(), longRunning.begin() + waitingEnd, longRunning.end(),
                       beforeByTask);
    updateDowntimes(state, longRunning);
    updateIdleJobs(state, assigned);
    monitor.found.longRunningDown = monitor.downtimes.size();
    for (const task_downtime &downtime : monitor.downtimes)
        monitor.found.longestWait = std::max(monitor.found.longestWait, view.now - downtime.since);
    return std::move(state.lines);
}

json describeExpiry(const worker_session &session, const fleet_view &view,
                    std::span<const journal_record> expired)
{
    json out = describeSession(session, view);
    out["hasAddress"] = !session.info.address.empty();
    out["officeMs"] = (view.now - view.termStart).count();
    out["runs"] = expired.size();
    out["lastingRuns"] = std::count_if(expired.begin(), expired.end(), [&view](const journal_record &record) {
        const step_spec *spec = findStep(view.table, record.task);
        return spec && spec->longRunning;
    });
    return out;
}

} // namespace almond::jobs
