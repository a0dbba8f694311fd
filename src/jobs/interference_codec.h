#pragma once

#include "jobs/interference_model.h"

#include <nlohmann/json.hpp>

namespace almond::jobs {

//! Encodes the learned pairs of \a model for the next owner: slack that one core takes, by serving image and
//! best-effort image.
nlohmann::json encodePairs(const interference_model &model);

//! Uses the pairs that an earlier owner has learned as priors of \a model. Skips malformed rows. Returns the
//! number of pairs used.
std::size_t inheritPairs(interference_model &model, const nlohmann::json &pairs);

} // namespace almond::jobs
