#include "tests/scenario/scenario_runner.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

//! The results of a scenario: violations found in its history, request latencies and resource usage.
namespace almond::scenario {

using kernel::task;

namespace {

constexpr std::size_t maximumFailureTextLength = 600;

} // namespace

task<void> scenario_runner::writeUsage()
{
    if (m_options.usageFile.empty())
        co_return;
    json usage;
    for (const auto &[name, processUsage] : m_processes.usageByProcess())
        usage["processes"][name]
            = {{"cpuSeconds", processUsage.cpuSeconds}, {"residentKb", processUsage.residentKb}};
    usage["store"]
        = co_await exchangeJson(m_addresses.of("platform", "listen"), http::verb::get, "/admin/stats", {});
    usage["seconds"] = static_cast<double>((kernel::systemNow() - m_startedAt).count()) / 1000.0;
    usage["loads"] = m_loads;
    usage["topology"] = m_document.value("topology", json::object());
    std::ofstream(m_options.usageFile) << usage.dump(2) << '\n';
}

history::events scenario_runner::collectEvents() const
{
    history::events all = m_events;
    for (const auto &file : std::filesystem::directory_iterator(m_options.directory)) {
        if (file.path().extension() != ".jsonl")
            continue;
        history::events fileEvents = history::readRecordFile(file.path().string());
        std::move(fileEvents.begin(), fileEvents.end(), std::back_inserter(all));
    }
    std::stable_sort(all.begin(), all.end(), [](const json &left, const json &right) {
        return left.at("at").get<std::int64_t>() < right.at("at").get<std::int64_t>();
    });
    return all;
}

history::history_summary scenario_runner::checkHistory() const
{
    const history::events all = collectEvents();
    history::history_summary summary;
    history::checkRequests(all, {}, summary);
    history::checkTasks(all, {}, summary);
    return summary;
}

json scenario_runner::maximumLatencies() const
{
    json result = {{"p50_ms", 0.0}, {"p99_ms", 0.0}};
    for (const auto &[name, load] : m_loads) {
        for (auto &[key, value] : result.items())
            value = std::max(value.get<double>(), load.value(key, 0.0));
    }
    return result;
}

bool scenario_runner::meetsExpectations(const json &summary) const
{
    bool all = true;
    const json expected = m_document.value("expect", json::object());
    for (const auto &[name, bound] : expected.items()) {
        const double value = summary.value(name, 0.0);
        const bool passed = value >= bound.value("min", value) && value <= bound.value("max", value);
        if (!passed)
            std::cout << "expected " << name << " within " << bound.dump() << ", got " << value << '\n';
        all = all && passed;
    }
    return all;
}

bool scenario_runner::reportResults()
{
    const history::history_summary found = checkHistory();
    for (const history::violation &item : found.violations)
        std::cout << "invariant violated: " << item.invariant << ": " << item.description << '\n';
    const json latencies = maximumLatencies();
    json summary = {{"requests", found.requests},
                    {"answered", found.answered},
                    {"lost", found.lost},
                    {"doubled", found.doubled},
                    {"not_run", found.notRun},
                    {"unknown", found.unknown},
                    {"jobs", found.jobs},
                    {"finished_once", found.finishedOnce},
                    {"p50_ms", latencies["p50_ms"]},
                    {"p99_ms", latencies["p99_ms"]}};
    const bool passed = found.violations.empty() && meetsExpectations(summary);
    std::cout << m_document.value("name", "scenario") << ": " << found.answered << " of " << found.requests
              << " requests answered, " << found.finishedOnce << " of " << found.jobs
              << " jobs finished once, " << found.violations.size() << " promises broken\n"
              << summary.dump() << std::endl;
    return passed;
}

void scenario_runner::recordEvent(const std::string &event, json fields)
{
    fields["event"] = event;
    fields["at"] = kernel::toMillis(kernel::systemNow());
    m_events.push_back(std::move(fields));
}

void scenario_runner::logProgress(const std::string &text) const
{
    if (m_options.verbose)
        std::cout << "- " << text << std::endl;
}

bool scenario_runner::reportFailure(const std::string &text)
{
    std::cout << "failed: " << text.substr(0, maximumFailureTextLength) << std::endl;
    return false;
}

} // namespace almond::scenario
