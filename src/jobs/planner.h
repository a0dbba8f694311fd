#pragma once

#include "jobs/fleet_config.h"
#include "jobs/interference.h"
#include "jobs/job_table.h"
#include "jobs/worker_info.h"

#include <span>
#include <vector>

namespace almond::jobs {

//! A worker that may be given tasks now, and what is left on it.
struct candidate
{
    std::string incarnation;
    worker_info info;
    //! What firm tasks may still take.
    resources available;
    //! Processor time that tasks that fill may expect, in thousandths of a core.
    std::int64_t spareMillicores = 0;
    std::int64_t bestEffortMillicores = 0;
    //! Tasks that serve there.
    std::vector<serving_view> serving;
    //! Firm batch tasks keep away, so that room for a lasting task that fits nowhere grows here.
    bool reserved = false;
    //! A serving task there is too slow: nothing that fills may come, however harmless it seems.
    bool bestEffortBlocked = false;
};

//! What is known of how tasks disturb one another.
struct interference_view
{
    interference_model model;
    interference_rules rules;
};

//! Returns \a worker as a candidate with \a load taken off; \a load is null for an idle one.
candidate makeCandidate(const worker_info &worker, const worker_load *load);

//! Plans the next starts: by the queues' priority, then lasting tasks that ran before, then tasks that end,
//! then lasting ones that are new, which would take room for good, each by time of acceptance. A step that
//! does not fit is passed over; for a few lasting ones workers are kept free of new batch tasks, so that they
//! get room too. Returns records of the kind started, at most about \a limit of them.
std::vector<journal_record> planStarts(const job_table &table, const fleet_config &config,
                                       const interference_view &interference,
                                       std::vector<candidate> candidates, std::size_t limit,
                                       time_point unixNow);

//! Jobs of which a task, or a gang, has failed as often as its queue allows, among \a touched.
std::vector<std::string> jobsOutOfAttempts(const job_table &table, const fleet_config &config,
                                           std::span<const task_name> touched);

} // namespace almond::jobs
