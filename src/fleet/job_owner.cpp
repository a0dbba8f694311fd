#include "fleet/job_owner.h"

#include "jobs/job_codec.h"
#include "jobs/lateness.h"
#include "jobs/serving_forecast.h"
#include "observe/log.h"

#include <algorithm>

namespace almond::fleet {

using jobs::journal_record;
using kernel::task;
using observe::log_level;
using store::append_status;

namespace {

//! Finds the loads of workers that are asked for in the order of their incarnations, in one walk.
class load_walk
{
public:
    explicit load_walk(const jobs::job_table &table)
        : m_next(table.loads.begin())
        , m_end(table.loads.end())
    {
    }

    //! Returns null for an idle worker.
    const jobs::worker_load *find(std::string_view incarnation)
    {
        while (m_next != m_end && m_next->first < incarnation)
            ++m_next;
        return m_next != m_end && m_next->first == incarnation ? &m_next->second : nullptr;
    }

private:
    decltype(jobs::job_table::loads)::const_iterator m_next;
    decltype(jobs::job_table::loads)::const_iterator m_end;
};

} // namespace

milliseconds commitIntervalAfter(const owner_rules &rules, milliseconds planning)
{
    return std::clamp(planning * rules.commitIntervalFactor, rules.commitInterval,
                      rules.maximumCommitInterval);
}

job_owner::job_owner(boost::asio::io_context &context, job_owner_dependencies dependencies, won_term term)
    : m_context(context)
    , m_dependencies(std::move(dependencies))
    , m_term(std::move(term))
    , m_termStart(m_dependencies.clock())
    , m_inheritedLeaseEnd(jobs::inheritedLeaseEnd(m_dependencies.rules.sessions, m_termStart))
    , m_commitSignal(context.get_executor())
{
    m_interference.rules.harmBound = m_dependencies.rules.harmBound;
}

void job_owner::start()
{
    adoptUnlistedRuns();
    applyHandedOverLeases();
    collectInheritedFailures();
    for (const auto &[incarnation, worker] : m_workers.workers())
        startWorkerLoop(worker);
    m_commitLoopRunning = true;
    kernel::spawn(m_context.get_executor(), commitLoop(shared_from_this()));
    kernel::spawn(m_context.get_executor(), tickLoop(shared_from_this()));
}

task<void> job_owner::stop()
{
    const bool wasRunning = m_commitLoopRunning;
    resign("stopping");
    // Polls and orders without a response yet are not awaited, so that a successor can begin earlier.
    while (m_commitLoopRunning)
        co_await kernel::sleepFor(milliseconds(5));
    if (wasRunning)
        co_await handOver();
}

void job_owner::resign(const std::string &reason)
{
    if (m_resigned)
        return;
    m_resigned = true;
    if (m_jobKeys)
        m_jobKeys->stop();
    for (const auto &[incarnation, worker] : m_workers.workers())
        worker->signal.wake();
    m_commitSignal.wake();
    observe::log(log_level::info, "no longer the owner", {{"term", m_term.term}, {"reason", reason}});
}

task<void> job_owner::commitLoop(self_ptr)
{
    try {
        co_await commitUntilResigned();
    } catch (const std::exception &error) {
        resign(std::string("unexpected error while committing: ") + error.what());
    }
    m_commitLoopRunning = false;
}

task<void> job_owner::commitUntilResigned()
{
    while (!m_resigned) {
        const time_point startedAt = m_dependencies.clock();
        const batch next = prepareBatch(startedAt);
        const milliseconds interval
            = commitIntervalAfter(m_dependencies.rules, m_dependencies.clock() - startedAt);
        bool committed = true;
        if (!next.records.empty())
            committed = co_await appendBatch(next);
        if (!committed)
            break;
        finishBatch(next);
        recordRound(m_loop, m_dependencies.clock());
        const milliseconds spent = m_dependencies.clock() - startedAt;
        if (spent < interval)
            co_await kernel::sleepFor(interval - spent);
        co_await m_commitSignal.wait(milliseconds(500));
    }
}

jobs::fleet_config_ptr job_owner::effectiveConfig()
{
    const jobs::fleet_config_ptr current = m_dependencies.config();
    if (m_configSource != current) {
        jobs::updateKnownQueues(m_queues, *current);
        m_effectiveConfig = jobs::withRemovedQueues(current, m_queues);
        m_configSource = current;
    }
    return m_effectiveConfig;
}

job_owner::batch job_owner::prepareBatch(time_point now)
{
    const part_timer timed(m_dependencies.times, owner_part::planning);
    batch next;
    applyQueuedRecords(next, now);
    for (const auto &[incarnation, worker] : m_workers.workers()) {
        if (worker->session.endsRead > worker->session.endsDurable)
            next.endNumbers[incarnation] = worker->session.endsRead;
    }
    const jobs::fleet_config_ptr config = effectiveConfig();
    jobs::openDueOccurrences(m_jobTable, m_dependencies.unixClock());
    if (now - m_tableReviewedAt >= m_dependencies.rules.tickInterval) {
        jobs::updateIdleTimes(m_idleTimes, m_jobTable, now, uncertainRuns(now));
        updateBatchDemands(now);
        m_tableReviewedAt = now;
    }
    if (m_jobTable.jobsWithWaitingTasks.empty())
        m_expectedWaits.clear();
    if (mayStart(now) && !m_jobTable.jobsWithWaitingTasks.empty()) {
        for (journal_record &record : planRound(*config, now)) {
            if (!jobs::apply(m_jobTable, record))
                continue;
            // Until the outcome of the start order is known, a worker that does not report the run has not
            // lost it.
            jobs::recordPendingStart(m_workers.findIncarnation(record.worker)->session, record.task,
                                     record.run);
            next.records.push_back(std::move(record));
        }
        if (now - m_expectedWaitsUpdatedAt >= m_dependencies.rules.waitUpdateInterval)
            updateExpectedWaits(now);
    }
    for (const journal_record &record : next.records)
        m_uncommittedJobs.insert(record.task.job);
    jobs::recordDoneWork(m_throughputs, m_dependencies.rules.admission, m_jobTable, *config, next.records,
                         now);
    updateTimings(next.records, now);
    return next;
}

std::vector<journal_record> job_owner::planRound(const jobs::fleet_config &config, time_point now) const
{
    const time_point unixNow = m_dependencies.unixClock();
    const jobs::round_work work = jobs::findRoundWork(m_jobTable, config, unixNow);
    const std::vector<jobs::job_id> overdue = jobs::overdueJobs(m_idleTimes, {}, now);
    return jobs::planStarts(work, m_jobTable, config, m_interference, candidateWorkers(work.demand, now),
                            m_dependencies.rules.startsPerCommit, unixNow, overdue, m_batchDemands);
}

void job_owner::updateTimings(const std::vector<journal_record> &records, time_point now)
{
    std::set<jobs::job_id> changedJobs;
    for (const journal_record &record : records) {
        jobs::recordTiming(m_timings, m_jobTable, record, now);
        changedJobs.insert(record.task.job);
    }
    for (const jobs::job_id &id : changedJobs) {
        const auto job = m_jobTable.jobs.find(id);
        if (job == m_jobTable.jobs.end() || !jobs::isFinal(job->second.status))
            continue;
        const jobs::job &spec = job->second.spec;
        const time_point unixNow = m_dependencies.unixClock();
        for (const auto &[occurrence, times] : jobs::takeEndedTimings(m_timings, m_jobTable, id)) {
            const milliseconds age = unixNow - jobs::occurrenceBegin(spec, occurrence);
            json firstStartMs = nullptr;
            if (const auto running = jobs::sinceFirstStart(times, now))
                firstStartMs = (age - *running).count();
            observe::log(log_level::info, "job ended",
                         {{"job", id},
                          {"occurrence", occurrence},
                          {"queue", spec.queue},
                          {"status", jobs::statusName(job->second.status)},
                          {"tookMs", kernel::toMillis(unixNow) - spec.acceptedAtMs},
                          {"firstStartMs", std::move(firstStartMs)},
                          {"steps", jobs::describeTiming(times, spec)}});
        }
    }
}

jobs::uncertain_runs job_owner::uncertainRuns(time_point now) const
{
    jobs::uncertain_runs uncertain;
    // They matter only for jobs that wait.
    if (m_jobTable.jobsWithWaitingTasks.empty())
        return uncertain;
    const jobs::session_rules &rules = m_dependencies.rules.sessions;
    for (const auto &[incarnation, worker] : m_workers.workers()) {
        if (!jobs::mayHaveUncertainRuns(worker->session, rules, now))
            continue;
        const auto load = m_jobTable.loads.find(incarnation);
        if (load != m_jobTable.loads.end())
            jobs::addUncertainRuns(uncertain, worker->session, rules, load->second, now);
    }
    return uncertain;
}

//! Their serving tasks are described as far as \a waiting needs it.
std::vector<jobs::candidate> job_owner::candidateWorkers(const jobs::waiting_demand &waiting,
                                                         time_point now) const
{
    const part_timer timed(m_dependencies.times, owner_part::candidates);
    const jobs::fleet_config_ptr config = m_dependencies.config();
    const bool ignoreQuarantine = tooManyQuarantined(now);
    std::vector<jobs::candidate> usable;
    usable.reserve(m_workers.size());
    std::vector<const jobs::throttle_state *> throttles;
    throttles.reserve(m_workers.size());
    load_walk loads(m_jobTable);
    for (const auto &[incarnation, worker] : m_workers.workers()) {
        const jobs::worker_session &session = worker->session;
        if (!ignoreQuarantine && placement::isQuarantined(worker->evaluation.health, now))
            continue;
        const bool open = !config->withdrawnDomains.contains(session.info.failureDomain);
        if (!open || recentlyRefused(*worker, now)
            || !jobs::acceptsNewTasks(session, m_dependencies.rules.sessions, now))
            continue;
        const jobs::worker_load *load = loads.find(incarnation);
        usable.push_back(jobs::makeCandidate(session.info, load));
        throttles.push_back(&worker->throttle);
        if (!load)
            continue;
        jobs::candidate &added = usable.back();
        added.spareMillicores += throttledMillicores(*worker, *load);
        added.targetMissed = jobs::isTargetMissed(worker->throttle);
        added.bestEffortBlocked = jobs::isBestEffortBlocked(worker->throttle, m_interference.rules, now);
    }
    addServingViews(usable, throttles, waiting, now);
    return usable;
}

//! \a throttles has one entry for each of the \a candidates.
void job_owner::addServingViews(std::span<jobs::candidate> candidates,
                                std::span<const jobs::throttle_state *const> throttles,
                                jobs::waiting_demand waiting, time_point now) const
{
    if (jobs::hasOverdueJob(m_idleTimes, {}, now) && jobs::mayPlaceOverdue(candidates, {}))
        waiting = jobs::withOverdueJobs(waiting);
    jobs::serving_forecast forecast(m_interference.model, m_interference.rules, now);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        jobs::candidate &worker = candidates[index];
        if (worker.load && jobs::needsServingViews(worker, waiting))
            worker.serving = forecast.viewsOf(*worker.load, worker.info->capacity, *throttles[index]);
    }
}

