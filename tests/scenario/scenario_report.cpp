#include "tests/scenario/scenario_runner.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

//! What a scenario reports: the checked history, the latencies and what its processes used.
namespace almond::scenario {

using kernel::task;

namespace {

constexpr std::size_t longestComplaint = 600;

} // namespace

task<void> scenario_runner::writeCosts()
{
    if (m_options.costsFile.empty())
        co_return;
    json costs;
    for (const auto &[name, cost] : m_processes.costs())
        costs["processes"][name] = {{"cpuSeconds", cost.cpuSeconds}, {"residentKb", cost.residentKb}};
    costs["store"] = co_await call(m_addresses.of("platform", "listen"), http::verb::get, "/admin/stats", {});
    costs["seconds"] = static_cast<double>((kernel::systemNow() - m_startedAt).count()) / 1000.0;
    costs["loads"] = m_loads;
    costs["topology"] = m_document.value("topology", json::object());
    std::ofstream(m_options.costsFile) << costs.dump(2) << '\n';
}

history::events scenario_runner::collect() const
{
    history::events all = m_events;
    for (const auto &file : std::filesystem::directory_iterator(m_options.directory)) {
        if (file.path().extension() != ".jsonl")
            continue;
        history::events more = history::readRecord(file.path().string());
        std::move(more.begin(), more.end(), std::back_inserter(all));
    }
    std::stable_sort(all.begin(), all.end(), [](const json &left, const json &right) {
        return left.at("at").get<std::int64_t>() < right.at("at").get<std::int64_t>();
    });
    return all;
}

history::history_summary scenario_runner::check() const
{
    const history::events all = collect();
    history::history_summary summary;
    history::checkRequests(all, {}, summary);
    history::checkTasks(all, {}, summary);
    return summary;
}

json scenario_runner::latencies() const
{
    json result = {{"p50_ms", 0.0}, {"p99_ms", 0.0}};
    for (const auto &[name, load] : m_loads) {
        for (auto &[key, value] : result.items())
            value = std::max(value.get<double>(), load.value(key, 0.0));
    }
    return result;
}

bool scenario_runner::meets(const json &summary) const
{
    bool all = true;
    const json expected = m_document.value("expect", json::object());
    for (const auto &[name, bound] : expected.items()) {
        const double value = summary.value(name, 0.0);
        const bool held = value >= bound.value("min", value) && value <= bound.value("max", value);
        if (!held)
            std::cout << "expected " << name << " within " << bound.dump() << ", was " << value << '\n';
        all = all && held;
    }
    return all;
}

bool scenario_runner::report()
{
    const history::history_summary found = check();
    for (const history::violation &item : found.violations)
        std::cout << "broken: " << item.promise << ": " << item.text << '\n';
    const json times = latencies();
    json summary = {{"requests", found.requests}, {"answered", found.answered},
                    {"lost", found.lost},         {"doubled", found.doubled},
                    {"not_run", found.notRun},    {"unknown", found.unknown},
                    {"jobs", found.jobs},         {"finished_once", found.finishedOnce},
                    {"p50_ms", times["p50_ms"]},  {"p99_ms", times["p99_ms"]}};
    const bool held = found.violations.empty() && meets(summary);
    std::cout << m_document.value("name", "scenario") << ": " << found.answered << " of " << found.requests
              << " requests answered, " << found.finishedOnce << " of " << found.jobs
              << " jobs finished once, " << found.violations.size() << " promises broken\n"
              << summary.dump() << std::endl;
    return held;
}

void scenario_runner::record(const std::string &event, json fields)
{
    fields["event"] = event;
    fields["at"] = kernel::toMillis(kernel::systemNow());
    m_events.push_back(std::move(fields));
}

void scenario_runner::say(const std::string &text) const
{
    if (m_options.verbose)
        std::cout << "- " << text << std::endl;
}

bool scenario_runner::complain(const std::string &text)
{
    std::cout << "failed: " << text.substr(0, longestComplaint) << std::endl;
    return false;
}

} // namespace almond::scenario
