#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace almond::observe {

//! Severity of a log line, lowest first.
enum class log_level { debug, info, warning, error };

//! Sends log lines of at least \a minimum to standard output, one JSON object a line, tagged with \a process.
void startLog(std::string_view process, log_level minimum);

//! Changes the lowest level that is written.
void setLogLevel(log_level minimum);

//! Returns the level named \a name; info when there is none of that name.
log_level levelNamed(std::string_view name);

//! Writes one line. \a fields are members of the line beside time, level, process and message.
void log(log_level level, std::string_view message, const nlohmann::json &fields = nlohmann::json::object());

} // namespace almond::observe