bool job_owner::tooManyQuarantined(time_point now) const
{
    const auto &all = m_workers.workers();
    const auto quarantined = std::count_if(all.begin(), all.end(), [now](const auto &entry) {
        return placement::isQuarantined(entry.second->evaluation.health, now);
    });
    return static_cast<double>(quarantined)
        > m_dependencies.rules.evaluation.largestQuarantinedShare * static_cast<double>(m_workers.size());
}

//! CPU in millicores that best-effort tasks leave unused because they are throttled.
std::int64_t job_owner::throttledMillicores(const managed_worker &worker, const jobs::worker_load &load) const
{
    std::int64_t unused = 0;
    for (const auto &[run, percent] : worker.throttle.percentByRun) {
        const jobs::step_spec *spec = jobs::findStep(m_jobTable, run.first);
        const auto assigned = load.runs.find(run.first);
        if (spec && assigned != load.runs.end() && assigned->second == run.second)
            unused += spec->demand.millicores * (100 - percent) / 100;
    }
    return unused;
}

task<bool> job_owner::appendBatch(const batch &next)
{
    store::journal_entry entry;
    entry.index = m_journalIndex + 1;
    entry.writer = m_dependencies.processId;
    entry.submission = m_dependencies.processId + "/" + std::to_string(m_term.term) + "/"
        + std::to_string(++m_submissionNumber);
    entry.body = json::array();
    for (const journal_record &record : next.records)
        entry.body.push_back(jobs::encodeRecord(record));
    store::journal_fence fence;
    fence.ownerKey = election_key::owner;
    fence.ownerRevision = m_term.ownerRevision;
    while (true) {
        store::append_limits limits;
        if (m_resigned)
            limits.attempts = 1;
        const store::append_result result
            = co_await store::appendFenced(m_dependencies.store, job_key::journal, entry, fence, limits);
        if (result.status == append_status::committed) {
            m_journalIndex = entry.index;
            ++m_counters.commits;
            m_counters.records += next.records.size();
            m_journalSize.records += next.records.size();
            co_return true;
        }
        if (result.existing && result.existing->writer.empty() && !m_resigned) {
            // Another writer left something at this index that no owner reads.
            ++entry.index;
            continue;
        }
        if (result.status == append_status::conflict || m_resigned) {
            resign("the journal has another writer");
            co_return false;
        }
    }
}

