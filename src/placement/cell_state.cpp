#include "placement/cell_state.h"

#include <boost/leaf/error.hpp>

namespace almond::placement {

namespace leaf = boost::leaf;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(job_entry, spec, phase, attempt, failures, evictions, hops, worker,
                                   checkpoint, moveTarget, reason, cancelRequested, admittedAtMs,
                                   phaseSinceMs)

namespace {

leaf::error_id makeError(record_error_code code, const std::string &text)
{
    return leaf::new_error(record_error{code, text});
}

queue_key keyOf(const job_entry &job)
{
    return {!job.spec.urgent, job.admittedAtMs, job.spec.id};
}

void setPhase(cell_state &state, job_entry &job, job_phase phase, std::int64_t atMs)
{
    if (job.phase == job_phase::queued)
        state.queue.erase(keyOf(job));
    job.phase = phase;
    job.phaseSinceMs = atMs;
    if (phase == job_phase::queued)
        state.queue.insert(keyOf(job));
}

void commitResources(cell_state &state, const job_entry &job)
{
    worker_entry &worker = state.workers[job.worker];
    worker.committed = worker.committed + job.spec.demand;
    worker.jobs.insert(job.spec.id);
    resources &usage = state.teamUsage[job.spec.team];
    usage = usage + job.spec.demand;
}

void releaseResources(cell_state &state, job_entry &job)
{
    worker_entry &worker = state.workers[job.worker];
    worker.committed = worker.committed - job.spec.demand;
    worker.jobs.erase(job.spec.id);
    resources &usage = state.teamUsage[job.spec.team];
    usage = usage - job.spec.demand;
    job.worker.clear();
}

leaf::result<job_entry *> findJob(cell_state &state, const std::string &id)
{
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end())
        return makeError(record_error_code::unknownJob, id);
    return &found->second;
}

leaf::result<void> applyRecord(cell_state &state, const owner_record &record, std::uint64_t index)
{
    state.owner = record.owner;
    state.ownedSinceMs = record.atMs;
    state.epoch = index;
    return {};
}

leaf::result<void> applyRecord(cell_state &state, const worker_record &record, std::uint64_t /*index*/)
{
    worker_entry &worker = state.workers[record.worker];
    const bool restarted = worker.incarnation != record.incarnation;
    if (restarted && !worker.jobs.empty())
        return makeError(record_error_code::stillRunning, record.worker);
    if (!fits(worker.committed, record.capacity))
        return makeError(record_error_code::overcommitted, record.worker);
    worker.incarnation = record.incarnation;
    worker.address = record.address;
    worker.rack = record.rack;
    worker.capacity = record.capacity;
    return {};
}

leaf::result<void> applyRecord(cell_state &state, const admitted_record &record, std::uint64_t /*index*/)
{
    const auto found = state.jobs.find(record.spec.id);
    if (found != state.jobs.end()) {
        const bool returning = found->second.phase == job_phase::moved && record.hops > found->second.hops;
        if (!returning)
            return {}; // a repeated submission or move
    }
    job_entry job;
    job.spec = record.spec;
    job.attempt = record.attempt;
    job.failures = record.failures;
    job.checkpoint = record.checkpoint;
    job.hops = record.hops;
    job.admittedAtMs = record.atMs;
    job.phaseSinceMs = record.atMs;
    state.queue.insert(keyOf(job));
    state.jobs.insert_or_assign(record.spec.id, std::move(job));
    return {};
}

leaf::result<void> applyRecord(cell_state &state, const assigned_record &record, std::uint64_t /*index*/)
{
    BOOST_LEAF_ASSIGN(job_entry * job, findJob(state, record.job));
    const auto worker = state.workers.find(record.worker);
    if (worker == state.workers.end())
        return makeError(record_error_code::unknownWorker, record.worker);
    if (job->phase != job_phase::queued)
        return makeError(record_error_code::wrongPhase, record.job);
    if (!fits(job->spec.demand, worker->second.capacity - worker->second.committed))
        return makeError(record_error_code::overcommitted, record.worker);
    setPhase(state, *job, job_phase::assigned, record.atMs);
    ++job->attempt;
    job->worker = record.worker;
    commitResources(state, *job);
    return {};
}

job_phase phaseAfter(const job_entry &job, attempt_outcome outcome)
{
    if (outcome == attempt_outcome::done)
        return job_phase::done;
    if (job.cancelRequested)
        return job_phase::cancelled;
    return job.failures >= maximumFailures ? job_phase::failed : job_phase::queued;
}

leaf::result<void> applyRecord(cell_state &state, const ended_record &record, std::uint64_t /*index*/)
{
    BOOST_LEAF_ASSIGN(job_entry * job, findJob(state, record.id.job));
    if (job->phase != job_phase::assigned)
        return makeError(record_error_code::wrongPhase, record.id.job);
    if (job->attempt != record.id.attempt)
        return makeError(record_error_code::wrongAttempt, record.id.job);
    releaseResources(state, *job);
    job->failures += record.outcome == attempt_outcome::failed ? 1 : 0;
    job->evictions += record.outcome == attempt_outcome::evicted ? 1 : 0;
    if (!record.checkpoint.empty())
        job->checkpoint = record.checkpoint;
    setPhase(state, *job, phaseAfter(*job, record.outcome), record.atMs);
    if (job->phase == job_phase::failed)
        job->reason = "failed " + std::to_string(job->failures) + " times";
    return {};
}

leaf::result<void> applyRecord(cell_state &state, const cancelled_record &record, std::uint64_t /*index*/)
{
    BOOST_LEAF_ASSIGN(job_entry * job, findJob(state, record.job));
    if (isFinal(job->phase))
        return {};
    job->cancelRequested = true;
    if (job->phase == job_phase::queued)
        setPhase(state, *job, job_phase::cancelled, record.atMs);
    return {};
}

leaf::result<void> applyRecord(cell_state &state, const impossible_record &record, std::uint64_t /*index*/)
{
    BOOST_LEAF_ASSIGN(job_entry * job, findJob(state, record.job));
    if (job->phase != job_phase::queued)
        return makeError(record_error_code::wrongPhase, record.job);
    job->reason = record.reason;
    setPhase(state, *job, job_phase::impossible, record.atMs);
    return {};
}

leaf::result<void> applyRecord(cell_state &state, const move_started_record &record, std::uint64_t /*index*/)
{
    BOOST_LEAF_ASSIGN(job_entry * job, findJob(state, record.job));
    if (job->phase != job_phase::queued)
        return makeError(record_error_code::wrongPhase, record.job);
    job->moveTarget = record.target;
    ++job->hops;
    setPhase(state, *job, job_phase::moving, record.atMs);
    return {};
}

leaf::result<void> applyRecord(cell_state &state, const move_finished_record &record, std::uint64_t /*index*/)
{
    BOOST_LEAF_ASSIGN(job_entry * job, findJob(state, record.job));
    if (job->phase != job_phase::moving)
        return makeError(record_error_code::wrongPhase, record.job);
    setPhase(state, *job, job_phase::moved, record.atMs);
    return {};
}

leaf::result<void> applyRecord(cell_state &state, const forgotten_record &record, std::uint64_t /*index*/)
{
    for (const std::string &id : record.jobs) {
        const auto found = state.jobs.find(id);
        if (found != state.jobs.end() && isFinal(found->second.phase))
            state.jobs.erase(found);
    }
    return {};
}

} // namespace

