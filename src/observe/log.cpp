#include "observe/log.h"

#include "kernel/task.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <array>
#include <iostream>
#include <map>

namespace almond::observe {

namespace logging = boost::log;

namespace {

constexpr std::array<std::string_view, 4> levelNames{"debug", "info", "warning", "error"};

std::string &processName()
{
    static std::string name;
    return name;
}

log_level &minimumLevel()
{
    static log_level level = log_level::info;
    return level;
}

} // namespace

void startLog(std::string_view process, log_level minimum)
{
    kernel::setTaskFailureHandler([](const std::string &error) {
        logLimited(log_level::error, "a task ended with an unexpected error", {{"error", error}},
                   kernel::monotonicNow());
    });
    processName() = process;
    minimumLevel() = minimum;
    logging::add_console_log(std::cout, logging::keywords::format = "%Message%",
                             logging::keywords::auto_flush = true);
}

void setLogLevel(log_level minimum)
{
    minimumLevel() = minimum;
}

log_level levelNamed(std::string_view name)
{
    for (std::size_t index = 0; index < levelNames.size(); ++index) {
        if (levelNames[index] == name)
            return static_cast<log_level>(index);
    }
    return log_level::info;
}

void log(log_level level, std::string_view message, const nlohmann::json &fields)
{
    if (level < minimumLevel())
        return;
    nlohmann::ordered_json line;
    line["time"] = kernel::toMillis(kernel::systemNow());
    line["level"] = levelNames[static_cast<std::size_t>(level)];
    line["process"] = processName();
    line["message"] = message;
    for (const auto &[key, value] : fields.items())
        line[key] = value;
    static logging::sources::severity_logger<log_level> logger;
    BOOST_LOG_SEV(logger, level) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void logLimited(log_level level, std::string_view message, nlohmann::json fields, kernel::time_point now)
{
    struct line_count
    {
        kernel::time_point since{};
        int written = 0;
        std::uint64_t leftOut = 0;
    };
    static std::map<std::string, line_count, std::less<>> counts;
    auto found = counts.find(message);
    if (found == counts.end())
        found = counts.emplace(message, line_count{now, 0, 0}).first;
    line_count &count = found->second;
    if (now - count.since >= kernel::milliseconds(1000)) {
        count.since = now;
        count.written = 0;
    }
    if (count.written >= limitedLinesPerSecond) {
        ++count.leftOut;
        return;
    }
    ++count.written;
    if (count.leftOut > 0)
        fields["leftOut"] = std::exchange(count.leftOut, 0);
    log(level, message, fields);
}

} // namespace almond::observe