void job_owner::finishBatch(const batch &next)
{
    const part_timer timed(m_dependencies.times, owner_part::finishing);
    m_uncommittedJobs.clear();
    for (const auto &[incarnation, number] : next.endNumbers) {
        const managed_worker_ptr worker = m_workers.findIncarnation(incarnation);
        if (!worker || worker->session.endsDurable >= number)
            continue;
        worker->session.endsDurable = number;
        worker->signal.wake();
    }
    for (const journal_record &record : next.records) {
        if (record.kind != jobs::record_kind::started)
            continue;
        // The worker may have restarted while the record was written.
        kernel::spawn(
            m_context.get_executor(),
            startTask(shared_from_this(), m_workers.findId(jobs::workerIdOf(record.worker)), record));
    }
}

task<void> job_owner::tickLoop(self_ptr)
{
    try {
        co_await checkUntilResigned();
    } catch (const std::exception &error) {
        resign(std::string("unexpected error in the periodic checks: ") + error.what());
    }
}

task<void> job_owner::checkUntilResigned()
{
    while (!m_resigned) {
        runChecks(m_dependencies.clock());
        kernel::beginSleep(m_loop.lag, m_dependencies.rules.tickInterval, m_dependencies.clock());
        co_await kernel::sleepFor(m_dependencies.rules.tickInterval);
        kernel::endSleep(m_loop.lag, m_dependencies.clock());
        recordLoop(m_dependencies.clock());
    }
}

