#include "placement/record_filter.h"

namespace almond::placement {

namespace {

template<class... Visitors>
struct overloaded : Visitors...
{
    using Visitors::operator()...;
};
template<class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

const job_entry *findJob(const cell_state &cell, const std::string &id)
{
    const auto found = cell.jobs.find(id);
    return found == cell.jobs.end() ? nullptr : &found->second;
}

bool endsCurrentAttempt(const cell_state &cell, const ended_record &record)
{
    const job_entry *job = findJob(cell, record.id.job);
    return job && job->phase == job_phase::assigned && job->attempt == record.id.attempt;
}

//! Tells whether \a record adds the worker, or changes its incarnation or capacity.
bool changesWorker(const cell_state &cell, const worker_record &record)
{
    const auto found = cell.workers.find(record.worker);
    if (found == cell.workers.end())
        return true;
    return found->second.incarnation != record.incarnation || !(found->second.capacity == record.capacity);
}

bool isInPhase(const cell_state &cell, const std::string &id, job_phase phase)
{
    const job_entry *job = findJob(cell, id);
    return job && job->phase == phase;
}

bool stillApplies(const cell_state &cell, const cell_record &record)
{
    return std::visit(
        overloaded{
            [&](const ended_record &value) { return endsCurrentAttempt(cell, value); },
            [&](const worker_record &value) { return changesWorker(cell, value); },
            [&](const move_finished_record &value) { return isInPhase(cell, value.job, job_phase::moving); },
            [&](const cancelled_record &value) { return findJob(cell, value.job) != nullptr; },
            [](const auto &) { return true; }},
        record);
}

//! Returns a key that is equal for duplicates of a record; empty for records that are never duplicates.
std::string duplicateKey(const cell_record &record)
{
    return std::visit(overloaded{[](const ended_record &value) { return "ended " + value.id.job; },
                                 [](const worker_record &value) { return "worker " + value.worker; },
                                 [](const move_finished_record &value) { return "moved " + value.job; },
                                 [](const auto &) { return std::string(); }},
                      record);
}

//! Ends all attempts that are assigned to the old incarnation of a restarted worker. A new incarnation may
//! join only after that, and attempts assigned after the worker reported it are lost as well.
void endAttemptsOfRestarted(const cell_state &cell, const worker_record &record, std::set<std::string> &seen,
                            std::vector<cell_record> &kept)
{
    const auto worker = cell.workers.find(record.worker);
    if (worker == cell.workers.end() || worker->second.incarnation == record.incarnation)
        return;
    for (const std::string &id : worker->second.jobs) {
        const job_entry &job = cell.jobs.find(id)->second;
        ended_record ended{{id, job.attempt}, attempt_outcome::lost, "", job.phaseSinceMs};
        if (seen.insert(duplicateKey(ended)).second)
            kept.emplace_back(std::move(ended));
    }
}

} // namespace

std::vector<cell_record> filterRecords(const cell_state &cell, std::vector<cell_record> records)
{
    std::set<std::string> seen;
    std::vector<cell_record> kept;
    for (cell_record &record : records) {
        if (!stillApplies(cell, record))
            continue;
        const std::string key = duplicateKey(record);
        if (!key.empty() && !seen.insert(key).second)
            continue;
        if (const auto *worker = std::get_if<worker_record>(&record))
            endAttemptsOfRestarted(cell, *worker, seen, kept);
        kept.push_back(std::move(record));
    }
    return kept;
}

changed_ids idsChangedBy(std::span<const cell_record> records)
{
    changed_ids changed;
    for (const cell_record &record : records) {
        std::visit(overloaded{[&](const ended_record &value) { changed.jobs.insert(value.id.job); },
                              [&](const admitted_record &value) { changed.jobs.insert(value.spec.id); },
                              [&](const cancelled_record &value) { changed.jobs.insert(value.job); },
                              [&](const move_finished_record &value) { changed.jobs.insert(value.job); },
                              [&](const worker_record &value) { changed.workers.insert(value.worker); },
                              [](const auto &) {}},
                   record);
    }
    return changed;
}

} // namespace almond::placement
