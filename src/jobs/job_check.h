#pragma once

#include "jobs/job.h"
#include "settings/findings.h"

namespace almond::jobs {

//! Upper bounds for a submitted job.
struct job_limits
{
    std::size_t payloadBytes = 4000;
    std::size_t steps = 1000;
    std::uint32_t tasks = 100'000;
    std::uint32_t repetitions = 100'000;
};

//! Returns every error in \a candidate that would keep it from ever running; empty for a valid job.
settings::findings checkJob(const job &candidate, const job_limits &limits);

//! Returns whether \a id consists of 16 hexadecimal digits.
bool isJobId(std::string_view id);

} // namespace almond::jobs
