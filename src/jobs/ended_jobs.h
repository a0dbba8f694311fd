#pragma once

#include "jobs/job_table.h"

#include <deque>
#include <set>
#include <vector>

namespace almond::jobs {

//! Ended jobs that a job_table keeps, so that callers can ask for their status.
struct ended_jobs
{
    struct kept_job
    {
        time_point since{};
        job_id id;
    };

    //! Jobs with runs that go on or records that are not durable yet.
    std::set<job_id> unsettled;
    //! In the order of the times.
    std::deque<kept_job> kept;
};

//! Takes in the jobs of \a table that have ended since the last call. Those of which no run is assigned and
//! that are not among \a uncommitted release their tasks, and are kept from \a now on.
void updateEndedJobs(ended_jobs &ended, job_table &table, const std::set<job_id> &uncommitted,
                     time_point now);

//! Keeps an id from \a now on that was cancelled and of which \a ended knows no job.
void keepUnknown(ended_jobs &ended, const job_id &id, time_point now);

//! Returns the jobs that have been kept for \a retention, the oldest first, at most \a limit.
std::vector<job_id> expiredJobs(const ended_jobs &ended, milliseconds retention, time_point now,
                                std::size_t limit);

//! Forgets the \a count jobs that have been kept longest; the job table keeps them.
void forgetOldest(ended_jobs &ended, std::size_t count);

} // namespace almond::jobs
