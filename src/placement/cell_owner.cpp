#include "placement/cell_owner.h"

#include "codec/bounded_json.h"
#include "observe/log.h"
#include "placement/cell_directory.h"
#include "placement/record_filter.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace almond::placement {

using kernel::task;
using observe::log_level;
using store::append_status;

namespace {

constexpr kernel::milliseconds stopPollInterval{5};
constexpr kernel::milliseconds moveInterval{200};
constexpr kernel::milliseconds appendRetryDelay{200};
constexpr std::size_t maximumMovesPerBatch = 200;
constexpr std::size_t maximumForgottenPerBatch = 200;
constexpr store::append_limits appendLimits{3, kernel::milliseconds(50)};

//! Empty unless \a result has a whole response of the worker \a id. What a worker sends must not end the loop
//! that sends requests to it.
std::optional<sync_response> decodeResponse(const http::exchange_result &result, const std::string &id)
{
    if (result.status != http::exchange_status::answered || result.answer.result() != http::status::ok)
        return std::nullopt;
    try {
        return codec::parseText(result.answer.body()).value_or(nullptr).get<sync_response>();
    } catch (const std::exception &error) {
        observe::logLimited(log_level::error, "malformed response of a worker ignored",
                            {{"worker", id}, {"error", error.what()}}, kernel::monotonicNow());
        return std::nullopt;
    }
}

std::string submissionId(const std::string &process, std::uint64_t epoch, std::uint64_t number)
{
    return process + "/" + std::to_string(epoch) + "/" + std::to_string(number);
}

} // namespace

cell_owner::cell_owner(boost::asio::io_context &context, owner_dependencies dependencies, std::string name)
    : m_context(context)
    , m_dependencies(std::move(dependencies))
    , m_name(std::move(name))
    , m_journal("cell/" + m_name)
    , m_commitSignal(context.get_executor())
{
}

task<bool> cell_owner::takeOver()
{
    const store::journal_contents contents = co_await store::loadJournal(m_dependencies.store, m_journal);
    if (contents.status != store::store_status::ok && contents.status != store::store_status::absent)
        co_return false;
    m_state = contents.snapshotIndex > 0 ? decodeSnapshot(contents.snapshot) : cell_state{};
    m_snapshotIndex = contents.snapshotIndex;
    for (const store::journal_entry &entry : contents.entries) {
        m_state.index = entry.index;
        try {
            applyBatch({decodeRecords(entry.body), {}});
        } catch (const std::exception &error) {
            observe::logLimited(log_level::error, "malformed entry in the journal of a cell ignored",
                                {{"cell", m_name}, {"index", entry.index}, {"error", error.what()}},
                                kernel::monotonicNow());
        }
    }
    m_counters = {};
    commit_batch first;
    first.records.emplace_back(
        owner_record{m_dependencies.processId, kernel::toMillis(m_dependencies.clock())});
    co_return co_await appendBatch(first);
}

void cell_owner::start()
{
    const auto self = shared_from_this();
    refreshWorkers();
    kernel::spawn(m_context.get_executor(), commitLoop(self));
    kernel::spawn(m_context.get_executor(), moveLoop(self));
}

task<void> cell_owner::stop()
{
    m_stopping = true;
    wakeAll();
    while (m_runningLoops > 0)
        co_await kernel::sleepFor(stopPollInterval);
}

void cell_owner::wakeAll()
{
    m_commitSignal.wake();
    for (const auto &[id, worker] : m_workers)
        worker->signal.wake();
}

task<bool> cell_owner::commitRecords(std::vector<cell_record> records, kernel::milliseconds limit)
{
    if (m_stopping || m_replaced)
        co_return false;
    auto done = std::make_shared<kernel::completion<bool>>(m_context.get_executor());
    m_commitRequests.push_back({std::move(records), done});
    m_commitSignal.wake();
    const std::optional<bool> committed = co_await done->wait(limit);
    co_return committed.value_or(false);
}

void cell_owner::queueRecords(std::vector<cell_record> records)
{
    if (records.empty())
        return;
    std::move(records.begin(), records.end(), std::back_inserter(m_pendingRecords));
    m_commitSignal.wake();
}

bool cell_owner::belongsToCell(const store::listed_host &host) const
{
    if (host.role != "worker" || host.failureDomain != domainOfCell(m_name))
        return false;
    return cellOfWorker(m_dependencies.config()->parsed, host.failureDomain, host.id) == m_name;
}

void cell_owner::manageWorker(const std::string &id)
{
    if (m_workers.contains(id))
        return;
    m_workers.emplace(id, std::make_shared<managed_worker>(m_context.get_executor()));
    kernel::spawn(m_context.get_executor(), syncLoop(shared_from_this(), id));
}