leaf::result<void> apply(cell_state &state, const cell_record &record, std::uint64_t index)
{
    BOOST_LEAF_CHECK(std::visit([&](const auto &value) { return applyRecord(state, value, index); }, record));
    state.index = index;
    return {};
}

bool isFinal(job_phase phase)
{
    return phase == job_phase::moved || phase == job_phase::done || phase == job_phase::failed
        || phase == job_phase::cancelled || phase == job_phase::impossible;
}

json encodeSnapshot(const cell_state &state)
{
    json workers = json::object();
    for (const auto &[id, worker] : state.workers) {
        workers[id] = {{"incarnation", worker.incarnation},
                       {"address", worker.address},
                       {"rack", worker.rack},
                       {"capacity", worker.capacity}};
    }
    json jobs = json::array();
    for (const auto &[id, job] : state.jobs)
        jobs.push_back(job);
    return {{"owner", state.owner}, {"epoch", state.epoch}, {"ownedSinceMs", state.ownedSinceMs},
            {"index", state.index}, {"workers", workers},   {"jobs", jobs}};
}

cell_state decodeSnapshot(const json &snapshot)
{
    cell_state state;
    state.owner = snapshot.at("owner");
    state.epoch = snapshot.at("epoch");
    state.ownedSinceMs = snapshot.at("ownedSinceMs");
    state.index = snapshot.at("index");
    for (const auto &[id, value] : snapshot.at("workers").items()) {
        worker_entry &worker = state.workers[id];
        worker.incarnation = value.at("incarnation");
        worker.address = value.at("address");
        worker.rack = value.at("rack");
        worker.capacity = value.at("capacity");
    }
    for (const json &value : snapshot.at("jobs")) {
        auto job = value.get<job_entry>();
        if (job.phase == job_phase::assigned)
            commitResources(state, job);
        if (job.phase == job_phase::queued)
            state.queue.insert(keyOf(job));
        state.jobs.emplace(job.spec.id, std::move(job));
    }
    return state;
}

} // namespace almond::placement
