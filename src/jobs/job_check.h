#pragma once

#include "jobs/job.h"
#include "settings/findings.h"

namespace almond::jobs {

//! Bounds on a job that is handed in.
struct job_limits
{
    std::size_t payloadBytes = 4000;
    std::size_t steps = 1000;
    std::uint32_t tasks = 100'000;
    std::uint32_t repetitions = 100'000;
};

//! All that makes \a candidate a job that can never run as written; empty for a good one.
settings::findings checkJob(const job &candidate, const job_limits &limits);

//! Tells whether \a id is 16 hexadecimal digits.
bool isJobId(std::string_view id);

} // namespace almond::jobs
