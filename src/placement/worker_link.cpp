#include "placement/worker_link.h"

#include <algorithm>

namespace almond::placement {

namespace {

const worker_entry *findWorker(const cell_state &cell, std::string_view worker)
{
    const auto found = cell.workers.find(worker);
    return found == cell.workers.end() ? nullptr : &found->second;
}

bool isCurrent(const cell_state &cell, std::string_view worker, const attempt_id &id)
{
    const auto job = cell.jobs.find(id.job);
    return job != cell.jobs.end() && job->second.phase == job_phase::assigned
        && job->second.attempt == id.attempt && job->second.worker == worker;
}

//! Tells whether the attempt of \a report finished its job according to the journal.
bool hasFinished(const cell_state &cell, const attempt_report &report)
{
    const auto job = cell.jobs.find(report.id.job);
    return job != cell.jobs.end() && job->second.phase == job_phase::done
        && job->second.attempt == report.id.attempt && report.outcome == attempt_outcome::done;
}

bool mustStop(const job_entry &job, const link_inputs &inputs)
{
    if (job.cancelRequested || inputs.evicting.contains({job.spec.id, job.attempt}))
        return true;
    return !inputs.domainOpen && job.spec.jobClass != job_class::registerTask;
}

void addOrders(const cell_state &cell, const worker_entry &entry, const worker_link &link,
               const link_inputs &inputs, const lease_rules &rules, sync_request &request)
{
    const std::int64_t startBefore = kernel::toMillis(inputs.configConfirmedAt + rules.startValidity);
    for (const std::string &id : entry.jobs) {
        const job_entry &job = cell.jobs.find(id)->second;
        const attempt_id attempt{id, job.attempt};
        const bool toStop = mustStop(job, inputs);
        if (!link.reportedAttempts.contains(attempt))
            // An attempt that must stop is still ordered, with a start time in the past: the worker's refusal
            // ends the attempt.
            request.run.push_back({attempt, job.spec, job.checkpoint, toStop ? 0 : startBefore});
        else if (toStop)
            request.stop.push_back(attempt);
    }
}

} // namespace

bool isReachable(const worker_link &link, time_point now, kernel::milliseconds limit)
{
    return now - link.lastResponseAt <= limit;
}

sync_request nextRequest(const cell_state &cell, std::string_view cellName, std::string_view worker,
                         worker_link &link, const link_inputs &inputs, const lease_rules &rules,
                         time_point now)
{
    sync_request request;
    request.cell = cellName;
    request.epoch = cell.epoch;
    request.sequence = ++link.sequence;
    request.incarnation = link.incarnation;
    if (link.firstRequestAt == time_point{})
        link.firstRequestAt = now;
    const bool renewsLease
        = now - std::max(link.firstRequestAt, link.lastResponseAt) <= rules.unresponsiveAfter;
    if (renewsLease) {
        const time_point renewalBase = std::min(now, inputs.ownershipConfirmedAt + rules.detachedLimit);
        link.leaseGrantedUntil = std::max(link.leaseGrantedUntil, renewalBase + rules.taskLease);
    }
    request.leaseUntilMs = kernel::toMillis(link.leaseGrantedUntil);
    const worker_entry *entry = findWorker(cell, worker);
    const bool sameIncarnation = entry && entry->incarnation == link.incarnation;
    if (sameIncarnation && renewsLease)
        addOrders(cell, *entry, link, inputs, rules, request);
    request.acknowledge.assign(link.acknowledge.begin(), link.acknowledge.end());
    request.publish.assign(link.publish.begin(), link.publish.end());
    return request;
}

namespace {

//! Handles a worker that is new, restarted or changed its capacity. A new incarnation runs none of the
//! attempts of the previous one, so they are ended as lost. Returns no records if nothing changed.
std::vector<cell_record> handleIncarnation(const cell_state &cell, std::string_view worker, worker_link &link,
                                           const sync_response &response, time_point now)
{
    std::vector<cell_record> records;
    const worker_entry *entry = findWorker(cell, worker);
    const bool recorded
        = entry && entry->incarnation == response.incarnation && entry->capacity == response.capacity;
    if (link.incarnation != response.incarnation) {
        link.reportedAttempts.clear();
        link.acknowledge.clear();
        link.publish.clear();
    }
    link.incarnation = response.incarnation;
    if (recorded)
        return records;
    if (entry && entry->incarnation != response.incarnation) {
        for (const std::string &id : entry->jobs) {
            const job_entry &job = cell.jobs.find(id)->second;
            const attempt_id attempt{id, job.attempt};
            const auto checkpoint = link.checkpoints.find(attempt);
            records.emplace_back(ended_record{attempt, attempt_outcome::lost,
                                              checkpoint == link.checkpoints.end() ? "" : checkpoint->second,
                                              kernel::toMillis(now)});
        }
    }
    records.emplace_back(worker_record{std::string(worker), response.incarnation, entry ? entry->address : "",
                                       entry ? entry->rack : "", response.capacity});
    return records;
}

} // namespace

std::vector<cell_record> handleResponse(const cell_state &cell, std::string_view worker, worker_link &link,
                                        const sync_response &response, time_point now)
{
    std::vector<cell_record> records = handleIncarnation(cell, worker, link, response, now);
    if (!response.accepted || !records.empty())
        return records;
    link.lastResponseAt = now;
    link.usage.clear();
    link.checkpoints.clear();
    std::set<attempt_id> reported;
    for (const attempt_report &report : response.attempts) {
        reported.insert(report.id);
        const bool current = isCurrent(cell, worker, report.id);
        if (report.running) {
            link.usage[report.id] = report.usage;
            link.checkpoints[report.id] = report.checkpoint;
        } else if (current) {
            records.emplace_back(
                ended_record{report.id, report.outcome, report.checkpoint, kernel::toMillis(now)});
        } else if (hasFinished(cell, report)) {
            link.publish.insert(report.id);
        } else {
            link.acknowledge.insert(report.id);
        }
    }
    std::erase_if(link.acknowledge, [&](const attempt_id &id) { return !reported.contains(id); });
    std::erase_if(link.publish, [&](const attempt_id &id) { return !reported.contains(id); });
    link.reportedAttempts = std::move(reported);
    return records;
}

std::vector<cell_record> expiredAttempts(const cell_state &cell, std::string_view worker,
                                         const worker_link &link, const lease_rules &rules, time_point now)
{
    std::vector<cell_record> records;
    const worker_entry *entry = findWorker(cell, worker);
    if (!entry)
        return records;
    // Until the worker has accepted a request of this epoch, an earlier owner that can't reach the store may
    // have renewed the lease.
    const bool fenced = link.lastResponseAt != time_point{};
    const time_point earlierLeaseEnd
        = kernel::fromMillis(cell.ownedSinceMs) + rules.detachedLimit + rules.taskLease;
    const time_point leaseEnd = std::max(link.leaseGrantedUntil, fenced ? time_point{} : earlierLeaseEnd);
    if (now <= leaseEnd + rules.clockMargin)
        return records;
    for (const std::string &id : entry->jobs) {
        const attempt_id attempt{id, cell.jobs.find(id)->second.attempt};
        const auto checkpoint = link.checkpoints.find(attempt);
        records.emplace_back(ended_record{attempt, attempt_outcome::lost,
                                          checkpoint == link.checkpoints.end() ? "" : checkpoint->second,
                                          kernel::toMillis(now)});
    }
    return records;
}

} // namespace almond::placement
