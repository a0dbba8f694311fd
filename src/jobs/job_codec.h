#pragma once

#include "jobs/job.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace almond::jobs {

//! Encodes a job for the store and for messages between processes. Members that have their default value are
//! omitted.
nlohmann::json encodeJob(const job &value);
//! Inverse of encodeJob(). Throws nlohmann::json::exception for a malformed document.
job decodeJob(const nlohmann::json &document);

//! What the store keeps in place of a job that was cancelled before it was accepted.
std::string encodeTombstone();
//! Whether \a text is a tombstone; false for a job and for malformed text.
bool isTombstone(std::string_view text);

//! Formats a task name as JOB.OCCURRENCE.STEP.INDEX.
std::string formatTask(const task_name &name);
//! Inverse of formatTask(). Returns nothing for malformed text.
std::optional<task_name> parseTask(std::string_view text);

std::string_view statusName(job_status status);
std::optional<job_status> statusNamed(std::string_view name);

} // namespace almond::jobs
