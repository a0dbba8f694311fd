#include "jobs/job_timing.h"

#include <algorithm>

namespace almond::jobs {

namespace {

using nlohmann::json;

time_point readyAt(const occurrence_times &times, const step_spec &spec)
{
    time_point ready = times.knownSince;
    for (const std::uint32_t earlier : spec.after)
        ready = std::max(ready, times.steps[earlier].newestEnd);
    return ready;
}

} // namespace

void recordTiming(job_timings &timings, const job_table &table, const journal_record &record, time_point now)
{
    const auto jobEntry = table.jobs.find(record.task.job);
    const bool startsOrEnds = record.kind == record_kind::started || record.kind == record_kind::ended;
    if (!startsOrEnds || jobEntry == table.jobs.end())
        return;
    const bool cancelled = jobEntry->second.status == job_status::cancelled;
    if (cancelled && !timings.contains({record.task.job, record.task.occurrence}))
        return;
    occurrence_times &times = timings[{record.task.job, record.task.occurrence}];
    if (times.steps.empty()) {
        times.knownSince = now;
        times.steps.resize(jobEntry->second.spec.steps.size());
    }
    step_times &step = times.steps[record.task.step];
    if (record.kind == record_kind::started) {
        if (step.firstStart == time_point{})
            step.firstStart = now;
        step.newestStart = now;
        ++step.starts;
        return;
    }
    step.newestEnd = now;
    step.failures += record.end == run_end::failed ? 1 : 0;
    step.repeats += record.end != run_end::failed && record.end != run_end::done ? 1 : 0;
}

std::optional<milliseconds> sinceFirstStart(const occurrence_times &times, time_point now)
{
    std::optional<milliseconds> longest;
    for (const step_times &step : times.steps) {
        if (step.firstStart != time_point{})
            longest = std::max(longest.value_or(milliseconds(0)), now - step.firstStart);
    }
    return longest;
}

json describeTiming(const occurrence_times &times, const job &spec)
{
    json steps = json::array();
    for (std::size_t index = 0; index < times.steps.size(); ++index) {
        const step_times &step = times.steps[index];
        const step_spec &asked = spec.steps[index];
        const time_point ready = readyAt(times, asked);
        const time_point ran = std::max(step.newestStart, times.knownSince);
        steps.push_back({{"count", asked.count},
                         {"fills", asked.bestEffort},
                         {"gang", asked.gang},
                         {"declaredMs", asked.declaredDuration.count()},
                         {"waitMs", std::max<std::int64_t>(0, (step.firstStart - ready).count())},
                         {"spreadMs", (step.newestStart - step.firstStart).count()},
                         {"lastRunMs", std::max<std::int64_t>(0, (step.newestEnd - ran).count())},
                         {"starts", step.starts},
                         {"failures", step.failures},
                         {"repeats", step.repeats}});
    }
    return steps;
}

std::vector<std::pair<std::uint32_t, occurrence_times>>
takeEndedTimings(job_timings &timings, const job_table &table, const job_id &job)
{
    std::vector<std::pair<std::uint32_t, occurrence_times>> closed;
    const auto jobEntry = table.jobs.find(job);
    const bool ended = jobEntry == table.jobs.end() || isFinal(jobEntry->second.status);
    const auto first = timings.lower_bound({job, 0});
    auto last = first;
    for (; ended && last != timings.end() && last->first.first == job; ++last)
        closed.emplace_back(last->first.second, std::move(last->second));
    timings.erase(first, last);
    return closed;
}

} // namespace almond::jobs
