#pragma once

#include "jobs/worker_session.h"
#include "placement/worker_health.h"

#include <map>
#include <set>
#include <span>
#include <utility>

namespace almond::jobs {

using placement::run_evidence;
using placement::worker_health;

//! Longest quarantine of a worker. A lost long-running task must run again within 3 s if healthy workers have
//! free capacity, even if these have only just recovered. The remaining time is for planning and the start
//! order.
inline constexpr milliseconds maximumQuarantine{2500};

//! Parameters for evaluating a worker by its runs.
struct evaluation_rules
{
    //! Two failures within a few runs quarantine a worker: only a few runs end on it while its fault lasts,
    //! and a task has only two or three attempts.
    placement::quarantine_rules quarantine{0.14, 1.5, milliseconds(2000), maximumQuarantine};
    //! Number of failures of one step that count against workers. After these, a step that fails more often
    //! than it succeeds is considered faulty itself.
    std::uint32_t stepFaultFailures = 2;
    //! Number of completed tasks of a step that is needed to compare durations.
    std::uint32_t minSamples = 3;
    //! A run is slow if it takes this many times the mean duration of its step.
    double slowFactor = 2.0;
    //! A run must also exceed the mean by this much, which covers the delay of reports.
    milliseconds slowMargin{400};
    //! If more than this share of the workers is quarantined, the cause is not the workers, and all of them
    //! are used.
    double largestQuarantinedShare = 0.34;
};

//! Durations of the completed tasks of one step.
struct step_duration
{
    std::uint32_t ends = 0;
    milliseconds sum{0};
};

//! Durations by step; the key is the first task of the step.
using step_durations = std::map<task_name, step_duration>;

//! Health of one incarnation of a worker, as inferred from its runs.
struct worker_evaluation
{
    worker_health health;
    //! Runs that were found to be slow; each counts once.
    std::set<std::pair<task_name, std::uint32_t>> slowRuns;
};

//! What the failure of \a task indicates about its worker, before the failure is applied to \a table.
run_evidence failureEvidence(const job_table &table, const evaluation_rules &rules, const task_name &task);

//! Returns whether a run of \a task that has taken \a elapsed on \a worker is slow compared with other tasks
//! of its step. Steps whose speed depends on neighbours or gang members, and runs on other racks than their
//! data, are not compared.
bool isSlowRun(const job_table &table, const step_durations &durations, const evaluation_rules &rules,
               const worker_info &worker, const task_name &task, milliseconds elapsed);

//! Adds the new ended runs and the running tasks of one poll response to \a evaluation and \a durations. Must
//! be called before the response is applied to \a session and \a table. \a runs are the running ones.
void evaluatePoll(worker_evaluation &evaluation, step_durations &durations, const evaluation_rules &rules,
                  const worker_session &session, const poll_response &response,
                  std::span<const listed_run> runs, const job_table &table, time_point now);

//! Removes the durations of steps whose jobs have ended.
void pruneStepDurations(step_durations &durations, const job_table &table);

} // namespace almond::jobs
