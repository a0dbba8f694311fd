#pragma once

#include "jobs/job_id.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>

namespace almond::jobs {

//! Returns the records of the journal entry \a body that a job_table still needs: those of jobs for which
//! \a isKept holds, and those on leases that an owner of \a term or a later one has handed over. A record
//! that can't be decoded is returned as well.
nlohmann::json liveRecords(const nlohmann::json &body, const std::function<bool(const job_id &)> &isKept,
                           std::uint64_t term);

} // namespace almond::jobs
