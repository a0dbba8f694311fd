#pragma once

#include "jobs/fleet_config.h"
#include "jobs/job_table.h"

namespace almond::jobs {

//! Whether a job can still end within its objective. Under overload a plain queue makes every job late; jobs
//! that can still be in time go before those that can't, and the latter before those that are far too late.
enum class lateness { inTime, late, farTooLate };

//! The longest chain of declared durations through the steps of \a spec that are not done in \a occurrence;
//! through all of them when \a occurrence is null.
milliseconds criticalPath(const job &spec, const occurrence_state *occurrence);

//! Time within which an occurrence shall end, from its acceptance or due time.
milliseconds completionObjective(const job &spec, const queue_rules &queue);

//! How occurrence \a number of \a owner stands at \a unixNow.
lateness latenessOf(const job_state &owner, std::uint32_t number, const queue_rules &queue,
                    time_point unixNow);

} // namespace almond::jobs
