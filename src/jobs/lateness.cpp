#include "jobs/lateness.h"

#include <algorithm>
#include <vector>

namespace almond::jobs {

namespace {

//! Up to this multiple of its objective a late job is still of some use to its caller.
constexpr int maxUsefulMultiple = 3;

} // namespace

milliseconds criticalPath(const job &spec, const occurrence_state *occurrence)
{
    std::vector<milliseconds> chains(spec.steps.size(), milliseconds(0));
    milliseconds longest{0};
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        const step_spec &step = spec.steps[index];
        for (const std::uint32_t earlier : step.after)
            chains[index] = std::max(chains[index], chains[earlier]);
        const bool done = occurrence && occurrence->steps[index].done == step.count;
        chains[index] += done ? milliseconds(0) : step.declaredDuration;
        longest = std::max(longest, chains[index]);
    }
    return longest;
}

milliseconds completionObjective(const job &spec, const queue_rules &queue)
{
    const auto chain = static_cast<double>(criticalPath(spec, nullptr).count());
    return milliseconds(static_cast<std::int64_t>(queue.stretch * chain)) + queue.targetDuration;
}

time_point occurrenceBegin(const job &spec, std::uint32_t number)
{
    const std::int64_t begunMs = spec.repetitions > 0
        ? spec.firstDueMs + static_cast<std::int64_t>(number) * spec.interval.count()
        : spec.acceptedAtMs;
    return kernel::fromMillis(begunMs);
}

lateness latenessOf(const job_state &jobState, std::uint32_t number, const queue_rules &queue,
                    time_point unixNow)
{
    const job &spec = jobState.spec;
    const milliseconds objective = completionObjective(spec, queue);
    const auto occurrence = jobState.occurrences.find(number);
    const milliseconds remaining
        = criticalPath(spec, occurrence == jobState.occurrences.end() ? nullptr : &occurrence->second);
    const milliseconds ends = unixNow + remaining - occurrenceBegin(spec, number);
    if (ends <= objective)
        return lateness::inTime;
    return ends <= objective * maxUsefulMultiple ? lateness::late : lateness::farTooLate;
}

} // namespace almond::jobs
