#pragma once

#include "jobs/job_table.h"

#include <map>
#include <vector>

namespace almond::jobs {

//! Where the time of one step went. Times are on the monotonic clock.
struct step_times
{
    //! The first and the newest start that was decided.
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
    //! When this owner learned of the occurrence: its first record.
    time_point knownSince{};
    std::vector<step_times> steps;
};

//! Times of open jobs, by job and occurrence. Kept in memory only: a new owner counts from its own begin.
using job_timings = std::map<std::pair<std::string, std::uint32_t>, occurrence_times>;

//! Takes \a record, which was applied to \a book at \a now.
void recordTiming(job_timings &accounts, const job_table &table, const journal_record &record,
                  time_point now);

//! What a line about the end of one occurrence says: for each step how long it waited for room after its
//! earlier steps, how long the starts went on, and how long the last of them ran, all in milliseconds.
nlohmann::json describeTiming(const occurrence_times &times, const job &spec);

//! Takes the account of \a job out when it has ended; empty for one that goes on or is not known.
std::vector<std::pair<std::uint32_t, occurrence_times>>
takeEndedTimings(job_timings &accounts, const job_table &table, const std::string &job);

} // namespace almond::jobs
