#pragma once

#include "jobs/job.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace almond::jobs {

//! The form in which a job lies in the store and travels between processes. Members with their default value
//! are left out.
nlohmann::json encodeJob(const job &value);
//! Inverse of encodeJob(). Throws nlohmann::json::exception for a document of another shape.
job decodeJob(const nlohmann::json &document);

//! JOB.OCCURRENCE.STEP.INDEX.
std::string formatTask(const task_name &name);
//! Inverse of formatTask(); empty for any other text.
std::optional<task_name> parseTask(std::string_view text);

std::string_view statusName(job_status status);
std::optional<job_status> statusNamed(std::string_view name);

} // namespace almond::jobs
