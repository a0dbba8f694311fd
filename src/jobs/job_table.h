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
    //! Number of the newest run; 0 before the first one. A run number is never reused.
    std::uint32_t run = 0;
    //! Number of runs that ended with run_end::failed.
    std::uint32_t failures = 0;
    //! A run has begun and ended, so the users of a long-running task are without it.
    bool interrupted = false;
    //! Incarnation of the worker while the task is assigned.
    std::string worker;
    //! Checkpoint from which the next run resumes; empty to start from the beginning.
    std::string checkpoint;
};

//! The checkpoint of a gang, which all members of a run must resume from. That of any member is valid for
//! all.
struct gang_checkpoint
{
    std::string newest;
    //! The run that reported it, and whether a member reported it at its end: that of a lost member is older.
    std::uint32_t run = 0;
    bool isFinal = false;
    //! What the members of the newest run resume from.
    std::string resumed;
    std::uint32_t resumedRun = 0;
};

struct step_state
{
    std::vector<task_state> tasks;
    std::uint32_t waiting = 0;
    std::uint32_t done = 0;
    //! Number of runs of a gang in which at least one member failed, and the newest such run.
    std::uint32_t failedRuns = 0;
    std::uint32_t lastFailedRun = 0;
    gang_checkpoint gangCheckpoint;
};

//! State of one execution of all steps of a job.
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
    //! A run of it has ended that may have begun: neither as notStarted nor with startUnconfirmed.
    bool hasBegun = false;
    std::uint32_t waiting = 0;
    std::uint32_t assigned = 0;
    //! Number of journal records that have changed it.
    std::uint32_t records = 0;
};

//! What is assigned to one incarnation of a worker.
struct worker_load
{
    //! All assigned resources except the CPU of best-effort tasks.
    resources guaranteed;
    std::int64_t bestEffortMillicores = 0;
    std::int64_t longRunningMillicores = 0;
    //! Assigned tasks and the numbers of their runs.
    std::map<task_name, std::uint32_t> runs;
    //! CPU demand of best-effort tasks in millicores, by image.
    std::map<std::string, std::int64_t, std::less<>> bestEffortByImage;
    //! Images of the serving tasks: long-running tasks with a tail-latency target.
    std::map<task_name, std::string> serving;
};

//! Batch tasks with guaranteed resources that are assigned.
struct assigned_batch
{
    resources demand;
    std::int64_t tasks = 0;
};

enum class record_kind {
    started,
    ended,
    jobFailed,
    //! Written by an owner that stops, for a worker that no longer responds: after which time all leases that
    //! it granted to the worker have expired.
    leaseHandedOver,
    //! The worker of an assigned run has restarted. The run passes on to the new incarnation, which may have
    //! accepted its start order.
    moved
};

//! One durable change of a job_table, as written to the journal.
struct journal_record
{
    record_kind kind = record_kind::started;
    task_name task; // jobFailed uses only the job
    std::uint32_t run = 0;
    //! Incarnation of the worker, for started, leaseHandedOver and moved.
    std::string worker;
    run_end end = run_end::done;
    std::string checkpoint;
    //! For ended: the run is lost, and nothing has shown that it had begun.
    bool startUnconfirmed = false;
    //! For leaseHandedOver: the owner's term, and the time after which all of the worker's leases have
    //! expired.
    std::uint64_t term = 0;
    milliseconds leaseLeft{0};
};

//! Statement of a stopped owner about the leases of a worker; it has granted none since.
struct handed_lease
{
    std::uint64_t term = 0;
    milliseconds left{0};
};

//! The state of all open jobs: the accepted jobs with all journal records applied in order.
struct job_table
{
    std::map<job_id, job_state> jobs;
    std::set<job_id> jobsWithWaitingTasks;
    std::map<std::string, worker_load, std::less<>> loads;
    //! By queue.
    std::map<std::string, assigned_batch, std::less<>> assignedBatch;
    //! Next due time of each job with scheduled occurrences, in milliseconds since the epoch.
    std::set<std::pair<std::int64_t, job_id>> timers;
    //! By incarnation of the worker.
    std::map<std::string, handed_lease> handedLeases;
    //! Jobs that have ended and were not taken over by ended_jobs yet.
    std::vector<job_id> newlyEnded;
};

//! Adds an accepted job. Does nothing if a job with the same id is present.
void addJob(job_table &table, job accepted);
//! Opens every occurrence that is due at \a unixNow.
void openDueOccurrences(job_table &table, time_point unixNow);
//! Marks the job \a id as cancelled. Returns false if it is unknown or has ended.
bool cancelJob(job_table &table, const job_id &id);
//! Removes the job \a id, which has ended and of which no run is assigned. Returns the number of journal
//! records that had changed it.
std::size_t removeJob(job_table &table, const job_id &id);
//! Frees what only open jobs need of the job \a id, which has ended and of which no run is assigned.
void releaseTasks(job_table &table, const job_id &id);
//! Applies \a record. Returns false, without a change, if it does not match the current state.
bool apply(job_table &table, const journal_record &record);

bool isFinal(job_status status);
//! Returns whether the tasks of \a spec are batch tasks with guaranteed resources.
bool isGuaranteedBatch(const step_spec &spec);
//! Returns whether all steps that \a step depends on are done.
bool isReady(const job_state &jobState, const occurrence_state &occurrence, std::uint32_t step);
//! Returns the state of the task; null if the table has no such task.
const task_state *findTask(const job_table &table, const task_name &name);
const step_spec *findStep(const job_table &table, const task_name &name);
//! Returns the checkpoint that the newest run of \a name resumes from; empty if it begins anew.
std::string checkpointOf(const job_table &table, const task_name &name);
//! Returns the run of \a name that is assigned to \a worker; 0 for none.
std::uint32_t assignedRun(const job_table &table, std::string_view worker, const task_name &name);
//! Returns whether the end of \a run as done still counts although the run is not assigned any more: it was
//! taken for lost while its worker was silent, and the task waits.
bool countsIfDone(const job_table &table, const task_name &name, std::uint32_t run);

//! Returns records that assign all runs of the incarnation \a from to the incarnation \a to of the same
//! worker.
std::vector<journal_record> recordMoves(const job_table &table, std::string_view from, const std::string &to);

//! Encodes \a record for the journal.
nlohmann::json encodeRecord(const journal_record &record);
//! Inverse of encodeRecord(). Throws nlohmann::json::exception or std::invalid_argument for a malformed
//! record.
journal_record decodeRecord(const nlohmann::json &in);

} // namespace almond::jobs
