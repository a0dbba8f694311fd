#include "jobs/wait_monitor.h"

#include "jobs/job_codec.h"

#include <algorithm>

namespace almond::jobs {

namespace {

using nlohmann::json;

constexpr milliseconds lineSecond{1000};

//! A task that does not run now, or can't be seen to run.
struct away_task
{
    task_name task;
    std::uint32_t run = 0;
    wait_cause cause = wait_cause::noRoom;
    //! Its newest run began and has not been seen to end.
    bool outOfSight = false;
    bool longRunning = false;
};

bool beforeByTask(const away_task &left, const away_task &right)
{
    return left.task < right.task;
}

//! Tells whether \a run of \a task is known to have begun on \a session.
bool hasBegun(const worker_session &session, const task_name &task, std::uint32_t run)
{
    const auto accepted = session.acceptedRuns.find(task);
    if (accepted != session.acceptedRuns.end() && accepted->second.first == run)
        return true;
    return std::any_of(session.running.begin(), session.running.end(),
                       [&](const running_report &row) { return row.task == task && row.run == run; });
}

//! Until when what runs on \a session is known to have run.
time_point lastSeen(const worker_session &session, const fleet_view &view)
{
    return std::max(session.lastResponseAt, view.termStart);
}

//! False when the end is known already.
bool storeEnd(wait_monitor &watch, const fleet_view &view, const task_name &task, std::uint32_t run,
              std::optional<time_point> endedAt)
{
    const auto known = watch.ends.find(task);
    if (known != watch.ends.end() && known->second.run >= run)
        return false;
    const time_point at = endedAt ? *endedAt : waitingSince(watch, view, task, run - 1);
    watch.ends[task] = {run, at};
    return true;
}

void addAway(std::vector<away_task> &away, const fleet_view &view, const task_name &task, std::uint32_t run,
             wait_cause cause)
{
    const auto owner = view.table.jobs.find(task.job);
    if (owner == view.table.jobs.end() || isFinal(owner->second.status))
        return;
    const bool longRunning = owner->second.spec.steps[task.step].longRunning;
    away.push_back({task, run, cause, cause == wait_cause::runNotOver, longRunning});
}

//! Assigned tasks that do not run, sorted.
std::vector<away_task> assignedAway(const fleet_view &view)
{
    std::vector<away_task> away;
    for (const worker_view &worker : view.workers) {
        const worker_session &session = *worker.session;
        const wait_cause ordering = session.unansweredSince == time_point{} ? wait_cause::startUnderWay
                                                                            : wait_cause::startUnanswered;
        for (const auto &[task, run] : session.pendingStarts) {
            // The task may have moved on while a stop for this order is under way.
            if (assignedRun(view.table, session.incarnation, task) == run)
                addAway(away, view, task, run, ordering);
        }
        if (!worker.load || !isUnobservable(session, view.sessions, view.now))
            continue;
        for (const auto &[task, run] : worker.load->runs) {
            if (!session.pendingStarts.contains(task))
                addAway(away, view, task, run, wait_cause::runNotOver);
        }
    }
    std::sort(away.begin(), away.end(), beforeByTask);
    return away;
}

//! Lasting tasks without a run, sorted.
std::vector<away_task> waitingLasting(const fleet_view &view, fitting_workers_cache &known)
{
    std::vector<away_task> away;
    for (const std::string &id : view.table.jobsWithWaitingTasks) {
        const job_state &owner = view.table.jobs.find(id)->second;
        for (const auto &[number, occurrence] : owner.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const step_state &state = occurrence.steps[step];
                if (!owner.spec.steps[step].longRunning || state.waiting == 0)
                    continue;
                task_name task{id, number, step, 0};
                const wait_cause cause = causeOfWaiting(view, owner, task, known);
                for (; task.index < state.tasks.size(); ++task.index) {
                    const task_state &one = state.tasks[task.index];
                    if (one.phase == task_phase::waiting)
                        away.push_back({task, one.run, cause, false, true});
                }
            }
        }
    }
    return away;
}

task_downtime beginAbsence(const wait_monitor &watch, const fleet_view &view, const away_task &away)
{
    task_downtime begun;
    begun.task = away.task;
    begun.newestRun = away.run;
    const task_state *state = findTask(view.table, away.task);
    const bool ordered = state->phase == task_phase::assigned && !away.outOfSight;
    begun.lastRun = ordered ? away.run - 1 : away.run;
    const worker_view *worker = away.outOfSight ? findWorker(view, state->worker) : nullptr;
    begun.since
        = worker ? lastSeen(*worker->session, view) : waitingSince(watch, view, away.task, begun.lastRun);
    begun.countedTo = begun.since;
    return begun;
}

//! Takes a run into account that began and ended between two walks, or ended out of sight.
void takeNewEnd(task_downtime &missing, const wait_monitor &watch, const away_task &away)
{
    if (away.run == missing.newestRun)
        return;
    missing.newestRun = away.run;
    const auto known = watch.ends.find(away.task);
    if (known == watch.ends.end() || known->second.run <= missing.lastRun
        || known->second.at <= missing.since)
        return;
    missing.lastRun = known->second.run;
    missing.since = known->second.at;
    missing.countedTo = known->second.at;
    missing.spent = {};
    missing.limitsPassed = 0;
}

json describeSpent(const task_downtime &missing)
{
    json spent = json::object();
    for (std::size_t index = 0; index < missing.spent.size(); ++index) {
        if (missing.spent[index].count() > 0)
            spent[std::string(causeName(static_cast<wait_cause>(index)))] = missing.spent[index].count();
    }
    return spent;
}

json describeRoomCount(const fitting_workers &room)
{
    return {{"usable", room.usable},
            {"quarantined", room.quarantined},
            {"refusing", room.refusing},
            {"withdrawn", room.withdrawn},
            {"unreachable", room.unreachable}};
}

//! How long after the begin of its silence \a session was last granted a lease, within the drift of clocks.
milliseconds grantedInSilence(const worker_session &session, const session_rules &rules)
{
    const milliseconds longest(rules.lease.count() * 100 / (100 - rules.clockDriftPercent));
    const time_point grantedAt = session.grantedLeaseUntil - longest - rules.leaseMargin;
    return std::max(grantedAt - session.unansweredSince, milliseconds(0));
}

json describeSession(const worker_session &session, const fleet_view &view)
{
    json out{{"worker", session.incarnation},
             {"listed", session.listed},
             {"dead", session.dead},
             {"leaseOverInMs", (leaseEnd(session) - view.now).count()},
             {"leaseInherited", session.grantedLeaseUntil <= session.inheritedLeaseUntil},
             {"ordersUnderWay", session.pendingStarts.size()},
             {"answeredBeforeMs", nullptr},
             {"silentForMs", nullptr}};
    if (session.lastResponseAt != time_point{})
        out["answeredBeforeMs"] = (view.now - session.lastResponseAt).count();
    if (session.unansweredSince != time_point{}) {
        out["silentForMs"] = (view.now - session.unansweredSince).count();
        if (!out["leaseInherited"].get<bool>())
            out["leaseGrantedInSilenceMs"] = grantedInSilence(session, view.sessions).count();
    }
    return out;
}

//! What decides about \a task now: the worker that it is assigned to, and the room for it.
json describeTask(const fleet_view &view, const task_name &task, fitting_workers_cache &known)
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
        const fitting_workers room
            = countFittingWorkers(view, queue->second.service, spec.steps[task.step], task, known);
        out["workersWithRoom"] = describeRoomCount(room);
        out["serviceUsedPercent"] = room.servicePercent;
    }
    return out;
}

