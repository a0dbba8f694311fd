#include "jobs/listed_runs.h"

namespace almond::jobs {

namespace {

//! The same as findStep() for a task of the job \a jobState.
const step_spec *stepOf(const job_state &jobState, const task_name &name)
{
    if (name.step >= jobState.spec.steps.size())
        return nullptr;
    const auto occurrence = jobState.occurrences.find(name.occurrence);
    const bool exists = occurrence != jobState.occurrences.end()
        && name.index < occurrence->second.steps[name.step].tasks.size();
    return exists ? &jobState.spec.steps[name.step] : nullptr;
}

} // namespace

std::uint32_t assignedRun(const worker_load &load, const task_name &name)
{
    const auto run = load.runs.find(name);
    return run == load.runs.end() ? 0 : run->second;
}

std::vector<listed_run> listRuns(const job_table &table, std::string_view worker,
                                 std::span<const running_report> running)
{
    std::vector<listed_run> runs;
    if (running.empty())
        return runs;
    runs.reserve(running.size());
    const auto load = table.loads.find(worker);
    for (const running_report &row : running) {
        listed_run &run = runs.emplace_back();
        run.report = &row;
        const auto jobEntry = table.jobs.find(row.task.job);
        if (jobEntry != table.jobs.end()) {
            run.spec = stepOf(jobEntry->second, row.task);
            run.isOpen = !isFinal(jobEntry->second.status);
        }
        run.isAssigned = (load == table.loads.end() ? 0 : assignedRun(load->second, row.task)) == row.run;
    }
    return runs;
}

bool isServing(const step_spec *spec)
{
    return spec && spec->longRunning && spec->tailLatencyTarget.count() > 0;
}

bool isBestEffort(const step_spec *spec)
{
    return spec && spec->bestEffort;
}

} // namespace almond::jobs