void cell_owner::refreshWorkers()
{
    for (const auto &[id, host] : m_dependencies.hosts->hosts()) {
        if (belongsToCell(host))
            manageWorker(id);
    }
    // A worker that left the host list may still run attempts until its task lease expires.
    for (const auto &[id, worker] : m_state.workers) {
        if (!worker.jobs.empty())
            manageWorker(id);
    }
    for (const auto &[id, worker] : m_workers) {
        const auto host = m_dependencies.hosts->hosts().find(id);
        worker->listed = host != m_dependencies.hosts->hosts().end() && !host->second.leaving;
    }
}

link_inputs cell_owner::linkInputs() const
{
    const config::config_view_ptr view = m_dependencies.config();
    return {view->confirmedAt, m_dependencies.ownershipConfirmedAt(),
            config::isOpen(view->parsed, domainOfCell(m_name)), m_evicting};
}

task<void> cell_owner::syncLoop(std::shared_ptr<cell_owner> self, std::string id)
{
    const std::shared_ptr<managed_worker> worker = m_workers.at(id);
    ++m_runningLoops;
    while (!m_stopping && !m_replaced) {
        const auto host = m_dependencies.hosts->hosts().find(id);
        const bool listed = host != m_dependencies.hosts->hosts().end();
        const time_point now = m_dependencies.clock();
        if (listed) {
            const sync_request request = nextRequest(m_state, m_name, id, worker->link, linkInputs(),
                                                     m_dependencies.settings.leases, now);
            http::request message(http::verb::post, "/v1/sync", 11);
            message.set(http::field::host, host->second.address);
            message.body() = json(request).dump();
            ++m_counters.syncs;
            const http::exchange_result result = co_await m_dependencies.workers->exchange(
                host->second.address, std::move(message), m_dependencies.settings.syncTimeout);
            const std::optional<sync_response> response = decodeResponse(result, id);
            if (response)
                queueRecords(handleResponse(m_state, id, worker->link, *response, m_dependencies.clock()));
            else
                ++m_counters.syncFailures;
        }
        queueRecords(expiredAttempts(m_state, id, worker->link, m_dependencies.settings.leases,
                                     m_dependencies.clock()));
        co_await worker->signal.wait(m_dependencies.settings.syncInterval);
    }
    --m_runningLoops;
}

std::set<std::string> cell_owner::usableWorkers(time_point now) const
{
    std::set<std::string> usable;
    for (const auto &[id, worker] : m_workers) {
        const auto entry = m_state.workers.find(id);
        const bool sameIncarnation
            = entry != m_state.workers.end() && entry->second.incarnation == worker->link.incarnation;
        if (sameIncarnation && worker->listed && !isQuarantined(worker->health, now)
            && isReachable(worker->link, now, m_dependencies.settings.reachableLimit))
            usable.insert(id);
    }
    return usable;
}

plan_inputs cell_owner::planInputs(std::span<const cell_record> records, time_point now) const
{
    const config::config_view_ptr view = m_dependencies.config();
    changed_ids changed = idsChangedBy(records);
    std::set<std::string> usable = usableWorkers(now);
    std::erase_if(usable, [&](const std::string &id) { return changed.workers.contains(id); });
    plan_inputs inputs;
    inputs.candidates = candidateWorkers(m_state, usable);
    inputs.changedJobs = std::move(changed.jobs);
    inputs.domainOpen = config::isOpen(view->parsed, domainOfCell(m_name));
    const bool fresh = now - view->confirmedAt <= m_dependencies.settings.leases.startValidity;
    inputs.mayStart = inputs.domainOpen && fresh;
    inputs.cellCount = cellNames(view->parsed).size();
    return inputs;
}

void cell_owner::planMoves(const plan_inputs &inputs, std::vector<cell_record> &records, time_point now) const
{
    const config::config_view_ptr view = m_dependencies.config();
    for (const std::string &id : jobsToMove(m_state, inputs, maximumMovesPerBatch)) {
        const std::uint32_t hops = m_state.jobs.find(id)->second.hops;
        const auto target = chooseMoveTarget(view->parsed, id, m_name, hops);
        if (target)
            records.emplace_back(move_started_record{id, *target, kernel::toMillis(now)});
    }
}

