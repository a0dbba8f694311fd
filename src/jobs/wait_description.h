#pragma once

#include "jobs/wait_cause.h"

#include <nlohmann/json.hpp>

//! Descriptions of workers for log lines on waiting tasks.
namespace almond::jobs {

nlohmann::json describeFittingWorkers(const fitting_workers &workers);
//! Describes the lease of \a session and since when its worker has not responded.
nlohmann::json describeSession(const worker_session &session, const fleet_view &view);

} // namespace almond::jobs
