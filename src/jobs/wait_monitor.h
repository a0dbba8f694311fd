#pragma once

#include "jobs/wait_cause.h"

#include <array>
#include <string>
#include <vector>

namespace almond::jobs {

//! When the watch speaks of a task or a job.
struct wait_monitor_rules
{
    //! Pause between two walks over what waits.
    milliseconds scanInterval{500};
    //! A lasting task that has not run for this long is named, and once more after the second span.
    std::array<milliseconds, 2> longRunningLimits{milliseconds(6000), milliseconds(9000)};
    //! A job with nothing running is named when there has been room for it for this long.
    milliseconds idleLimit{3000};
    std::size_t linesPerSecond = 20;
    //! Pause between two removals of what is known of ended jobs.
    milliseconds pruneInterval{10'000};
};

//! The end of a task's newest run.
struct known_end
{
    std::uint32_t run = 0;
    time_point at{};
};

//! A lasting task that does not run, or can't be seen to run.
struct task_downtime
{
    task_name task;
    //! Its newest run when this began.
    std::uint32_t lastRun = 0;
    std::uint32_t newestRun = 0;
    time_point since{};
    time_point countedTo{};
    //! Time that went to each cause.
    std::array<milliseconds, waitCauseCount> spent{};
    //! How many of the limits it has passed.
    std::size_t limitsPassed = 0;
};

//! A job with nothing running though there is room for it.
struct idle_job
{
    time_point since{};
    time_point seenAt{};
    bool named = false;
    bool counted = false;
};

//! What one walk found, for metrics.
struct scan_findings
{
    //! From the end of a lasting task's run to the begin of the next one, of the tasks that run again.
    std::vector<milliseconds> gaps;
    //! Lasting tasks that have passed a limit in this walk, by limit and cause.
    std::array<std::array<std::size_t, waitCauseCount>, 2> overLimit{};
    //! Jobs that have passed the limit of idle jobs in this walk.
    std::size_t idleJobs = 0;
    std::size_t longRunningDown = 0;
    milliseconds longestWait{};
};

//! A line for the log.
struct log_line
{
    std::string message;
    nlohmann::json fields;
};

//! Follows what waits during one term. Knows nothing that decides anything.
struct wait_monitor
{
    wait_monitor_rules rules;
    std::map<task_name, known_end> ends;
    //! Sorted by task.
    std::vector<task_downtime> downtimes;
    std::map<std::string, idle_job, std::less<>> idle;
    scan_findings found;
    //! The longest gap of the term.
    milliseconds longestGap{};
    time_point scannedAt{};
    time_point prunedAt{};
    time_point secondBegun{};
    std::size_t linesInSecond = 0;
    std::size_t linesLeftOut = 0;
};

//! Takes \a record, an end that was applied to the ledger at the view's time.
void recordEnd(wait_monitor &watch, const fleet_view &view, const journal_record &record);
//! Takes the runs that end with the lease or life of \a session: they are known to have run until its last
//! answer only. Call it before recordEnd(). False when all these ends are known already.
bool recordExpiredRuns(wait_monitor &watch, const fleet_view &view, const worker_session &session,
                       std::span<const journal_record> lapsed);

//! Since when \a task has not run, if \a lastRun is its newest run that began: that run's end, or its
//! acceptance or due time before the first, or the begin of this office when the end was seen by an earlier
//! owner.
time_point waitingSince(const wait_monitor &watch, const fleet_view &view, const task_name &task,
                        std::uint32_t lastRun);

//! Walks over what waits and returns what there is to say; leaves the walk's findings in \a watch.
std::vector<log_line> scanWaiting(wait_monitor &watch, const fleet_view &view);

//! What made the runs in \a lapsed count as over, for the log.
nlohmann::json describeExpiry(const worker_session &session, const fleet_view &view,
                              std::span<const journal_record> lapsed);

} // namespace almond::jobs
