#pragma once

#include "jobs/fleet_config.h"
#include "jobs/job_table.h"
#include "jobs/planner.h"
#include "jobs/worker_session.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

//! Jobs with tasks that are ready to start while nothing of the job runs. Long-running tasks with guaranteed
//! resources don't count: the planner places them early in another way.
namespace almond::jobs {

struct planning_round;

struct idle_state
{
    time_point since{};
    //! Number of assigned runs, none of which is known to be running.
    std::uint32_t assigned = 0;
};

//! Jobs of which nothing is known to be running although a task is ready. Another assigned run begins the
//! time anew, so that a job doesn't start one task after the other while no response arrives.
using idle_times = std::map<job_id, idle_state>;

//! Number of assigned runs that are not known to be running, by job.
using uncertain_runs = std::map<job_id, std::uint32_t>;

struct overdue_rules
{
    //! A job that has been idle for this long is overdue.
    milliseconds idleLimit{1200};
    //! Overdue jobs go first only while at least this share of their service's CPU and memory is not
    //! reserved.
    int leastFreePercent = 45;
    //! Limit on the candidates that one planning round examines to place tasks of overdue jobs, and the
    //! number of these tasks that is permitted on any fleet.
    std::size_t examinedCandidates = 60'000;
    std::size_t leastPlacements = 8;
    //! Ready steps of one job that are tried in one round.
    std::size_t stepsPerJob = 16;
    //! Gangs that fit and are tried in one round: each takes passes over all candidates.
    std::size_t gangAttempts = 8;
    //! One worker in this many is held free of further best-effort tasks for an overdue task that finds too
    //! little CPU anywhere.
    std::size_t workersPerHold = 100;
    //! In each round, tasks of overdue jobs that find too little slack anywhere are placed in spite of it,
    //! one for this many workers: throttling protects the targets of the serving tasks beside them.
    std::size_t workersPerLowSlack = 1000;
    //! In each round, tasks of overdue jobs that find too little CPU anywhere are placed where they share it,
    //! one for this many workers.
    std::size_t workersPerCrowding = 5;
};

//! Returns whether addUncertainRuns() may find any on the worker of \a session.
bool mayHaveUncertainRuns(const worker_session &session, const session_rules &rules, time_point now);
//! Counts the runs in \a load whose start has no response yet, or all of them if the worker of \a session has
//! not responded for long.
void addUncertainRuns(uncertain_runs &uncertain, const worker_session &session, const session_rules &rules,
                      const worker_load &load, time_point now);

//! Updates \a idle from the present state of \a table.
void updateIdleTimes(idle_times &idle, const job_table &table, time_point now,
                     const uncertain_runs &uncertain = {});

//! Returns whether a job is overdue at \a now.
bool hasOverdueJob(const idle_times &idle, const overdue_rules &rules, time_point now);
//! Returns whether a service of \a candidates has so much free that overdue jobs go first there.
bool mayPlaceOverdue(std::span<const candidate> candidates, const overdue_rules &rules);
//! Returns what the waiting tasks have to know of workers if some of them are of overdue jobs.
waiting_demand withOverdueJobs(waiting_demand demand);
//! Returns the ids of the jobs that are overdue at \a now, longest idle first.
std::vector<job_id> overdueJobs(const idle_times &idle, const overdue_rules &rules, time_point now);

//! Places one task, or one gang, of each job in \a overdue before all other work, so that under overload
//! every job makes progress and not only those that can still be in time. Uses up at most half of \a limit.
void placeOverdue(planning_round &round, const fleet_config &config, const overdue_rules &rules,
                  std::span<const job_id> overdue, std::size_t limit);

} // namespace almond::jobs