cell_owner::commit_batch cell_owner::prepareBatch(time_point now)
{
    commit_batch next;
    std::vector<cell_record> collected = std::exchange(m_pendingRecords, {});
    next.requests = std::exchange(m_commitRequests, {});
    for (const commit_request &request : next.requests)
        std::copy(request.records.begin(), request.records.end(), std::back_inserter(collected));
    next.records = filterRecords(m_state, std::move(collected));
    const plan_inputs inputs = planInputs(next.records, now);
    const auto starts = planStarts(m_state, m_dependencies.config()->parsed, inputs, now);
    std::copy(starts.begin(), starts.end(), std::back_inserter(next.records));
    preempt(inputs);
    if (!inputs.domainOpen || starts.empty())
        planMoves(inputs, next.records, now);
    forgotten_record forgotten;
    for (const auto &[id, job] : m_state.jobs) {
        const bool old = now - kernel::fromMillis(job.phaseSinceMs) > m_dependencies.settings.retention;
        if (old && isFinal(job.phase) && forgotten.jobs.size() < maximumForgottenPerBatch)
            forgotten.jobs.push_back(id);
    }
    if (!forgotten.jobs.empty())
        next.records.emplace_back(std::move(forgotten));
    return next;
}

void cell_owner::preempt(const plan_inputs &inputs)
{
    std::set<std::string> affected;
    for (const attempt_id &id :
         planPreemption(m_state, m_dependencies.config()->parsed, inputs, m_evicting)) {
        m_evicting.insert(id);
        affected.insert(m_state.jobs.find(id.job)->second.worker);
    }
    wakeWorkers(affected);
}

// Must be called before the record is applied: afterwards the job no longer names its worker.
void cell_owner::recordAttemptEnd(const ended_record &ended)
{
    m_evicting.erase(ended.id);
    const auto job = m_state.jobs.find(ended.id.job);
    if (job == m_state.jobs.end())
        return;
    const auto worker = m_workers.find(job->second.worker);
    if (worker != m_workers.end())
        recordEvidence(worker->second->health, m_dependencies.settings.quarantine,
                       evidenceOf(ended.outcome, job->second.failures), m_dependencies.clock());
}

task<bool> cell_owner::appendBatch(const commit_batch &next)
{
    store::journal_entry entry;
    entry.index = m_state.index + 1;
    entry.writer = m_dependencies.processId;
    entry.submission = submissionId(m_dependencies.processId, m_state.epoch, m_nextSubmission++);
    entry.body = encodeRecords(next.records);
    while (true) {
        const store::append_result result
            = co_await store::appendEntry(m_dependencies.store, m_journal, entry, appendLimits);
        if (result.status == append_status::committed)
            break;
        if (result.status == append_status::conflict) {
            m_replaced = true;
            observe::log(log_level::warning, "cell taken over by another scheduler",
                         {{"cell", m_name}, {"writer", result.existing ? result.existing->writer : ""}});
            co_return false;
        }
        // The append may have succeeded or not: the next owner finds the entry or appends at its index.
        if (m_stopping)
            co_return false;
        co_await kernel::sleepFor(appendRetryDelay);
    }
    m_state.index = entry.index;
    applyBatch(next);
    co_return true;
}

void cell_owner::applyBatch(const commit_batch &next)
{
    ++m_counters.entries;
    for (const cell_record &record : next.records) {
        if (const auto *ended = std::get_if<ended_record>(&record))
            recordAttemptEnd(*ended);
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_CHECK(apply(m_state, record, m_state.index));
                count(record);
                return {};
            },
            [&](const record_error &error) {
                observe::log(log_level::error, "journal record cannot be applied",
                             {{"cell", m_name},
                              {"index", m_state.index},
                              {"text", error.text},
                              {"fault", static_cast<int>(error.code)}});
            },
            [&] {
                observe::log(log_level::error, "journal record cannot be applied", {{"cell", m_name}});
            });
    }
}

void cell_owner::count(const cell_record &record)
{
    ++m_counters.records;
    if (std::holds_alternative<assigned_record>(record))
        ++m_counters.starts;
    const auto *ended = std::get_if<ended_record>(&record);
    if (!ended)
        return;
    m_counters.finished += ended->outcome == attempt_outcome::done ? 1 : 0;
    m_counters.evicted += ended->outcome == attempt_outcome::evicted ? 1 : 0;
    m_counters.lost += ended->outcome == attempt_outcome::lost ? 1 : 0;
}

std::set<std::string> cell_owner::workersAffectedBy(std::span<const cell_record> records) const
{
    std::set<std::string> ids = idsChangedBy(records).workers;
    for (const cell_record &record : records) {
        if (const auto *assigned = std::get_if<assigned_record>(&record))
            ids.insert(assigned->worker);
    }
    for (const std::string &changedJob : idsChangedBy(records).jobs) {
        const auto job = m_state.jobs.find(changedJob);
        if (job != m_state.jobs.end())
            ids.insert(job->second.worker);
    }
    return ids;
}