//! Tells whether one more line may be written, and counts it.
bool takeLine(wait_monitor &watch, std::vector<log_line> &lines, time_point now)
{
    if (now - watch.secondBegun >= lineSecond) {
        if (watch.linesLeftOut > 0)
            lines.push_back({"lines on what waits left out", {{"count", watch.linesLeftOut}}});
        watch.secondBegun = now;
        watch.linesInSecond = 0;
        watch.linesLeftOut = 0;
    }
    const bool mayBeWritten = watch.linesInSecond < watch.rules.linesPerSecond;
    ++(mayBeWritten ? watch.linesInSecond : watch.linesLeftOut);
    return mayBeWritten;
}

//! One walk over what waits.
struct walk_state
{
    wait_monitor &watch;
    const fleet_view &view;
    fitting_workers_cache rooms;
    std::vector<log_line> lines;
};

void continueAbsence(walk_state &state, task_downtime &missing, wait_cause cause)
{
    missing.spent.at(static_cast<std::size_t>(cause)) += state.view.now - missing.countedTo;
    missing.countedTo = state.view.now;
    const milliseconds waited = state.view.now - missing.since;
    const auto &limits = state.watch.rules.longRunningLimits;
    if (missing.limitsPassed == limits.size() || waited < limits.at(missing.limitsPassed))
        return;
    for (; missing.limitsPassed < limits.size() && waited >= limits.at(missing.limitsPassed);
         ++missing.limitsPassed)
        ++state.watch.found.overLimit.at(missing.limitsPassed).at(static_cast<std::size_t>(cause));
    if (!takeLine(state.watch, state.lines, state.view.now))
        return;
    json fields = describeTask(state.view, missing.task, state.rooms);
    fields["cause"] = causeName(cause);
    fields["waitedMs"] = waited.count();
    fields["lastRun"] = missing.lastRun;
    fields["spentMs"] = describeSpent(missing);
    state.lines.push_back({"lasting task waits long", std::move(fields)});
}

