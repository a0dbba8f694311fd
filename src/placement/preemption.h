#pragma once

#include "placement/plan.h"

#include <set>
#include <vector>

namespace almond::placement {

//! Batch attempts to evict so that urgent jobs that fit nowhere can start. \a evicting holds those chosen
//! before whose end is still awaited; their room counts as coming free.
std::vector<attempt_id> planPreemption(const cell_state &cell, const config::config_document &config,
                                       const plan_inputs &inputs, const std::set<attempt_id> &evicting);

} // namespace almond::placement
