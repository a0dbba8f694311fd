#pragma once

#include "jobs/job.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace almond::jobs {

enum class task_phase : std::uint8_t { waiting, assigned, done };

struct task_state
{
    task_phase phase = task_phase::waiting;
    //! Number of the newest run; 0 before the first. A run number is never used twice.
    std::uint32_t run = 0;
    //! Runs that ended in failure.
    std::uint32_t failures = 0;
    //! A run of it has begun and ended, so that a lasting task is missed by its users.
    bool interrupted = false;
    //! Incarnation of the worker while assigned.
    std::string worker;
    //! Where the next run resumes; empty for the beginning.
    std::string checkpoint;
};

struct step_state
{
    std::vector<task_state> tasks;
    std::uint32_t waiting = 0;
    std::uint32_t done = 0;
    //! Runs of a gang in which a member failed, and the newest of them.
    std::uint32_t failedRuns = 0;
    std::uint32_t lastFailedRun = 0;
};

//! One pass through a job's steps.
struct occurrence_state
{
    std::vector<step_state> steps;
    std::uint32_t stepsDone = 0;
};

struct job_state
{
    job spec;
    std::map<std::uint32_t, occurrence_state> occurrences;
    std::uint32_t occurrencesDone = 0;
    job_status status = job_status::queued;
    std::uint32_t waiting = 0;
    std::uint32_t assigned = 0;
};

//! What is assigned to one incarnation of a worker.
struct worker_load
{
    //! Everything but the processor time of tasks that fill.
    resources guaranteed;
    std::int64_t bestEffortMillicores = 0;
    std::int64_t longRunningMillicores = 0;
    //! Assigned tasks and their runs.
    std::map<task_name, std::uint32_t> runs;
    //! Processor time of the tasks that fill, by image.
    std::map<std::string, std::int64_t, std::less<>> bestEffortByImage;
    //! Images of the tasks that serve users and have a bound on their response times.
    std::map<task_name, std::string> serving;
};

enum class record_kind {
    started,
    ended,
    jobFailed,
    //! The last word of an owner on a worker that leaves orders unanswered.
    leaseHandedOver
};

//! One durable change of a ledger.
struct journal_record
{
    record_kind kind = record_kind::started;
    task_name task; // gaveUp uses its job only
    std::uint32_t run = 0;
    //! Incarnation of the worker, in started and leaseHandedOver.
    std::string worker;
    run_end end = run_end::done;
    std::string checkpoint;
    //! In leaseHandedOver: the owner's term, and in how long every lease of the worker is over.
    std::uint64_t term = 0;
    milliseconds leaseLeft{0};
};

//! What an owner that stopped has said of a worker's leases; it has granted nothing since.
struct handed_lease
{
    std::uint64_t term = 0;
    milliseconds left{0};
};

//! Every open job and how far it has come: accepted jobs, plus the fold of the journal.
struct job_table
{
    std::map<std::string, job_state, std::less<>> jobs;
    //! Jobs that have waiting tasks.
    std::set<std::string, std::less<>> jobsWithWaitingTasks;
    std::map<std::string, worker_load, std::less<>> loads;
    //! Next due time of each job that has occurrences by time, in milliseconds since the epoch.
    std::set<std::pair<std::int64_t, std::string>> timers;
    //! By incarnation of the worker.
    std::map<std::string, handed_lease> handedLeases;
};

//! Adds an accepted job. A job that is known already stays as it is.
void addJob(job_table &table, job accepted);
//! Opens every occurrence that is due at \a unixNow.
void openDueOccurrences(job_table &table, time_point unixNow);
//! Marks \a id as cancelled. False for a job that is unknown or has ended.
bool cancelJob(job_table &table, std::string_view id);
//! Applies \a record. False when it does not fit the state, which then is unchanged.
bool apply(job_table &table, const journal_record &record);

//! Tells whether \a status is final.
bool isFinal(job_status status);
//! Tells whether every step that \a step waits for is done.
bool isReady(const job_state &owner, const occurrence_state &occurrence, std::uint32_t step);
//! The task's state; null for a name that the ledger does not hold.
const task_state *findTask(const job_table &table, const task_name &name);
const step_spec *findStep(const job_table &table, const task_name &name);
//! The run that is assigned to \a worker under \a name, or 0.
std::uint32_t assignedRun(const job_table &table, std::string_view worker, const task_name &name);

nlohmann::json encodeRecord(const journal_record &record);
//! Throws nlohmann::json::exception or std::invalid_argument for a malformed record.
journal_record decodeRecord(const nlohmann::json &in);

} // namespace almond::jobs
