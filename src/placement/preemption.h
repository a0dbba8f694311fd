#pragma once

#include "placement/plan.h"

#include <set>
#include <vector>

namespace almond::placement {

//! Returns the batch attempts to evict so that urgent jobs that fit on no worker can start. \a evicting holds
//! the attempts chosen earlier that have not ended yet; their resources count as free.
std::vector<attempt_id> planPreemption(const cell_state &cell, const config::config_document &config,
                                       const plan_inputs &inputs, const std::set<attempt_id> &evicting);

} // namespace almond::placement