void job_owner::runChecks(time_point now)
{
    const part_timer timed(m_dependencies.times, owner_part::checks);
    followLateListings();
    for (const auto &[incarnation, worker] : m_workers.workers()) {
        std::vector<journal_record> expired
            = jobs::expiredRuns(worker->session, m_dependencies.rules.sessions, m_jobTable, now);
        recordExpiredRuns(*worker, expired, now);
        queueRecords(std::move(expired));
    }
    m_workers.removeUnused([this](const managed_worker &worker) { return isUnused(worker); });
    removeEndedIfDue(now);
    suspendBetweenPolls(now);
    pollOverdueWorkers(now);
    scanWaiting(now);
    recordAges(now);
    if (!m_jobTable.jobsWithWaitingTasks.empty() || !m_jobTable.timers.empty())
        m_commitSignal.wake();
    if (now - m_modelRefreshedAt <= m_dependencies.rules.modelRefreshInterval)
        return;
    jobs::refreshModel(m_interference.model, m_interference.rules.learning,
                       now - m_dependencies.rules.loadValidity);
    savePairsIfDue(now);
    jobs::pruneStepDurations(m_stepDurations, m_jobTable);
    pruneTraces(now);
    m_modelRefreshedAt = now;
}

void job_owner::recordLoop(time_point now)
{
    if (m_dependencies.times)
        updateRates(m_loop, *m_dependencies.times, now);
    if (!m_dependencies.metrics)
        return;
    recordLoopLag(*m_dependencies.metrics, m_loop.lag.newest);
    if (m_dependencies.times)
        recordPartTimes(*m_dependencies.metrics, *m_dependencies.times);
}

