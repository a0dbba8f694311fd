#pragma once

#include "placement/cell_state.h"

#include <set>
#include <string>
#include <vector>

namespace almond::placement {

//! Jobs and workers that the records of a batch change. Planning skips them until the batch is committed.
struct changed_ids
{
    std::set<std::string, std::less<>> jobs;
    std::set<std::string> workers;
};

//! Returns the \a records that still apply to \a cell, without duplicates: workers may report the end of an
//! attempt several times before it is committed. Before the new incarnation of a worker, it inserts records
//! that end the attempts assigned to the old one.
std::vector<cell_record> filterRecords(const cell_state &cell, std::vector<cell_record> records);

//! Returns the jobs and workers that \a records change.
changed_ids idsChangedBy(std::span<const cell_record> records);

} // namespace almond::placement
