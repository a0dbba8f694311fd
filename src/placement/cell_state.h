#pragma once

#include "placement/cell_record.h"

#include <boost/leaf/result.hpp>

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace almond::placement {

enum class job_phase { queued, assigned, moving, moved, done, failed, cancelled, impossible };

NLOHMANN_JSON_SERIALIZE_ENUM(job_phase,
                             {{job_phase::queued, "queued"},
                              {job_phase::assigned, "assigned"},
                              {job_phase::moving, "moving"},
                              {job_phase::moved, "moved"},
                              {job_phase::done, "done"},
                              {job_phase::failed, "failed"},
                              {job_phase::cancelled, "cancelled"},
                              {job_phase::impossible, "impossible"}})

//! A job and its progress.
struct job_entry
{
    job_spec spec;
    job_phase phase = job_phase::queued;
    //! Number of the latest attempt; 0 before the first.
    std::uint32_t attempt = 0;
    std::uint32_t failures = 0;
    std::uint32_t evictions = 0;
    std::uint32_t hops = 0;
    std::string worker; // while assigned
    std::string checkpoint;
    std::string moveTarget; // while moving
    std::string reason;
    bool cancelRequested = false;
    std::int64_t admittedAtMs = 0;
    std::int64_t phaseSinceMs = 0;
};

//! A worker, its assigned jobs and the sum of their demands (\a committed).
struct worker_entry
{
    std::string incarnation;
    std::string address;
    std::string rack;
    resources capacity;
    resources committed;
    std::set<std::string> jobs;
};

//! Sort key of the queue: urgent jobs first, then by time of admission.
struct queue_key
{
    bool nonUrgent = true;
    std::int64_t admittedAtMs = 0;
    std::string job;

    bool operator<(const queue_key &other) const
    {
        return std::tie(nonUrgent, admittedAtMs, job)
            < std::tie(other.nonUrgent, other.admittedAtMs, other.job);
    }
};

//! A cell: a group of workers in one failure domain, each of which belongs to no other cell, and its jobs.
//! Applying all records of the cell's journal in order yields this state.
struct cell_state
{
    std::string owner;
    std::uint64_t epoch = 0;
    std::int64_t ownedSinceMs = 0;
    //! Index of the last journal entry applied.
    std::uint64_t index = 0;
    std::map<std::string, job_entry, std::less<>> jobs;
    std::map<std::string, worker_entry, std::less<>> workers;
    std::set<queue_key> queue;
    //! Resources committed to the assigned jobs of each team.
    std::map<std::string, resources, std::less<>> teamUsage;
};

//! Why a record cannot be applied.
enum class record_error_code {
    unknownJob,
    unknownWorker,
    wrongPhase,
    wrongAttempt,
    overcommitted,
    stillRunning
};

//! A record that contradicts the state. No part of it was applied.
struct record_error
{
    record_error_code code;
    std::string text;
};

//! Number of failed attempts after which a job fails permanently.
inline constexpr std::uint32_t maximumFailures = 5;

//! Applies one record of the journal entry with the index \a index. Errors: record_error.
boost::leaf::result<void> apply(cell_state &state, const cell_record &record, std::uint64_t index);

//! Tells whether \a phase is final.
bool isFinal(job_phase phase);

//! Encodes \a state for a journal snapshot. The queue, the jobs of each worker and the resource totals are
//! left out, since decodeSnapshot() derives them from the jobs.
json encodeSnapshot(const cell_state &state);
//! Inverse of encodeSnapshot(). Throws nlohmann::json::exception on a malformed snapshot.
cell_state decodeSnapshot(const json &snapshot);

} // namespace almond::placement