void cell_owner::wakeWorkers(const std::set<std::string> &ids)
{
    for (const std::string &id : ids) {
        const auto found = m_workers.find(id);
        if (found != m_workers.end())
            found->second->signal.wake();
    }
}

task<void> cell_owner::commitLoop(std::shared_ptr<cell_owner> self)
{
    ++m_runningLoops;
    while (!m_stopping && !m_replaced) {
        refreshWorkers();
        const commit_batch next = prepareBatch(m_dependencies.clock());
        if (!next.records.empty()) {
            const std::set<std::string> affected = workersAffectedBy(next.records);
            const bool committed = co_await appendBatch(next);
            if (committed)
                wakeWorkers(affected);
            for (const commit_request &request : next.requests)
                request.done->complete(committed);
            if (m_state.index >= m_snapshotIndex + m_dependencies.settings.snapshotAfter
                && !m_snapshotRunning)
                kernel::spawn(m_context.get_executor(), takeSnapshot(self));
        } else {
            for (const commit_request &request : next.requests)
                request.done->complete(true);
        }
        // The first sleep collects records for one entry; the second ends early when there is new work.
        co_await kernel::sleepFor(m_dependencies.settings.commitInterval);
        co_await m_commitSignal.wait(m_dependencies.settings.syncInterval);
    }
    for (const commit_request &request : std::exchange(m_commitRequests, {}))
        request.done->abandon();
    --m_runningLoops;
}

task<void> cell_owner::takeSnapshot(std::shared_ptr<cell_owner> self)
{
    m_snapshotRunning = true;
    const std::uint64_t index = m_state.index;
    const bool written
        = co_await store::writeSnapshot(m_dependencies.store, m_journal, index, encodeSnapshot(m_state));
    if (written)
        m_snapshotIndex = index;
    m_snapshotRunning = false;
}

task<void> cell_owner::moveLoop(std::shared_ptr<cell_owner> self)
{
    ++m_runningLoops;
    while (!m_stopping && !m_replaced) {
        std::map<std::string, std::vector<std::string>> byTarget;
        for (const auto &[id, job] : m_state.jobs) {
            if (job.phase == job_phase::moving && byTarget[job.moveTarget].size() < maximumMovesPerBatch)
                byTarget[job.moveTarget].push_back(id);
        }
        for (auto &[target, jobs] : byTarget)
            co_await sendMovedJobs(target, std::move(jobs));
        co_await kernel::sleepFor(moveInterval);
    }
    --m_runningLoops;
}

task<void> cell_owner::sendMovedJobs(std::string target, std::vector<std::string> jobs)
{
    std::vector<cell_record> admitted;
    for (const std::string &id : jobs) {
        const job_entry &job = m_state.jobs.find(id)->second;
        admitted.emplace_back(
            admitted_record{job.spec, job.admittedAtMs, job.attempt, job.failures, job.checkpoint, job.hops});
    }
    const bool adopted = co_await m_dependencies.admitInCell(target, encodeRecords(admitted));
    if (!adopted)
        co_return;
    std::vector<cell_record> finished;
    for (const std::string &id : jobs)
        finished.emplace_back(move_finished_record{id, kernel::toMillis(m_dependencies.clock())});
    queueRecords(std::move(finished));
}

json cell_owner::dump() const
{
    std::map<std::string, std::size_t> phases;
    for (const auto &[id, job] : m_state.jobs)
        ++phases[json(job.phase).get<std::string>()];
    json workers = json::object();
    for (const auto &[id, worker] : m_workers) {
        const auto entry = m_state.workers.find(id);
        const bool joined = entry != m_state.workers.end();
        workers[id] = {{"listed", worker->listed},
                       {"quarantined", isQuarantined(worker->health, m_dependencies.clock())},
                       {"incarnation", worker->link.incarnation},
                       {"answeredAtMs", kernel::toMillis(worker->link.lastResponseAt)},
                       {"leaseGrantedUntilMs", kernel::toMillis(worker->link.leaseGrantedUntil)},
                       {"capacity", joined ? json(entry->second.capacity) : json()},
                       {"committed", joined ? json(entry->second.committed) : json()},
                       {"jobs", joined ? json(entry->second.jobs) : json::array()}};
    }
    return {{"cell", m_name},
            {"owner", m_state.owner},
            {"epoch", m_state.epoch},
            {"index", m_state.index},
            {"snapshotIndex", m_snapshotIndex},
            {"phases", phases},
            {"queued", m_state.queue.size()},
            {"workers", workers},
            {"replaced", m_replaced}};
}

} // namespace almond::placement
