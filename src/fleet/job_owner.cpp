#include "fleet/job_owner.h"

#include "jobs/job_codec.h"
#include "observe/log.h"

#include <algorithm>

namespace almond::fleet {

using jobs::journal_record;
using kernel::task;
using observe::log_level;
using store::append_status;

milliseconds commitIntervalAfter(const owner_rules &rules, milliseconds planning)
{
    return std::clamp(planning * rules.commitIntervalPerPlan, rules.commitInterval,
                      rules.longestCommitInterval);
}

job_owner::job_owner(boost::asio::io_context &context, owner_services services, won_term term)
    : m_context(context)
    , m_services(std::move(services))
    , m_term(std::move(term))
    , m_since(m_services.clock())
    , m_inheritedUntil(jobs::inheritedLeaseEnd(m_services.rules.sessions, m_since))
    , m_commitSignal(context.get_executor())
{
}

void job_owner::followJobs()
{
    const auto self = shared_from_this();
    store::follow_events events;
    events.written = [self](const store::stored_item &item) { self->takeJobKey(item); };
    events.removed = [](const std::string &) {};
    events.listed = [self] { self->m_commitSignal.wake(); };
    store::follow_rules rules;
    rules.gatherPause = m_services.rules.commitInterval / 2;
    m_jobs = std::make_shared<store::prefix_follower>(m_services.store, m_services.clock, job_key::prefix,
                                                      rules, std::move(events));
    kernel::spawn(m_context.get_executor(),
                  [](std::shared_ptr<store::prefix_follower> follower) -> task<void> {
                      co_await follower->run();
                  }(m_jobs));
}

task<bool> job_owner::load()
{
    // One after the other: over a slow link pages that are read at the same time come too late.
    store::journal_entries journal = co_await store::readFenced(m_services.store, job_key::journal, 0);
    if (journal.status != store::store_status::ok)
        co_return false;
    const milliseconds journalRead = m_services.clock() - m_since;
    co_await loadPairs();
    if (!m_jobs)
        followJobs();
    while (!m_jobs->isListed() && !m_over)
        co_await m_commitSignal.wait(m_services.rules.tickInterval);
    std::size_t skipped = 0;
    for (const store::journal_entry &entry : journal.entries) {
        for (const json &record : entry.body)
            skipped += jobs::apply(m_book, jobs::decodeRecord(record)) ? 0 : 1;
        m_index = entry.index;
    }
    m_loaded = true;
    if (m_services.metrics)
        takeLoadTime(*m_services.metrics, m_services.clock() - m_since);
    for (const std::string &id : m_cancelled)
        jobs::cancelJob(m_book, id);
    observe::log(log_level::info, "jobs loaded",
                 {{"term", m_term.term},
                  {"journalReadMs", journalRead.count()},
                  {"entries", journal.entries.size()},
                  {"jobs", m_book.jobs.size()},
                  {"skippedRecords", skipped},
                  {"tookMs", (m_services.clock() - m_since).count()}});
    co_return !m_over;
}

void job_owner::takeJobKey(const store::stored_item &item)
{
    if (item.key.starts_with(job_key::cancelled)) {
        takeCancel(item.key.substr(std::string_view(job_key::cancelled).size()));
        return;
    }
    try {
        jobs::job accepted = jobs::decodeJob(json::parse(item.value));
        // Noted once for all jobs of the queue.
        const auto rules = std::exchange(accepted.queueAtAcceptance, nullptr);
        if (rules && jobs::recordAccepted(m_queues, *rules))
            m_configTaken = nullptr;
        jobs::addJob(m_book, accepted);
    } catch (const json::exception &error) {
        observe::log(log_level::error, "an accepted job can't be read",
                     {{"key", item.key}, {"error", error.what()}});
        return;
    }
    if (m_loaded)
        m_commitSignal.wake();
}

void job_owner::takeCancel(const std::string &id)
{
    if (!m_cancelled.insert(id).second || !m_loaded)
        return;
    const bool cancelled = jobs::cancelJob(m_book, id);
    jobs::takeEndedTimings(m_accounts, m_book, id);
    observe::log(log_level::info, "job cancelled", {{"job", id}, {"wasOpen", cancelled}});
    for (const auto &[incarnation, load] : m_book.loads) {
        const auto worker = m_workers.find(incarnation);
        const auto first = load.runs.lower_bound(jobs::task_name{id, 0, 0, 0});
        for (auto run = first; run != load.runs.end() && run->first.job == id; ++run) {
            if (worker != m_workers.end())
                kernel::spawn(m_context.get_executor(),
                              stopRun(shared_from_this(), worker->second, run->first, run->second));
        }
    }
}

void job_owner::start()
{
    // Workers that the list no longer names may still run what an earlier owner started there.
    for (const auto &[incarnation, load] : m_book.loads) {
        if (m_workers.contains(incarnation))
            continue;
        auto ghost = std::make_shared<driven_worker>(m_context.get_executor());
        ghost->session = jobs::openSession({}, m_inheritedUntil);
        ghost->session.incarnation = incarnation;
        ghost->session.listed = false;
        m_workers[incarnation] = ghost;
    }
    takeHandedLeases();
    judgeInheritedFailures();
    for (const auto &[incarnation, worker] : m_workers)
        drive(worker);
    m_committing = true;
    kernel::spawn(m_context.get_executor(), commitLoop(shared_from_this()));
    kernel::spawn(m_context.get_executor(), tickLoop(shared_from_this()));
}

task<void> job_owner::stop()
{
    const bool worked = m_committing;
    resign("stopping");
    // Looks and orders under way are left alone: a successor needs not wait for their answers.
    while (m_committing)
        co_await kernel::sleepFor(milliseconds(5));
    if (worked)
        co_await handOver();
}

void job_owner::resign(const std::string &reason)
{
    if (m_over)
        return;
    m_over = true;
    if (m_jobs)
        m_jobs->stop();
    for (const auto &[incarnation, worker] : m_workers)
        worker->signal.wake();
    m_commitSignal.wake();
    observe::log(log_level::info, "no longer the owner", {{"term", m_term.term}, {"reason", reason}});
}

task<void> job_owner::commitLoop(self_ptr)
{
    while (!m_over) {
        const time_point begun = m_services.clock();
        const batch next = prepareBatch(begun);
        const milliseconds interval = commitIntervalAfter(m_services.rules, m_services.clock() - begun);
        bool committed = true;
        if (!next.records.empty())
            committed = co_await appendBatch(next);
        if (!committed)
            break;
        finishBatch(next);
        const milliseconds spent = m_services.clock() - begun;
        if (spent < interval)
            co_await kernel::sleepFor(interval - spent);
        co_await m_commitSignal.wait(milliseconds(500));
    }
    m_committing = false;
}

jobs::fleet_config_ptr job_owner::configForJobs()
{
    const jobs::fleet_config_ptr present = m_services.config();
    if (m_configTaken != present) {
        jobs::updateKnownQueues(m_queues, *present);
        m_configForJobs = jobs::withRemovedQueues(present, m_queues);
        m_configTaken = present;
    }
    return m_configForJobs;
}

job_owner::batch job_owner::prepareBatch(time_point now)
{
    batch next;
    takeObserved(next, now);
    for (const auto &[incarnation, worker] : m_workers)
        next.ends[incarnation] = worker->session.endsRead;
    const jobs::fleet_config_ptr config = configForJobs();
    jobs::openDueOccurrences(m_book, m_services.unixClock());
    if (mayStart(now) && !m_book.jobsWithWaitingTasks.empty()) {
        for (journal_record &record :
             jobs::planStarts(m_book, *config, m_interference, candidates(now),
                              m_services.rules.startsPerCommit, m_services.unixClock())) {
            if (!jobs::apply(m_book, record))
                continue;
            // From here on until its order is settled a worker that does not show the run has not lost it.
            m_workers.at(record.worker)->session.pendingStarts[record.task] = record.run;
            next.records.push_back(std::move(record));
        }
    }
    for (const journal_record &record : next.records)
        m_undurable.insert(record.task.job);
    accountFor(next.records, now);
    return next;
}

void job_owner::accountFor(const std::vector<journal_record> &records, time_point now)
{
    std::set<std::string> touched;
    for (const journal_record &record : records) {
        jobs::recordTiming(m_accounts, m_book, record, now);
        touched.insert(record.task.job);
    }
    for (const std::string &id : touched) {
        const auto owner = m_book.jobs.find(id);
        if (owner == m_book.jobs.end() || !jobs::isFinal(owner->second.status))
            continue;
        const jobs::job &spec = owner->second.spec;
        for (const auto &[occurrence, times] : jobs::takeEndedTimings(m_accounts, m_book, id))
            observe::log(log_level::info, "job ended",
                         {{"job", id},
                          {"occurrence", occurrence},
                          {"queue", spec.queue},
                          {"status", jobs::statusName(owner->second.status)},
                          {"tookMs", kernel::toMillis(m_services.unixClock()) - spec.acceptedAtMs},
                          {"steps", jobs::describeTiming(times, spec)}});
    }
}

bool job_owner::mayStart(time_point now) const
{
    return now - m_services.configConfirmedAt() < m_services.rules.configValidity
        && now - m_services.workersConfirmedAt() < m_services.rules.workersValidity;
}

std::vector<jobs::candidate> job_owner::candidates(time_point now) const
{
    const jobs::fleet_config_ptr config = m_services.config();
    const bool useAll = tooManyQuarantined(now);
    std::vector<jobs::candidate> usable;
    for (const auto &[incarnation, worker] : m_workers) {
        const jobs::worker_session &session = worker->session;
        if (!useAll && placement::isQuarantined(worker->conduct.health, now))
            continue;
        const bool open = !config->withdrawnDomains.contains(session.info.failureDomain);
        if (!open || isRefusing(*worker, now)
            || !jobs::acceptsNewTasks(session, m_services.rules.sessions, now))
            continue;
        const auto load = m_book.loads.find(incarnation);
        usable.push_back(
            jobs::makeCandidate(session.info, load == m_book.loads.end() ? nullptr : &load->second));
        if (load == m_book.loads.end())
            continue;
        usable.back().spareMillicores += pacedMillicores(*worker, load->second);
        usable.back().serving = jobs::servingViews(m_interference.model, m_interference.rules, load->second,
                                                   session.info.capacity, worker->pace, now);
        usable.back().bestEffortBlocked = jobs::isBestEffortBlocked(worker->pace, m_interference.rules, now);
    }
    return usable;
}

bool job_owner::tooManyQuarantined(time_point now) const
{
    const auto quarantined = std::count_if(m_workers.begin(), m_workers.end(), [now](const auto &entry) {
        return placement::isQuarantined(entry.second->conduct.health, now);
    });
    return static_cast<double>(quarantined)
        > m_services.rules.conduct.largestQuarantinedShare * static_cast<double>(m_workers.size());
}

//! Processor time that tasks that fill leave unused because they were slowed.
std::int64_t job_owner::pacedMillicores(const driven_worker &worker, const jobs::worker_load &load) const
{
    std::int64_t unused = 0;
    for (const auto &[run, percent] : worker.pace.percentByRun) {
        const jobs::step_spec *spec = jobs::findStep(m_book, run.first);
        const auto assigned = load.runs.find(run.first);
        if (spec && assigned != load.runs.end() && assigned->second == run.second)
            unused += spec->demand.millicores * (100 - percent) / 100;
    }
    return unused;
}

task<bool> job_owner::appendBatch(const batch &next)
{
    store::journal_entry entry;
    entry.index = m_index + 1;
    entry.writer = m_services.processId;
    entry.submission
        = m_services.processId + "/" + std::to_string(m_term.term) + "/" + std::to_string(++m_submission);
    entry.body = json::array();
    for (const journal_record &record : next.records)
        entry.body.push_back(jobs::encodeRecord(record));
    store::journal_fence fence;
    fence.ownerKey = election_key::owner;
    fence.ownerRevision = m_term.ownerRevision;
    while (true) {
        store::append_limits limits;
        if (m_over)
            limits.attempts = 1;
        const store::append_result result
            = co_await store::appendFenced(m_services.store, job_key::journal, entry, fence, limits);
        if (result.status == append_status::committed) {
            m_index = entry.index;
            ++m_counters.commits;
            m_counters.records += next.records.size();
            co_return true;
        }
        if (result.status == append_status::taken || m_over) {
            resign("the journal has another writer");
            co_return false;
        }
    }
}

void job_owner::finishBatch(const batch &next)
{
    m_undurable.clear();
    for (const auto &[incarnation, number] : next.ends) {
        const auto worker = m_workers.find(incarnation);
        if (worker == m_workers.end() || worker->second->session.endsDurable >= number)
            continue;
        worker->second->session.endsDurable = number;
        worker->second->signal.wake();
    }
    for (const journal_record &record : next.records) {
        if (record.kind != jobs::record_kind::started)
            continue;
        const driven_ptr worker = m_workers.at(record.worker);
        kernel::spawn(m_context.get_executor(), startTask(shared_from_this(), worker, record));
    }
}

task<void> job_owner::tickLoop(self_ptr)
{
    while (!m_over) {
        const time_point now = m_services.clock();
        for (auto place = m_workers.begin(); place != m_workers.end();) {
            const driven_ptr &worker = place->second;
            std::vector<journal_record> lapsed
                = jobs::expiredRuns(worker->session, m_services.rules.sessions, m_book, now);
            noteLapse(*worker, lapsed, now);
            observe(std::move(lapsed));
            const bool gone = (worker->session.dead || !worker->session.listed)
                && !m_book.loads.contains(place->first) && worker->session.pendingStarts.empty();
            if (gone)
                worker->signal.wake();
            place = gone ? m_workers.erase(place) : std::next(place);
        }
        watchWaiting(now);
        if (!m_book.jobsWithWaitingTasks.empty() || !m_book.timers.empty())
            m_commitSignal.wake();
        if (now - m_modelRefreshedAt > m_services.rules.modelInterval) {
            jobs::refreshModel(m_interference.model, m_interference.rules.learning,
                               now - m_services.rules.loadValidity);
            savePairsIfDue(now);
            jobs::pruneStepDurations(m_kin, m_book);
            m_modelRefreshedAt = now;
        }
        co_await kernel::sleepFor(m_services.rules.tickInterval);
    }
}

void job_owner::observe(std::vector<journal_record> records)
{
    if (records.empty())
        return;
    for (journal_record &record : records)
        m_observed.push_back(std::move(record));
    m_commitSignal.wake();
}

std::optional<jobs::job_status> job_owner::statusOf(const std::string &id) const
{
    const auto found = m_book.jobs.find(id);
    if (found == m_book.jobs.end())
        return std::nullopt;
    const jobs::job_status status = found->second.status;
    const bool ending = status == jobs::job_status::completed || status == jobs::job_status::failed;
    return ending && m_undurable.contains(id) ? jobs::job_status::running : status;
}

std::size_t job_owner::pendingIn(const std::string &queue) const
{
    std::size_t count = 0;
    for (const std::string &id : m_book.jobsWithWaitingTasks) {
        const jobs::job_state &owner = m_book.jobs.find(id)->second;
        count += owner.status == jobs::job_status::queued && owner.spec.queue == queue ? 1 : 0;
    }
    return count;
}

json job_owner::describeRoom() const
{
    const time_point now = m_services.clock();
    std::int64_t capacity = 0;
    std::int64_t free = 0;
    std::size_t usable = 0;
    for (const jobs::candidate &worker : candidates(now)) {
        ++usable;
        capacity += worker.info.capacity.millicores;
        free += worker.available.millicores;
    }
    std::uint32_t lasting = 0;
    std::uint32_t fills = 0;
    std::uint32_t firm = 0;
    for (const std::string &id : m_book.jobsWithWaitingTasks) {
        const jobs::job_state &owner = m_book.jobs.find(id)->second;
        for (const auto &[number, occurrence] : owner.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const jobs::step_spec &spec = owner.spec.steps[step];
                const std::uint32_t waiting
                    = jobs::isReady(owner, occurrence, step) ? occurrence.steps[step].waiting : 0;
                (spec.longRunning ? lasting : spec.bestEffort ? fills : firm) += waiting;
            }
        }
    }
    return {{"usableWorkers", usable},   {"capacityMillicores", capacity}, {"freeMillicores", free},
            {"waitingLasting", lasting}, {"waitingToFill", fills},         {"waitingFirm", firm}};
}

json job_owner::dump() const
{
    return {{"room", describeRoom()},       {"waiting", describeWaiting()},
            {"term", m_term.term},          {"journalIndex", m_index},
            {"jobs", m_book.jobs.size()},   {"jobsWithWaitingTasks", m_book.jobsWithWaitingTasks.size()},
            {"workers", m_workers.size()},  {"busyWorkers", m_book.loads.size()},
            {"starts", m_counters.starts},  {"looks", m_counters.looks},
            {"commits", m_counters.commits}};
}

} // namespace almond::fleet
