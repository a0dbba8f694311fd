#pragma once

#include "jobs/interference_model.h"

#include <nlohmann/json.hpp>

namespace almond::jobs {

//! What \a model has learned of pairs of images, for the next owner: slack that one core takes, by the image
//! that serves and the one that fills.
nlohmann::json encodePairs(const interference_model &model);

//! Makes what an earlier owner had learned the starting point of \a model. Rows that can't be read are left
//! out; returns how many pairs were taken.
std::size_t inheritPairs(interference_model &model, const nlohmann::json &pairs);

} // namespace almond::jobs
