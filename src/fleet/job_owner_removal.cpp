// The part of job_owner that removes ended jobs from the store and compacts the journal.

#include "fleet/job_owner.h"

#include "jobs/live_records.h"
#include "observe/log.h"
#include "store/journal_compaction.h"

#include <algorithm>

namespace almond::fleet {

using kernel::task;
using observe::log_level;
using store::store_status;

milliseconds endedRetention(milliseconds statusRetention)
{
    // The time that a submission may be under way, and what an owner may learn later of an end than a caller.
    constexpr milliseconds shortest{60'000};
    constexpr milliseconds margin{30'000};
    return std::max(statusRetention, shortest) + margin;
}

//! Whether the state of the job \a id as of \a revision is from before its keys were removed.
bool job_owner::isRemoved(const jobs::job_id &id, std::int64_t revision) const
{
    const auto removed = m_removed.find(id);
    return removed != m_removed.end() && revision <= removed->second.revision;
}

bool job_owner::isCompactionDue() const
{
    return m_journalSize.obsolete >= m_dependencies.rules.smallestCompaction
        && m_journalSize.obsolete * 2 >= m_journalSize.records;
}

void job_owner::removeEndedIfDue(time_point now)
{
    const owner_rules &rules = m_dependencies.rules;
    jobs::updateEndedJobs(m_ended, m_jobTable, m_uncommittedJobs, now);
    if (m_isRemoving || m_resigned || now < m_removalRetryAt)
        return;
    std::erase_if(m_removed, [&](const auto &entry) { return now - entry.second.at >= rules.listingTime; });
    if (jobs::expiredJobs(m_ended, rules.endedRetention, now, 1).empty() && !isCompactionDue())
        return;
    m_isRemoving = true;
    kernel::spawn(m_context.get_executor(), removeEnded(shared_from_this()));
}

task<void> job_owner::removeEnded(self_ptr)
{
    const owner_rules &rules = m_dependencies.rules;
    bool succeeded = true;
    try {
        while (succeeded && !m_resigned
               && !jobs::expiredJobs(m_ended, rules.endedRetention, m_dependencies.clock(), 1).empty()) {
            succeeded = co_await removeOldestJobs();
            co_await kernel::sleepFor(rules.removalPause);
        }
        if (succeeded && !m_resigned && isCompactionDue())
            succeeded = co_await compactJournal();
    } catch (const std::exception &error) {
        succeeded = false;
        observe::logLimited(log_level::error, "unexpected error in removing ended jobs",
                            {{"error", error.what()}}, m_dependencies.clock());
    }
    if (!succeeded)
        m_removalRetryAt = m_dependencies.clock() + rules.removalRetryDelay;
    m_isRemoving = false;
}

//! Removes the keys of the jobs that have ended longest ago, then the jobs. A cancellation of an id that no
//! job has is removed alike.
task<bool> job_owner::removeOldestJobs()
{
    const owner_rules &rules = m_dependencies.rules;
    const std::vector<jobs::job_id> expired
        = jobs::expiredJobs(m_ended, rules.endedRetention, m_dependencies.clock(), rules.removalsPerWrite);
    std::vector<jobs::job_id> ended;
    std::vector<jobs::job_id> cancelled;
    for (const jobs::job_id &id : expired) {
        const auto job = m_jobTable.jobs.find(id);
        const bool isKnown = job != m_jobTable.jobs.end();
        // It may have been accepted since the cancellation of an unknown id was seen.
        if (isKnown && (!jobs::isFinal(job->second.status) || job->second.assigned > 0))
            continue;
        if (isKnown)
            ended.push_back(id);
        if (m_cancelled.contains(id))
            cancelled.push_back(id);
    }
    store::store_reply reply;
    reply.status = store_status::ok;
    if (!ended.empty() || !cancelled.empty())
        reply = co_await m_dependencies.store.commit(removalOf(ended, cancelled));
    if (reply.status != store_status::ok) {
        observe::logLimited(log_level::info, "failed to remove ended jobs",
                            {{"storeStatus", static_cast<int>(reply.status)}}, m_dependencies.clock());
        co_return false;
    }
    for (const jobs::job_id &id : ended) {
        m_removed[id] = {m_dependencies.clock(), reply.revision};
        m_journalSize.obsolete += jobs::removeJob(m_jobTable, id);
    }
    for (const jobs::job_id &id : cancelled) {
        m_removed[id] = {m_dependencies.clock(), reply.revision};
        m_cancelled.erase(id);
    }
    jobs::forgetOldest(m_ended, expired.size());
    m_counters.jobsRemoved += ended.size();
    co_return true;
}

store::transaction job_owner::removalOf(std::span<const jobs::job_id> ended,
                                        std::span<const jobs::job_id> cancelled) const
{
    store::transaction change;
    change.preconditions.push_back({election_key::owner, m_term.ownerRevision});
    for (const jobs::job_id &id : ended)
        change.removals.push_back(job_key::accepted + id.str());
    for (const jobs::job_id &id : cancelled)
        change.removals.push_back(job_key::cancelled + id.str());
    return change;
}

//! Removes the records of removed jobs from the journal. Its newest entry stays: the index of the next one
//! follows from it.
task<bool> job_owner::compactJournal()
{
    store::journal_fence fence;
    fence.ownerKey = election_key::owner;
    fence.ownerRevision = m_term.ownerRevision;
    const auto isKept
        = [this](const jobs::job_id &id) { return m_jobTable.jobs.contains(id) || m_undecoded.contains(id); };
    const store::record_filter filter
        = [this, isKept](const json &body) { return jobs::liveRecords(body, isKept, m_term.term); };
    const store::compaction_result result
        = co_await store::compactJournal(m_dependencies.store, job_key::journal, m_journalIndex - 1, fence,
                                         filter, [this] { return !m_resigned; });
    m_journalSize.records -= std::min(m_journalSize.records, result.recordsRemoved);
    // A pass through the whole journal leaves no obsolete records.
    m_journalSize.obsolete = result.status == store_status::ok
        ? 0
        : m_journalSize.obsolete - std::min(m_journalSize.obsolete, result.recordsRemoved);
    m_counters.journalRecordsRemoved += result.recordsRemoved;
    observe::log(log_level::info, "journal compacted",
                 {{"term", m_term.term},
                  {"entriesRead", result.entriesRead},
                  {"entriesRemoved", result.entriesRemoved},
                  {"recordsRemoved", result.recordsRemoved},
                  {"records", m_journalSize.records},
                  {"storeStatus", static_cast<int>(result.status)}});
    co_return result.status == store_status::ok;
}

} // namespace almond::fleet
