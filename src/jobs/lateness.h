#pragma once

#include "jobs/fleet_config.h"
#include "jobs/job_table.h"

namespace almond::jobs {

//! Whether a job can still complete within its objective. Under overload, first come, first served would make
//! every job late. Jobs that can still be in time therefore go before late ones, and these before jobs that
//! are far too late.
enum class lateness { inTime, late, farTooLate };

//! Sum of the declared durations along the critical path through the steps of \a spec that \a occurrence has
//! not done yet; through all steps if it is null.
milliseconds criticalPath(const job &spec, const occurrence_state *occurrence);

//! Time within which an occurrence should complete, measured from its acceptance or due time.
milliseconds completionObjective(const job &spec, const queue_rules &queue);

//! Unix time from which occurrence \a number of \a spec is to be served: its due time, or the acceptance of
//! the job.
time_point occurrenceBegin(const job &spec, std::uint32_t number);

//! Lateness of occurrence \a number of \a jobState at \a unixNow.
lateness latenessOf(const job_state &jobState, std::uint32_t number, const queue_rules &queue,
                    time_point unixNow);

} // namespace almond::jobs
