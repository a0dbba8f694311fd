#pragma once

#include "jobs/worker_session.h"
#include "placement/worker_health.h"

#include <map>
#include <set>
#include <utility>

namespace almond::jobs {

using placement::run_evidence;
using placement::worker_health;

//! Longest quarantine of a worker. A lost lasting task must run within 3 s where sound workers have room,
//! also where the only ones have just turned sound; the rest is for planning and the order.
inline constexpr milliseconds maximumQuarantine{2500};

//! Bounds of what the runs on a worker tell about it.
struct evaluation_rules
{
    //! Two failures within a few runs quarantine a worker: few runs end on it in the time that its trouble
    //! lasts, and a task has only two or three attempts.
    placement::quarantine_rules quarantine{0.14, 1.5, milliseconds(2000), maximumQuarantine};
    //! Failures of one step that count against workers; a step that fails more often than it succeeds after
    //! these has a fault of its own.
    std::uint32_t stepFaultFailures = 2;
    //! Ends of a step's tasks that make a duration to compare with.
    std::uint32_t minSamples = 3;
    //! A run is slow when it takes this many times as long as its kin.
    double slowFactor = 2.0;
    //! A run is not slow by less than this, which covers the delay of its reports.
    milliseconds slowMargin{400};
    //! When more than this share of the workers is quarantined, the cause lies elsewhere and all are used.
    double largestQuarantinedShare = 0.34;
};

//! How long the tasks of one step take.
struct step_duration
{
    std::uint32_t ends = 0;
    milliseconds sum{0};
};

//! Durations by step; each is named by its first task.
using step_durations = std::map<task_name, step_duration>;

//! What the runs on one life of a worker tell about it.
struct worker_evaluation
{
    worker_health health;
    //! Runs that were found slow, each counted once.
    std::set<std::pair<task_name, std::uint32_t>> slowRuns;
};

//! What the failure of \a task says of its worker, before it is applied to \a book.
run_evidence failureEvidence(const job_table &table, const evaluation_rules &rules, const task_name &task);

//! Whether a run of \a task that has lasted \a elapsed on \a worker is slow beside \a kin. Durations of steps
//! whose speed depends on their neighbours or members, or of runs away from their data, don't compare.
bool isSlowRun(const job_table &table, const step_durations &durations, const evaluation_rules &rules,
               const worker_info &worker, const task_name &task, milliseconds elapsed);

//! Takes one look's new ends and running tasks into \a conduct and \a kin. Call it before the look is taken
//! into \a session and \a book.
void evaluatePoll(worker_evaluation &evaluation, step_durations &durations, const evaluation_rules &rules,
                  const worker_session &session, const poll_response &answer, const job_table &table,
                  time_point now);

//! Forgets the durations of steps whose jobs have ended.
void pruneStepDurations(step_durations &durations, const job_table &table);

} // namespace almond::jobs
