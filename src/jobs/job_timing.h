#pragma once

#include "jobs/job_table.h"

#include <map>
#include <optional>
#include <vector>

namespace almond::jobs {

//! Start and end times of one step, on the monotonic clock.
struct step_times
{
    //! When the first and the newest start of a task were decided.
    time_point firstStart{};
    time_point newestStart{};
    time_point newestEnd{};
    std::uint32_t starts = 0;
    std::uint32_t failures = 0;
    //! Runs that were stopped, lost or not started.
    std::uint32_t repeats = 0;
};

//! Times of the steps of one occurrence.
struct occurrence_times
{
    //! When this owner applied the first record of the occurrence.
    time_point knownSince{};
    std::vector<step_times> steps;
};

//! Times of open jobs, by job id and occurrence. Kept in memory only: a new owner measures from the beginning
//! of its term.
using job_timings = std::map<std::pair<job_id, std::uint32_t>, occurrence_times>;

//! Updates the times with \a record, which was applied to \a table at \a now.
void recordTiming(job_timings &timings, const job_table &table, const journal_record &record, time_point now);

//! Returns how long before \a now the first task of an occurrence was started; nothing if this owner has
//! started none.
std::optional<milliseconds> sinceFirstStart(const occurrence_times &times, time_point now);

//! Describes an ended occurrence for the log. For each step: how long it waited for free capacity after the
//! steps that it depends on were done, from its first to its newest start, and how long its last task ran,
//! all in milliseconds.
nlohmann::json describeTiming(const occurrence_times &times, const job &spec);

//! Removes the times of \a job and returns them by occurrence if the job has ended. Returns nothing for an
//! open or unknown job.
std::vector<std::pair<std::uint32_t, occurrence_times>>
takeEndedTimings(job_timings &timings, const job_table &table, const job_id &job);

} // namespace almond::jobs
