#pragma once

#include "kernel/time.h"
#include "placement/types.h"

#include <set>
#include <string>

namespace almond::placement {

//! Bounds of the quarantine of workers.
struct quarantine_rules
{
    //! Different jobs that fail in a row, each for the first time, before a worker is quarantined.
    std::size_t jobs = 3;
    kernel::milliseconds firstPause{10'000};
    kernel::milliseconds longestPause{600'000};
};

//! How the attempts at one worker have ended lately.
struct worker_health
{
    std::set<std::string> failedJobs;
    int quarantines = 0;
    time_point quarantinedUntil{};
};

//! Takes the end of an attempt into account. \a failuresBefore is how often the job failed before, at any
//! worker: a job that fails everywhere says nothing about this worker.
void recordEnd(worker_health &health, const quarantine_rules &rules, const std::string &job,
               attempt_outcome outcome, std::uint32_t failuresBefore, time_point now);

//! Tells whether the worker gets no work at \a now.
bool isQuarantined(const worker_health &health, time_point now);

} // namespace almond::placement