//! Since when \a run of \a task runs on \a session, as far as its worker has told.
time_point beganAt(const worker_session &session, const task_name &task, std::uint32_t run, time_point now)
{
    const auto accepted = session.acceptedRuns.find(task);
    return accepted != session.acceptedRuns.end() && accepted->second.first == run ? accepted->second.second
                                                                                   : now;
}

void noteGap(wait_monitor &watch, const task_downtime &missing, milliseconds gap)
{
    // Before its first run a task has waited, but has not been interrupted.
    if (missing.lastRun == 0)
        return;
    watch.found.gaps.push_back(gap);
    watch.longestGap = std::max(watch.longestGap, gap);
}

void endAbsence(walk_state &state, task_downtime missing, std::vector<task_downtime> &present)
{
    const auto owner = state.view.table.jobs.find(missing.task.job);
    const task_state *own = findTask(state.view.table, missing.task);
    if (!own || isFinal(owner->second.status) || own->phase != task_phase::assigned)
        return;
    const worker_view *worker = findWorker(state.view, own->worker);
    const bool inSight = own->run == missing.lastRun;
    if (!inSight && (!worker || !hasBegun(*worker->session, missing.task, own->run))) {
        continueAbsence(state, missing, wait_cause::startUnderWay);
        present.push_back(std::move(missing));
        return;
    }
    const time_point now = state.view.now;
    const time_point end = inSight ? now : beganAt(*worker->session, missing.task, own->run, now);
    if (!inSight)
        noteGap(state.watch, missing, end - missing.since);
    if (missing.limitsPassed == 0 || !takeLine(state.watch, state.lines, now))
        return;
    state.lines.push_back({inSight ? "lasting task is in sight again" : "lasting task runs again",
                           {{"task", formatTask(missing.task)},
                            {"run", own->run},
                            {"lastRun", missing.lastRun},
                            {"worker", own->worker},
                            {"gapMs", (end - missing.since).count()},
                            {"spentMs", describeSpent(missing)}}});
}

