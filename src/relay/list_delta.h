#pragma once

#include "jobs/worker_api.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace almond::relay {

//! A row of a list of runs whose percentage, measurement or checkpoint has changed.
struct changed_row
{
    std::uint32_t index = 0;
    int percent = 0;
    std::int64_t measurement = 0;
    //! Set only if the checkpoint has changed.
    std::optional<std::string> checkpoint;
};

//! What has changed between two lists of a worker's runs. Indexes refer to the earlier list.
struct list_delta
{
    std::vector<std::uint32_t> gone; // ascending
    std::vector<changed_row> changed;
    std::vector<jobs::running_report> added;
};

list_delta differenceOf(std::span<const jobs::running_report> before,
                        std::span<const jobs::running_report> after);

//! Returns \a before with \a delta applied: the remaining rows in their order, then the added ones. Throws
//! std::out_of_range if an index is not one of \a before.
std::vector<jobs::running_report> withDelta(std::vector<jobs::running_report> before, list_delta delta);

} // namespace almond::relay
