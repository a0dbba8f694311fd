#pragma once

#include "placement/cell_state.h"

#include <set>
#include <string>
#include <vector>

namespace almond::placement {

//! What the records gathered so far touch; the plan leaves these alone.
struct changed_ids
{
    std::set<std::string, std::less<>> jobs;
    std::set<std::string> workers;
};

//! Keeps of \a records those that still apply to \a cell and are not repeated; workers may report the
//! same end several times before it is committed.
std::vector<cell_record> filterRecords(const cell_state &cell, std::vector<cell_record> records);

//! The jobs and workers that \a records change.
changed_ids idsChangedBy(std::span<const cell_record> records);

} // namespace almond::placement
