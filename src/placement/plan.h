#pragma once

#include "config/config_document.h"
#include "placement/cell_state.h"

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace almond::placement {

//! A worker to which jobs may be assigned now.
struct candidate_worker
{
    std::string id;
    resources capacity;
    resources available;
};

//! Inputs of one round of planning.
struct plan_inputs
{
    //! Workers that are reachable, listed, not leaving and not quarantined.
    std::vector<candidate_worker> candidates;
    //! Jobs that the batch in preparation already changes; planning skips them.
    std::set<std::string, std::less<>> changedJobs;
    //! Whether the failure domain is not withdrawn and the configuration was confirmed recently.
    bool mayStart = false;
    //! Whether the failure domain is not withdrawn.
    bool domainOpen = true;
    std::size_t cellCount = 1;
    std::size_t maximumStarts = 1000;
};

//! Returns the workers of \a cell whose ids are in \a usable, with their free capacity.
std::vector<candidate_worker> candidateWorkers(const cell_state &cell, const std::set<std::string> &usable);

//! Returns the share of \a team's quota that each of \a cellCount cells may use; unlimited for a team without
//! a quota.
resources quotaPerCell(const config::config_document &config, std::string_view team, std::size_t cellCount);

//! Returns the index of the least committed candidate on which \a demand fits, or -1.
std::ptrdiff_t chooseWorker(std::span<const candidate_worker> candidates, const resources &demand);

//! Assigns queued jobs to workers, urgent jobs first, then by time of admission. A job that does not fit is
//! skipped and does not block the jobs behind it.
std::vector<cell_record> planStarts(const cell_state &cell, const config::config_document &config,
                                    plan_inputs inputs, time_point now);

//! Returns up to \a limit queued jobs to move to another cell, because the failure domain of this cell is
//! withdrawn or none of its workers is large enough.
std::vector<std::string> jobsToMove(const cell_state &cell, const plan_inputs &inputs, std::size_t limit);

//! Returns why \a spec can never run on a worker with one of \a capacities and within its team's quota, or an
//! empty string if it can.
std::string impossibleReason(const job_spec &spec, std::span<const resources> capacities,
                             const config::config_document &config);

} // namespace almond::placement
