// The part of job_owner that carries state from one term to the next.

#include "fleet/job_owner.h"

#include "jobs/interference_codec.h"
#include "observe/log.h"

#include <algorithm>

namespace almond::fleet {

using jobs::journal_record;
using kernel::task;
using observe::log_level;

task<void> job_owner::loadPairs()
{
    const store::store_reply reply = co_await m_dependencies.store.get(job_key::pairs);
    std::size_t taken = 0;
    if (reply.status == store::store_status::ok)
        taken = jobs::inheritPairs(m_interference.model, json::parse(reply.value, nullptr, false));
    observe::log(log_level::info, "learned interference between images loaded",
                 {{"pairs", taken}, {"storeStatus", static_cast<int>(reply.status)}});
}

void job_owner::savePairsIfDue(time_point now)
{
    if (now - m_pairsSavedAt < m_dependencies.rules.pairsSaveInterval)
        return;
    m_pairsSavedAt = now;
    std::string pairs = jobs::encodePairs(m_interference.model).dump();
    if (pairs != m_savedPairs)
        kernel::spawn(m_context.get_executor(), savePairs(shared_from_this(), std::move(pairs)));
}

//! A failed write needs no retry: the next one contains all pairs.
task<void> job_owner::savePairs(self_ptr, std::string pairs)
{
    store::transaction change;
    change.preconditions.push_back({election_key::owner, m_term.ownerRevision});
    change.puts.push_back({job_key::pairs, pairs, ""});
    const store::store_reply reply = co_await m_dependencies.store.commit(change);
    if (reply.status == store::store_status::ok)
        m_savedPairs = std::move(pairs);
    else
        observe::log(log_level::info, "failed to save the learned interference between images",
                     {{"storeStatus", static_cast<int>(reply.status)}});
}

//! Applies the queued records to the job table, and fails the jobs of which a task has used up its attempts.
void job_owner::applyQueuedRecords(batch &next, time_point now)
{
    std::vector<jobs::task_name> changedTasks = std::exchange(m_failedTasks, {});
    for (journal_record &record : std::exchange(m_queuedRecords, {})) {
        if (!jobs::apply(m_jobTable, record))
            continue;
        if (record.kind == jobs::record_kind::moved) {
            next.records.push_back(std::move(record));
            continue;
        }
        recordEnd(record, now);
        changedTasks.push_back(record.task);
        next.records.push_back(std::move(record));
    }
    for (const jobs::job_id &id : jobs::jobsOutOfAttempts(m_jobTable, *effectiveConfig(), changedTasks)) {
        journal_record record;
        record.kind = jobs::record_kind::jobFailed;
        record.task.job = id;
        jobs::apply(m_jobTable, record);
        next.records.push_back(record);
        observe::log(log_level::info, "job failed: a task has used up its attempts", {{"job", id}});
    }
}

//! An earlier owner may have ended after the failure of a task was committed but before it compared the
//! number of failures with the permitted attempts.
void job_owner::collectInheritedFailures()
{
    for (const jobs::job_id &id : m_jobTable.jobsWithWaitingTasks) {
        for (const auto &[number, occurrence] : m_jobTable.jobs.find(id)->second.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const std::vector<jobs::task_state> &tasks = occurrence.steps[step].tasks;
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    if (tasks[index].failures > 0)
                        m_failedTasks.push_back({id, number, step, index});
                }
            }
        }
    }
}

//! Commits the queued run ends, and the time until the leases of unresponsive workers expire. Without these
//! times each successor would have to wait for the full lease again.
task<void> job_owner::handOver()
{
    const time_point now = m_dependencies.clock();
    batch last;
    applyQueuedRecords(last, now);
    std::size_t leases = 0;
    for (const auto &[incarnation, worker] : m_workers.workers()) {
        const jobs::worker_session &session = worker->session;
        const bool unanswered = session.unansweredSince != time_point{} || session.info.address.empty();
        if (!unanswered || !m_jobTable.loads.contains(incarnation))
            continue;
        journal_record record;
        record.kind = jobs::record_kind::leaseHandedOver;
        record.worker = incarnation;
        record.term = m_term.term;
        record.leaseLeft = std::max(milliseconds(0), milliseconds(jobs::leaseEnd(session) - now));
        last.records.push_back(std::move(record));
        ++leases;
    }
    bool written = true;
    if (!last.records.empty())
        written = co_await appendBatch(last);
    observe::log(log_level::info, "ownership handed over",
                 {{"term", m_term.term},
                  {"ends", last.records.size() - leases},
                  {"leasesOfSilentWorkers", leases},
                  {"written", written}});
}

//! Applies what the previous owner has recorded about the leases of unresponsive workers.
void job_owner::applyHandedOverLeases()
{
    for (const auto &[incarnation, lease] : m_jobTable.handedLeases) {
        const managed_worker_ptr worker = m_workers.findIncarnation(incarnation);
        // If there was an owner in between, it may have granted longer leases.
        if (lease.term + 1 != m_term.term || !worker)
            continue;
        time_point &until = worker->session.inheritedLeaseUntil;
        until = std::min(until, m_termStart + lease.left);
    }
}

void job_owner::noteFormerOwnersStopped()
{
    const time_point until
        = jobs::inheritedLeaseEndAfter(m_dependencies.rules.sessions, m_dependencies.clock());
    m_inheritedLeaseEnd = std::min(m_inheritedLeaseEnd, until);
    for (const auto &[incarnation, worker] : m_workers.workers())
        worker->session.inheritedLeaseUntil = std::min(worker->session.inheritedLeaseUntil, until);
    observe::log(log_level::info, "all former owners have stopped renewing task leases",
                 {{"term", m_term.term},
                  {"officeMs", (m_dependencies.clock() - m_termStart).count()},
                  {"leasesOverInMs", (m_inheritedLeaseEnd - m_dependencies.clock()).count()}});
}

} // namespace almond::fleet
