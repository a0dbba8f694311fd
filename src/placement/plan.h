#pragma once

#include "config/config_document.h"
#include "placement/cell_state.h"

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace almond::placement {

//! A worker that may be given work now.
struct candidate_worker
{
    std::string id;
    resources capacity;
    resources available;
};

//! What one round of planning may use and must leave alone.
struct plan_inputs
{
    //! Workers that are reachable, listed, not leaving and not quarantined.
    std::vector<candidate_worker> candidates;
    //! Jobs that the batch in preparation already touches.
    std::set<std::string, std::less<>> changedJobs;
    //! Whether the failure domain is open and the configuration was confirmed recently.
    bool mayStart = false;
    bool domainOpen = true;
    std::size_t cellCount = 1;
    std::size_t maximumStarts = 1000;
};

//! Returns the candidates of \a cell among \a usable.
std::vector<candidate_worker> candidateWorkers(const cell_state &cell, const std::set<std::string> &usable);

//! The share of \a team's quota that one of \a cellCount cells may use; unlimited for an unlisted team.
resources quotaPerCell(const config::config_document &config, std::string_view team, std::size_t cellCount);

//! Returns the index of the candidate that holds \a demand and is the least committed, or -1.
std::ptrdiff_t chooseWorker(std::span<const candidate_worker> candidates, const resources &demand);

//! Plans the next starts, urgent work first, then by time of admission. A job that does not fit is passed
//! over.
std::vector<cell_record> planStarts(const cell_state &cell, const config::config_document &config,
                                    plan_inputs inputs, time_point now);

//! Queued jobs that shall go to another cell, because this one's failure domain is withdrawn or none of
//! its workers is large enough.
std::vector<std::string> jobsToMove(const cell_state &cell, const plan_inputs &inputs, std::size_t limit);

//! Why no worker with one of \a capacities could ever hold \a spec, or an empty string when one could.
std::string impossibleReason(const job_spec &spec, std::span<const resources> capacities,
                             const config::config_document &config);

} // namespace almond::placement