void followAbsences(walk_state &state, const std::vector<away_task> &longRunning)
{
    std::vector<task_downtime> present;
    present.reserve(longRunning.size());
    auto earlier = state.watch.downtimes.begin();
    const auto earlierEnd = state.watch.downtimes.end();
    for (const away_task &away : longRunning) {
        for (; earlier != earlierEnd && earlier->task < away.task; ++earlier)
            endAbsence(state, std::move(*earlier), present);
        const bool known = earlier != earlierEnd && earlier->task == away.task;
        task_downtime missing = known ? std::move(*earlier++) : beginAbsence(state.watch, state.view, away);
        takeNewEnd(missing, state.watch, away);
        continueAbsence(state, missing, away.cause);
        present.push_back(std::move(missing));
    }
    for (; earlier != earlierEnd; ++earlier)
        endAbsence(state, std::move(*earlier), present);
    state.watch.downtimes = std::move(present);
}

bool hasAnyRoom(walk_state &state, const job_state &owner, const task_name &task)
{
    const auto queue = state.view.config.queues.find(owner.spec.queue);
    if (queue == state.view.config.queues.end())
        return false;
    const fitting_workers room = countFittingWorkers(state.view, queue->second.service,
                                                     owner.spec.steps[task.step], task, state.rooms);
    return room.usable + room.quarantined + room.refusing + room.unreachable > 0;
}

