#pragma once

#include "kernel/time.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace almond::observe {

//! Severity of a log line, lowest first.
enum class log_level { debug, info, warning, error };

//! Starts logging to standard output, one JSON object per line, for severities from \a minimum. Each line has
//! the member "process" with the value \a process.
void startLog(std::string_view process, log_level minimum);

//! Sets the lowest severity that is written.
void setLogLevel(log_level minimum);

//! Returns the severity with the name \a name, or info if there is none.
log_level levelNamed(std::string_view name);

//! Writes one log line with the members time, level, process, message and all members of \a fields.
void log(log_level level, std::string_view message, const nlohmann::json &fields = nlohmann::json::object());

//! The same for a message that outside input can cause at any rate: writes at most limitedLinesPerSecond
//! lines with one message in a second, and adds "leftOut", the number of lines since the last one that were
//! not written.
void logLimited(log_level level, std::string_view message, nlohmann::json fields, kernel::time_point now);

inline constexpr int limitedLinesPerSecond = 5;

} // namespace almond::observe
