// The part of job_owner that passes from one term to the next.

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
    const store::store_reply reply = co_await m_services.store.get(job_key::pairs);
    std::size_t taken = 0;
    if (reply.status == store::store_status::ok)
        taken = jobs::inheritPairs(m_interference.model, json::parse(reply.value, nullptr, false));
    observe::log(log_level::info, "learned pairs of images loaded",
                 {{"pairs", taken}, {"storeStatus", static_cast<int>(reply.status)}});
}

void job_owner::savePairsIfDue(time_point now)
{
    if (now - m_pairsSavedAt < m_services.rules.pairsInterval)
        return;
    m_pairsSavedAt = now;
    std::string pairs = jobs::encodePairs(m_interference.model).dump();
    if (pairs != m_savedPairs)
        kernel::spawn(m_context.get_executor(), savePairs(shared_from_this(), std::move(pairs)));
}

//! A write that fails is made up for by the next one.
task<void> job_owner::savePairs(self_ptr, std::string pairs)
{
    store::conditional_change change;
    change.expected.push_back({election_key::owner, m_term.ownerRevision});
    change.puts.push_back({job_key::pairs, pairs, ""});
    const store::store_reply reply = co_await m_services.store.commit(change);
    if (reply.status == store::store_status::ok)
        m_savedPairs = std::move(pairs);
    else
        observe::log(log_level::info, "learned pairs of images not saved",
                     {{"storeStatus", static_cast<int>(reply.status)}});
}

//! Applies the ends that were observed, and gives up the jobs of which a task has failed too often.
void job_owner::takeObserved(batch &next, time_point now)
{
    std::vector<jobs::task_name> touched = std::exchange(m_toJudge, {});
    for (journal_record &record : std::exchange(m_observed, {})) {
        if (!jobs::apply(m_book, record))
            continue;
        noteEnd(record, now);
        touched.push_back(record.task);
        next.records.push_back(std::move(record));
    }
    for (const std::string &id : jobs::jobsOutOfAttempts(m_book, *configForJobs(), touched)) {
        journal_record record;
        record.kind = jobs::record_kind::jobFailed;
        record.task.job = id;
        jobs::apply(m_book, record);
        next.records.push_back(record);
        observe::log(log_level::info, "job given up: a task failed too often", {{"job", id}});
    }
}

//! An owner before this one may have ended between the failure of a task and the judgement of its job.
void job_owner::judgeInheritedFailures()
{
    for (const std::string &id : m_book.jobsWithWaitingTasks) {
        for (const auto &[number, occurrence] : m_book.jobs.find(id)->second.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const std::vector<jobs::task_state> &tasks = occurrence.steps[step].tasks;
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    if (tasks[index].failures > 0)
                        m_toJudge.push_back({id, number, step, index});
                }
            }
        }
    }
}

//! What is known of ends is written, and when the leases of workers that leave orders unanswered are over: a
//! successor would have to wait as long again, after each change.
task<void> job_owner::handOver()
{
    const time_point now = m_services.clock();
    batch last;
    takeObserved(last, now);
    std::size_t leases = 0;
    for (const auto &[incarnation, worker] : m_workers) {
        const jobs::worker_session &session = worker->session;
        const bool unanswered = session.unansweredSince != time_point{} || session.info.address.empty();
        if (!unanswered || !m_book.loads.contains(incarnation))
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
    observe::log(log_level::info, "office handed over",
                 {{"term", m_term.term},
                  {"ends", last.records.size() - leases},
                  {"leasesOfSilentWorkers", leases},
                  {"written", written}});
}

//! Takes the last word of the owner before this one on the leases of silent workers.
void job_owner::takeHandedLeases()
{
    for (const auto &[incarnation, lease] : m_book.handedLeases) {
        const auto worker = m_workers.find(incarnation);
        // An owner in between may have granted more.
        if (lease.term + 1 != m_term.term || worker == m_workers.end())
            continue;
        time_point &until = worker->second->session.inheritedLeaseUntil;
        until = std::min(until, m_since + lease.left);
    }
}

void job_owner::noteFormerHoldersOver()
{
    const time_point until = jobs::inheritedLeaseEndAfter(m_services.rules.sessions, m_services.clock());
    m_inheritedUntil = std::min(m_inheritedUntil, until);
    for (const auto &[incarnation, worker] : m_workers)
        worker->session.inheritedLeaseUntil = std::min(worker->session.inheritedLeaseUntil, until);
    observe::log(log_level::info, "earlier owners renew no lease any more",
                 {{"term", m_term.term},
                  {"officeMs", (m_services.clock() - m_since).count()},
                  {"leasesOverInMs", (m_inheritedUntil - m_services.clock()).count()}});
}

} // namespace almond::fleet
