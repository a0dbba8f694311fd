// The part of job_owner that follows the incarnations of workers.

#include "fleet/job_owner.h"

#include "jobs/job_codec.h"
#include "observe/log.h"

#include <prometheus/counter.h>

namespace almond::fleet {

using observe::log_level;

managed_worker_ptr job_owner::addWorker(jobs::worker_session session)
{
    worker_trace &trace = m_traces[session.info.id];
    if (++trace.sessionsOpened > 1 && m_dependencies.metrics)
        m_dependencies.metrics->sessionsReopened->Increment();
    const managed_worker_ptr worker
        = m_workers.add(m_context.get_executor(), std::move(session), m_dependencies.clock());
    const bool isKnown = m_term.unattendedSince != time_point{};
    worker->throttle.unattendedSince = isKnown ? m_term.unattendedSince : m_termStart;
    return worker;
}

bool job_owner::isUnused(const managed_worker &worker) const
{
    return (worker.session.dead || !worker.session.listed)
        && !m_jobTable.loads.contains(worker.session.incarnation) && worker.session.pendingStarts.empty();
}

void job_owner::updateWorker(const std::string &id, const std::optional<jobs::worker_info> &info)
{
    managed_worker_ptr worker = m_workers.findId(id);
    if (!worker && !info)
        return;
    const bool sessionKept = worker != nullptr;
    if (!worker)
        worker = addWorker(jobs::openSession(*info, m_inheritedLeaseEnd));
    worker->listing = info;
    traceListing(id, info.has_value(), sessionKept);
    const bool namesOther = info && jobs::incarnationOf(*info) != worker->session.incarnation;
    worker->isListingLate
        = namesOther && info->bornMs < worker->session.info.bornMs && keepsIncarnation(*worker);
    if (namesOther && !worker->isListingLate)
        replaceIncarnation(worker, info->bornMs);
    else
        applyListing(*worker);
    if (!info) {
        observe::log(log_level::info, "worker left the list", {{"worker", worker->session.incarnation}});
        worker->signal.wake();
        return;
    }
    if (m_loaded)
        startWorkerLoop(worker);
    m_commitSignal.wake();
}

//! Whether \a worker goes on with its incarnation although the list names an earlier one: an entry that comes
//! late must not end what is known of its runs.
bool job_owner::keepsIncarnation(const managed_worker &worker) const
{
    const jobs::worker_session &session = worker.session;
    const bool hasRuns = m_jobTable.loads.contains(session.incarnation) || !session.pendingStarts.empty();
    return hasRuns && session.fenced && !session.dead
        && !jobs::isUnresponsive(session, m_dependencies.rules.sessions, m_dependencies.clock());
}

//! Continues workers that have ended, or may have, with the earlier incarnation that the list names: a worker
//! whose clock was set back restarts with one.
void job_owner::followLateListings()
{
    std::vector<managed_worker_ptr> ended;
    for (const auto &[incarnation, worker] : m_workers.workers()) {
        if (worker->isListingLate && !keepsIncarnation(*worker))
            ended.push_back(worker);
    }
    for (const managed_worker_ptr &worker : ended) {
        replaceIncarnation(worker, worker->listing->bornMs);
        startWorkerLoop(worker);
    }
}

//! Updates the session from the list of workers, unless the list names another incarnation.
void job_owner::applyListing(managed_worker &worker)
{
    jobs::worker_session &session = worker.session;
    session.listed = worker.listing && jobs::incarnationOf(*worker.listing) == session.incarnation;
    if (session.listed)
        session.info = *worker.listing;
}

//! Continues \a worker with the incarnation that was born at \a bornMs, and with what the list says of that
//! one. Its runs pass on: the new incarnation may have accepted start orders that were meant for the earlier
//! one.
void job_owner::replaceIncarnation(const managed_worker_ptr &worker, std::int64_t bornMs)
{
    const std::string earlier = worker->session.incarnation;
    m_workers.restart(worker, bornMs);
    // Orders to the new incarnation at the address of the earlier one may reach another worker.
    applyListing(*worker);
    const std::string present = worker->session.incarnation;
    worker->throttle = {};
    worker->evaluation = {};
    worker->refusedAt = time_point{};
    worker->isListingLate = false;
    observe::log(
        log_level::info, "worker has restarted",
        {{"worker", present}, {"earlier", earlier}, {"pendingStarts", worker->session.pendingStarts.size()}});
    moveRuns(earlier, present);
    stopUnansweredStarts(worker);
    worker->signal.wake();
}

//! Stops the runs of \a worker that have a start order without a response. The earlier incarnation may have
//! confirmed a stop or accepted a repeated order, but an order that is still under way reaches the present
//! one, whose list would not show that run before.
void job_owner::stopUnansweredStarts(const managed_worker_ptr &worker)
{
    const std::map<jobs::task_name, std::uint32_t> unanswered = worker->session.unansweredStarts;
    for (const auto &[task, run] : unanswered) {
        const bool assigned = jobs::assignedRun(m_jobTable, worker->session.incarnation, task) == run;
        // A start in progress stops its run itself.
        if (!assigned || worker->session.pendingStarts.contains(task))
            continue;
        jobs::recordPendingStart(worker->session, task, run);
        kernel::spawn(m_context.get_executor(), stopUnansweredStart(shared_from_this(), worker, task, run));
    }
}

kernel::task<void> job_owner::stopUnansweredStart(self_ptr self, managed_worker_ptr worker,
                                                  jobs::task_name task, std::uint32_t run)
{
    co_await stopRun(self, worker, task, run);
    jobs::recordStartStopped(worker->session, task, run, m_dependencies.clock());
    jobs::recordStartSettled(worker->session, task, run);
}

//! Assigns the runs of the incarnation \a from to the incarnation \a to at once, so that the next list of
//! runs of the worker is compared with them, and writes this to the journal with the next commit.
void job_owner::moveRuns(const std::string &from, const std::string &to)
{
    std::vector<jobs::journal_record> records = jobs::recordMoves(m_jobTable, from, to);
    for (const jobs::journal_record &record : records)
        jobs::apply(m_jobTable, record);
    queueRecords(std::move(records));
}

//! Workers that are no longer listed, or are listed with a new incarnation, may still run tasks that an
//! earlier owner started.
void job_owner::adoptUnlistedRuns()
{
    std::vector<std::string> unlisted;
    for (const auto &[incarnation, load] : m_jobTable.loads) {
        if (!m_workers.findIncarnation(incarnation))
            unlisted.push_back(incarnation);
    }
    for (const std::string &incarnation : unlisted) {
        const std::string id = jobs::workerIdOf(incarnation);
        if (const managed_worker_ptr known = m_workers.findId(id)) {
            moveRuns(incarnation, known->session.incarnation);
            continue;
        }
        jobs::worker_session session = jobs::openSession({}, m_inheritedLeaseEnd);
        session.info.id = id;
        session.incarnation = incarnation;
        session.listed = false;
        addWorker(std::move(session));
    }
}

void job_owner::countOrderForEarlier() const
{
    if (m_dependencies.metrics)
        m_dependencies.metrics->ordersForEarlier->Increment();
}

void job_owner::stopUnwantedRuns(const managed_worker_ptr &worker, std::span<const jobs::listed_run> runs)
{
    for (const jobs::unwanted_run &run : jobs::unwantedRuns(runs)) {
        if (!m_stopping.contains({jobs::formatTask(run.task), run.run}))
            kernel::spawn(m_context.get_executor(), stopRun(shared_from_this(), worker, run.task, run.run));
    }
}

} // namespace almond::fleet
