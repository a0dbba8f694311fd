// The part of job_owner that reads the journal and the accepted jobs.

#include "fleet/job_owner.h"

#include "codec/bounded_json.h"
#include "jobs/job_check.h"
#include "jobs/job_codec.h"
#include "observe/log.h"

namespace almond::fleet {

using kernel::task;
using observe::log_level;

namespace {

//! Decodes an accepted job that any writer may have stored. Throws std::exception if it is not one that this
//! system could have accepted.
jobs::job decodeAcceptedJob(const store::stored_item &item)
{
    const std::optional<json> document = codec::parseText(item.value);
    if (!document)
        throw std::invalid_argument("not a JSON document");
    jobs::job accepted = jobs::decodeJob(*document);
    const settings::findings found = jobs::checkJob(accepted, jobs::job_limits{});
    if (!found.empty())
        throw std::invalid_argument(found.front().place + " " + found.front().message);
    if (item.key != job_key::accepted + accepted.id.str())
        throw std::invalid_argument("the key is not that of the job " + accepted.id.str());
    return accepted;
}

} // namespace

void job_owner::watchJobKeys()
{
    const auto self = shared_from_this();
    store::watcher_events events;
    events.written = [self](const store::stored_item &item) { self->applyJobKey(item); };
    events.removed = [](const std::string &) {};
    events.listed = [self] { self->m_commitSignal.wake(); };
    store::watcher_settings rules;
    rules.watchTimeout = m_dependencies.rules.jobsWatchTime;
    rules.batchDelay = m_dependencies.rules.commitInterval / 2;
    m_jobKeys = std::make_shared<store::prefix_watcher>(m_dependencies.store, m_dependencies.clock,
                                                        job_key::prefix, rules, std::move(events));
    kernel::spawn(m_context.get_executor(), [](std::shared_ptr<store::prefix_watcher> watcher) -> task<void> {
        co_await watcher->run();
    }(m_jobKeys));
}

//! Lists the jobs, then applies the journal to them as it is read: a job that has ended by its records
//! releases its tasks before the next page comes.
task<bool> job_owner::load()
{
    if (!m_jobKeys)
        watchJobKeys();
    // Not beside the journal: over a slow link, pages that are read in parallel exceed the client's timeout.
    while (!m_jobKeys->isListed() && !m_resigned)
        co_await m_commitSignal.wait(m_dependencies.rules.tickInterval);
    if (m_resigned)
        co_return false;
    const milliseconds jobsListed = m_dependencies.clock() - m_termStart;
    const bool journalComplete = co_await readJournal();
    if (!journalComplete)
        co_return false;
    co_await loadPairs();
    m_loaded = true;
    if (m_dependencies.metrics)
        recordLoadTime(*m_dependencies.metrics, m_dependencies.clock() - m_termStart);
    for (const jobs::job_id &id : m_cancelled) {
        if (!m_jobTable.jobs.contains(id))
            jobs::keepUnknown(m_ended, id, m_dependencies.clock());
        jobs::cancelJob(m_jobTable, id);
    }
    observe::log(log_level::info, "jobs loaded",
                 {{"term", m_term.term},
                  {"jobsListedMs", jobsListed.count()},
                  {"entries", m_journalSize.entriesRead},
                  {"jobs", m_jobTable.jobs.size()},
                  {"records", m_journalSize.records},
                  {"skippedRecords", m_journalSize.obsolete},
                  {"tookMs", (m_dependencies.clock() - m_termStart).count()}});
    co_return !m_resigned;
}

//! Reads and applies the part of the journal that was not read before: pages read before a store outage are
//! kept.
task<bool> job_owner::readJournal()
{
    const store::store_status status
        = co_await store::visitJournal(m_dependencies.store, job_key::journal, m_journalIndex,
                                       [this](const store::journal_entry &entry) { applyEntry(entry); });
    co_return status == store::store_status::ok;
}

//! Applies the records of \a entry to the job table.
void job_owner::applyEntry(const store::journal_entry &entry)
{
    // Only an entry of this system counts: the next one is written behind it.
    if (!entry.writer.empty())
        m_journalIndex = entry.index;
    ++m_journalSize.entriesRead;
    m_journalSize.records += entry.body.size();
    for (const json &record : entry.body) {
        try {
            m_journalSize.obsolete += jobs::apply(m_jobTable, jobs::decodeRecord(record)) ? 0 : 1;
        } catch (const std::exception &error) {
            observe::logLimited(log_level::error, "malformed record in the journal ignored",
                                {{"index", entry.index}, {"error", error.what()}}, m_dependencies.clock());
        }
    }
    jobs::updateEndedJobs(m_ended, m_jobTable, {}, m_dependencies.clock());
}

void job_owner::applyJobKey(const store::stored_item &item)
{
    if (!item.key.starts_with(job_key::cancelled)) {
        applyAcceptedJob(item);
        return;
    }
    // A key that is too long names no job.
    const auto id = jobs::job_id::from(item.key.substr(std::string_view(job_key::cancelled).size()));
    if (id && !isRemoved(*id, item.revision))
        applyCancellation(*id);
}

void job_owner::applyAcceptedJob(const store::stored_item &item)
{
    const bool isAccepted = item.key.starts_with(job_key::accepted);
    const auto id = isAccepted
        ? jobs::job_id::from(item.key.substr(std::string_view(job_key::accepted).size()))
        : std::nullopt;
    if (jobs::isTombstone(item.value) || (id && isRemoved(*id, item.revision)))
        return;
    try {
        jobs::job accepted = decodeAcceptedJob(item);
        // Recorded once for all jobs of the queue.
        const auto rules = std::exchange(accepted.queueAtAcceptance, nullptr);
        if (rules && jobs::recordAccepted(m_queues, *rules))
            m_configSource = nullptr;
        jobs::addJob(m_jobTable, accepted);
        // A listing may contain the cancellation of a job that was accepted behind a page already read.
        if (m_loaded && m_cancelled.contains(accepted.id))
            jobs::cancelJob(m_jobTable, accepted.id);
    } catch (const std::exception &error) {
        if (id)
            m_undecoded.insert(*id);
        observe::logLimited(log_level::error, "failed to decode an accepted job",
                            {{"key", item.key}, {"error", error.what()}}, m_dependencies.clock());
        return;
    }
    if (m_loaded)
        m_commitSignal.wake();
}

void job_owner::applyCancellation(const jobs::job_id &id)
{
    if (!m_cancelled.insert(id).second || !m_loaded)
        return;
    if (!m_jobTable.jobs.contains(id))
        jobs::keepUnknown(m_ended, id, m_dependencies.clock());
    const bool cancelled = jobs::cancelJob(m_jobTable, id);
    jobs::takeEndedTimings(m_timings, m_jobTable, id);
    observe::log(log_level::info, "job cancelled", {{"job", id}, {"wasOpen", cancelled}});
    for (const auto &[incarnation, load] : m_jobTable.loads) {
        const managed_worker_ptr worker = m_workers.findIncarnation(incarnation);
        const auto first = load.runs.lower_bound(jobs::task_name{id, 0, 0, 0});
        for (auto run = first; run != load.runs.end() && run->first.job == id; ++run) {
            if (worker)
                kernel::spawn(m_context.get_executor(),
                              stopRun(shared_from_this(), worker, run->first, run->second));
        }
    }
}

} // namespace almond::fleet