std::optional<task_name> taskWithRoom(walk_state &state, const job_state &owner)
{
    for (const auto &[number, occurrence] : owner.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            task_name task{owner.spec.id, number, step, 0};
            const std::vector<task_state> &tasks = occurrence.steps[step].tasks;
            if (occurrence.steps[step].waiting == 0 || !isReady(owner, occurrence, step)
                || !hasAnyRoom(state, owner, task))
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

void followJob(walk_state &state, std::string_view id, const std::vector<const away_task *> &away)
{
    const job_state &owner = state.view.table.jobs.find(id)->second;
    if (owner.assigned > away.size())
        return;
    const std::optional<task_name> task
        = away.empty() ? taskWithRoom(state, owner) : std::optional(away.front()->task);
    if (!task || !hasAnyRoom(state, owner, *task))
        return;
    const auto found = state.watch.idle.find(id);
    idle_job &idle = found != state.watch.idle.end() ? found->second : state.watch.idle[std::string(id)];
    if (idle.seenAt == time_point{})
        idle.since = state.view.now;
    idle.seenAt = state.view.now;
    const milliseconds lasted = state.view.now - idle.since;
    if (idle.named || lasted < state.watch.rules.idleLimit)
        return;
    state.watch.found.idleJobs += idle.counted ? 0 : 1;
    idle.counted = true;
    if (!takeLine(state.watch, state.lines, state.view.now))
        return;
    idle.named = true;
    json fields = describeTask(state.view, *task, state.rooms);
    fields["job"] = id;
    fields["queue"] = owner.spec.queue;
    fields["lasting"] = owner.spec.steps[task->step].longRunning;
    fields["idleMs"] = lasted.count();
    fields["acceptedBeforeMs"] = kernel::toMillis(state.view.unixNow) - owner.spec.acceptedAtMs;
    fields["cause"] = causeName(away.empty() ? causeOfWaiting(state.view, owner, *task, state.rooms)
                                             : away.front()->cause);
    state.lines.push_back({"job has nothing running though its turn has come", std::move(fields)});
}

void followIdleJobs(walk_state &state, const std::vector<away_task> &assigned)
{
    std::map<std::string_view, std::vector<const away_task *>> awayByJob;
    for (const away_task &away : assigned)
        awayByJob[away.task.job].push_back(&away);
    for (const auto &[id, away] : awayByJob)
        followJob(state, id, away);
    for (const std::string &id : state.view.table.jobsWithWaitingTasks) {
        if (!awayByJob.contains(id))
            followJob(state, id, {});
    }
    std::erase_if(state.watch.idle, [&state](const auto &entry) {
        const bool over = entry.second.seenAt != state.view.now;
        if (over && entry.second.named && takeLine(state.watch, state.lines, state.view.now))
            state.lines.push_back(
                {"job runs, has ended or has no room any more",
                 {{"job", entry.first}, {"idleMs", (state.view.now - entry.second.since).count()}}});
        return over;
    });
}

void forgetEnded(wait_monitor &watch, const fleet_view &view)
{
    if (view.now - watch.prunedAt < watch.rules.pruneInterval)
        return;
    watch.prunedAt = view.now;
    std::erase_if(watch.ends, [&view](const auto &entry) {
        const auto owner = view.table.jobs.find(entry.first.job);
        return owner == view.table.jobs.end() || isFinal(owner->second.status);
    });
}

} // namespace

void recordEnd(wait_monitor &watch, const fleet_view &view, const journal_record &record)
{
    const task_state *state = findTask(view.table, record.task);
    if (record.kind != record_kind::ended || !state || state->phase == task_phase::done)
        return;
    const bool began = record.end != run_end::notStarted;
    storeEnd(watch, view, record.task, record.run, began ? std::optional(view.now) : std::nullopt);
}

bool recordExpiredRuns(wait_monitor &watch, const fleet_view &view, const worker_session &session,
                       std::span<const journal_record> lapsed)
{
    bool isNew = false;
    for (const journal_record &record : lapsed) {
        // Before its first answer a worker shows only what an earlier owner started.
        const bool began = !session.fenced || hasBegun(session, record.task, record.run);
        isNew = storeEnd(watch, view, record.task, record.run,
                         began ? std::optional(lastSeen(session, view)) : std::nullopt)
            || isNew;
    }
    return isNew;
}

time_point waitingSince(const wait_monitor &watch, const fleet_view &view, const task_name &task,
                        std::uint32_t lastRun)
{
    const auto known = watch.ends.find(task);
    if (known != watch.ends.end())
        return known->second.at;
    if (lastRun > 0)
        return view.termStart;
    const job &spec = view.table.jobs.find(task.job)->second.spec;
    const std::int64_t begin = spec.repetitions > 0
        ? spec.firstDueMs + static_cast<std::int64_t>(task.occurrence) * spec.interval.count()
        : spec.acceptedAtMs;
    return view.now - (view.unixNow - kernel::fromMillis(begin));
}

std::vector<log_line> scanWaiting(wait_monitor &watch, const fleet_view &view)
{
    watch.scannedAt = view.now;
    watch.found = {};
    forgetEnded(watch, view);
    walk_state state{watch, view, {}, {}};
    const std::vector<away_task> assigned = assignedAway(view);
    std::vector<away_task> longRunning = waitingLasting(view, state.rooms);
    const auto waitingEnd = static_cast<std::ptrdiff_t>(longRunning.size());
    std::copy_if(assigned.begin(), assigned.end(), std::back_inserter(longRunning),
                 [](const away_task &away) { return away.longRunning; });
    std::inplace_merge(longRunning.begin(), longRunning.begin() + waitingEnd, longRunning.end(),
                       beforeByTask);
    followAbsences(state, longRunning);
    followIdleJobs(state, assigned);
    watch.found.longRunningDown = watch.downtimes.size();
    for (const task_downtime &missing : watch.downtimes)
        watch.found.longestWait = std::max(watch.found.longestWait, view.now - missing.since);
    return std::move(state.lines);
}

json describeExpiry(const worker_session &session, const fleet_view &view,
                    std::span<const journal_record> lapsed)
{
    json out = describeSession(session, view);
    out["hasAddress"] = !session.info.address.empty();
    out["officeMs"] = (view.now - view.termStart).count();
    out["runs"] = lapsed.size();
    out["lastingRuns"] = std::count_if(lapsed.begin(), lapsed.end(), [&view](const journal_record &record) {
        const step_spec *spec = findStep(view.table, record.task);
        return spec && spec->longRunning;
    });
    return out;
}

} // namespace almond::jobs
