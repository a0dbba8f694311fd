#pragma once

#include "jobs/missed_turns.h"
#include "jobs/wait_cause.h"

#include <array>
#include <string>
#include <vector>

namespace almond::jobs {

//! Thresholds for reports on waiting tasks and jobs.
struct wait_monitor_rules
{
    //! Shortest time between the begins of two scans of the waiting tasks.
    milliseconds scanInterval{500};
    //! The interval is at least this multiple of the time that the last scan took, so that scans of a long
    //! backlog take a bounded share of the owner's time.
    int scanIntervalFactor = 20;
    //! Upper limit of the interval, however long scans take.
    milliseconds longestScanInterval{2000};
    //! A long-running task that has not run for this long is logged, and again after the second limit.
    std::array<milliseconds, 2> longRunningLimits{milliseconds(6000), milliseconds(9000)};
    //! A job without a running task is logged when workers have had free capacity for it for this long.
    milliseconds idleLimit{3000};
    std::size_t linesPerSecond = 20;
    //! Time between two removals of data on ended jobs.
    milliseconds pruneInterval{10'000};
};

//! The end of the newest run of a task.
struct known_end
{
    std::uint32_t run = 0;
    time_point at{};
};

//! A long-running task that does not run, or whose run cannot be observed.
struct task_downtime
{
    task_name task;
    //! Its newest run when the downtime began.
    std::uint32_t lastRun = 0;
    std::uint32_t newestRun = 0;
    time_point since{};
    time_point accountedUntil{};
    //! How long the task has waited for each cause.
    std::array<milliseconds, waitCauseCount> timeByCause{};
    //! Number of entries of longRunningLimits that have been exceeded.
    std::size_t limitsPassed = 0;
};

//! A job without a running task although workers have free capacity for it.
struct idle_job
{
    time_point since{};
    time_point seenAt{};
    bool logged = false;
    bool counted = false;
};

//! Results of one scan, for metrics.
struct scan_findings
{
    //! Time from the end of a run of a long-running task to the beginning of its next run, for tasks that run
    //! again.
    std::vector<milliseconds> gaps;
    //! Long-running tasks that have exceeded a limit in this scan, by limit and cause.
    std::array<std::array<std::size_t, waitCauseCount>, 2> overLimit{};
    //! Jobs that have exceeded the idle limit in this scan.
    std::size_t idleJobs = 0;
    //! A task that could run, for each of these jobs that is logged.
    std::vector<task_name> idleTasks;
    std::size_t longRunningDown = 0;
    milliseconds longestWait{};
};

//! A log message with its fields.
struct log_line
{
    std::string message;
    nlohmann::json fields;
};

//! Monitors waiting tasks during one term, for logs and metrics only: it influences no decision.
struct wait_monitor
{
    wait_monitor_rules rules;
    std::map<task_name, known_end> ends;
    //! Sorted by task.
    std::vector<task_downtime> downtimes;
    std::map<job_id, idle_job> idle;
    missed_turns missedTurns;
    scan_findings found;
    //! The longest gap of this term.
    milliseconds longestGap{};
    time_point nextScanAt{};
    time_point prunedAt{};
    time_point windowStart{};
    std::size_t linesInWindow = 0;
    std::size_t suppressedLines = 0;
};

//! Records the end of a run by \a record, which was applied to the job table at the view's time.
void recordEnd(wait_monitor &monitor, const fleet_view &view, const journal_record &record);
//! Records the runs that end because the lease or the incarnation of \a session has ended. They are known to
//! have run until the worker's last response only. Must be called before recordEnd(). Returns false if all of
//! these ends are known already.
bool recordExpiredRuns(wait_monitor &monitor, const fleet_view &view, const worker_session &session,
                       std::span<const journal_record> expired);

//! Since when \a task has not run, where \a lastRun is its newest run that began. This is the end of that
//! run; before the first run, the time of acceptance or the due time; and the beginning of this term if an
//! earlier owner saw the end.
time_point waitingSince(const wait_monitor &monitor, const fleet_view &view, const task_name &task,
                        std::uint32_t lastRun);

//! Time from one scan to the next if the last one took from \a begun to \a ended.
milliseconds scanIntervalAfter(const wait_monitor_rules &rules, time_point begun, time_point ended);

//! Scans the waiting tasks. Stores the findings in \a monitor and returns the lines to be logged.
std::vector<log_line> scanWaiting(wait_monitor &monitor, const fleet_view &view);

//! Describes for the log why the runs in \a expired count as ended.
nlohmann::json describeExpiry(const worker_session &session, const fleet_view &view,
                              std::span<const journal_record> expired);

} // namespace almond::jobs
