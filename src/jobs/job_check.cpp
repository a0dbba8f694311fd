#include "jobs/job_check.h"

#include <algorithm>
#include <cctype>

namespace almond::jobs {

namespace {

constexpr std::size_t idLength = 16;

void checkStep(const step_spec &step, std::size_t index, settings::findings &found)
{
    const std::string place = "/steps/" + std::to_string(index);
    if (step.count == 0)
        found.push_back({place + "/count", "must be at least 1"});
    const resources &demand = step.demand;
    if (demand.millicores < 0 || demand.memoryMb < 0 || demand.accelerators < 0)
        found.push_back({place, "a task can't need less than nothing"});
    for (const std::uint32_t earlier : step.after) {
        if (earlier >= index)
            found.push_back({place + "/after", "must name earlier steps only"});
    }
}

} // namespace

bool isJobId(std::string_view id)
{
    return id.size() == idLength
        && std::all_of(id.begin(), id.end(), [](unsigned char digit) { return std::isxdigit(digit) != 0; });
}

settings::findings checkJob(const job &candidate, const job_limits &limits)
{
    settings::findings found;
    if (!isJobId(candidate.id))
        found.push_back({"/id", "must be 16 hexadecimal digits"});
    if (candidate.payload.size() > limits.payloadBytes)
        found.push_back({"/spec", "is longer than " + std::to_string(limits.payloadBytes) + " bytes"});
    if (candidate.steps.empty() || candidate.steps.size() > limits.steps)
        found.push_back({"/steps", "must hold 1 to " + std::to_string(limits.steps) + " steps"});
    if (candidate.repetitions > limits.repetitions)
        found.push_back({"/repetitions", "must be at most " + std::to_string(limits.repetitions)});
    std::uint64_t tasks = 0;
    for (std::size_t index = 0; index < candidate.steps.size(); ++index) {
        checkStep(candidate.steps[index], index, found);
        tasks += candidate.steps[index].count;
    }
    if (tasks > limits.tasks)
        found.push_back({"/steps", "hold more than " + std::to_string(limits.tasks) + " tasks"});
    return found;
}

} // namespace almond::jobs