void job_owner::queueRecords(std::vector<journal_record> records)
{
    if (records.empty())
        return;
    for (journal_record &record : records)
        m_queuedRecords.push_back(std::move(record));
    m_commitSignal.wake();
}

std::optional<jobs::job_status> job_owner::statusOf(const std::string &id) const
{
    const auto known = jobs::job_id::from(id);
    const auto found = known ? m_jobTable.jobs.find(*known) : m_jobTable.jobs.end();
    if (found == m_jobTable.jobs.end())
        return std::nullopt;
    const jobs::job_status status = found->second.status;
    const bool ending = status == jobs::job_status::completed || status == jobs::job_status::failed;
    return ending && m_uncommittedJobs.contains(*known) ? jobs::job_status::running : status;
}

json job_owner::explain(const std::string &id) const
{
    const auto known = jobs::job_id::from(id);
    const auto found = known ? m_jobTable.jobs.find(*known) : m_jobTable.jobs.end();
    if (found == m_jobTable.jobs.end())
        return {{"job", id}, {"known", false}};
    const jobs::job_state &job = found->second;
    json tasks = json::array();
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const bool ready = jobs::isReady(job, occurrence, step);
            for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
                const jobs::task_state &state = occurrence.steps[step].tasks[index];
                if (state.phase == jobs::task_phase::done)
                    continue;
                const bool waiting = state.phase == jobs::task_phase::waiting;
                const char *waitsFor = ready ? "room" : "earlier steps";
                tasks.push_back({{"task", jobs::formatTask({*known, number, step, index})},
                                 {"waitsFor", waiting ? waitsFor : "its end"},
                                 {"run", state.run},
                                 {"failures", state.failures},
                                 {"worker", state.worker}});
            }
        }
    }
    return {{"job", id},
            {"known", true},
            {"queue", job.spec.queue},
            {"status", jobs::statusName(job.status)},
            {"acceptedAtMs", job.spec.acceptedAtMs},
            {"openTasks", std::move(tasks)}};
}

json job_owner::dump() const
{
    return {{"room", describeCapacity()},
            {"waiting", describeWaiting()},
            {"confirmed", describeAges()},
            {"loop", describeLoop(m_loop, m_dependencies.times, m_dependencies.clock())},
            {"term", m_term.term},
            {"journalIndex", m_journalIndex},
            {"jobs", m_jobTable.jobs.size()},
            {"jobsWithWaitingTasks", m_jobTable.jobsWithWaitingTasks.size()},
            {"workers", m_workers.size()},
            {"busyWorkers", m_jobTable.loads.size()},
            {"starts", m_counters.starts},
            {"startsHeld", m_counters.startsHeld},
            {"startsGivenUp", m_counters.startsRefused},
            {"looks", m_counters.polls},
            {"commits", m_counters.commits},
            {"journalRecords", m_journalSize.records},
            {"endedJobs", m_ended.kept.size()},
            {"jobsRemoved", m_counters.jobsRemoved}};
}

} // namespace almond::fleet
