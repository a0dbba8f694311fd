#include "observe/log.h"

#include "kernel/time.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <array>
#include <iostream>

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

} // namespace almond::observe
