#include "jobs/worker_evaluation.h"

#include <algorithm>
#include <optional>

namespace almond::jobs {

namespace {

task_name firstTaskOfStep(task_name task)
{
    task.index = 0;
    return task;
}

//! Whether the durations of the tasks of a step on \a worker can be compared.
bool hasComparableDuration(const step_spec &spec, const worker_info &worker)
{
    return !spec.longRunning && !spec.bestEffort && !spec.gang
        && (spec.dataRack.empty() || hasLabel(worker, spec.dataRack));
}

//! Returns how long the run has been in progress; nothing for a run that an earlier owner started, or one
//! that was replaced.
std::optional<milliseconds> elapsedOf(const worker_session &session, const task_name &task, std::uint32_t run,
                                      time_point now)
{
    const auto accepted = session.acceptedRuns.find(task);
    if (accepted == session.acceptedRuns.end() || accepted->second.first != run)
        return std::nullopt;
    return now - accepted->second.second;
}

//! Whether a run of a step with comparable durations is slow.
bool isSlow(const step_durations &durations, const evaluation_rules &rules, const task_name &task,
            milliseconds elapsed)
{
    const auto known = durations.find(firstTaskOfStep(task));
    if (known == durations.end() || known->second.ends < rules.minSamples)
        return false;
    const double mean
        = static_cast<double>(known->second.sum.count()) / static_cast<double>(known->second.ends);
    const auto limit = milliseconds(static_cast<std::int64_t>(rules.slowFactor * mean));
    return elapsed > limit && elapsed - rules.slowMargin > milliseconds(static_cast<std::int64_t>(mean));
}

void evaluateEnd(worker_evaluation &evaluation, step_durations &durations, const evaluation_rules &rules,
                 const worker_session &session, const ended_report &row, const job_table &table,
                 time_point now)
{
    const auto known = evaluation.slowRuns.find({row.task, row.run});
    const bool wasSlow = known != evaluation.slowRuns.end();
    if (wasSlow)
        evaluation.slowRuns.erase(known);
    run_evidence evidence = run_evidence::none;
    const auto elapsed = elapsedOf(session, row.task, row.run, now);
    if (row.end == run_end::failed)
        evidence = failureEvidence(table, rules, row.task);
    if (row.end == run_end::done && !wasSlow) {
        const bool slow = elapsed && isSlowRun(table, durations, rules, session.info, row.task, *elapsed);
        evidence = slow ? run_evidence::slowness : run_evidence::success;
    }
    placement::recordEvidence(evaluation.health, rules.quarantine, evidence, now);
    const step_spec *spec = findStep(table, row.task);
    if (row.end == run_end::done && elapsed && spec && hasComparableDuration(*spec, session.info)) {
        step_duration &duration = durations[firstTaskOfStep(row.task)];
        ++duration.ends;
        duration.sum += *elapsed;
    }
}

} // namespace

run_evidence failureEvidence(const job_table &table, const evaluation_rules &rules, const task_name &task)
{
    const auto jobEntry = table.jobs.find(task.job);
    if (jobEntry == table.jobs.end())
        return run_evidence::none;
    const auto occurrence = jobEntry->second.occurrences.find(task.occurrence);
    if (occurrence == jobEntry->second.occurrences.end() || task.step >= occurrence->second.steps.size())
        return run_evidence::none;
    const step_state &step = occurrence->second.steps[task.step];
    std::uint32_t failures = 0;
    for (const task_state &state : step.tasks)
        failures += state.failures;
    const bool ownFault = failures >= rules.stepFaultFailures && failures >= step.done;
    return ownFault ? run_evidence::none : run_evidence::failure;
}

bool isSlowRun(const job_table &table, const step_durations &durations, const evaluation_rules &rules,
               const worker_info &worker, const task_name &task, milliseconds elapsed)
{
    const step_spec *spec = findStep(table, task);
    return spec && hasComparableDuration(*spec, worker) && isSlow(durations, rules, task, elapsed);
}

void evaluatePoll(worker_evaluation &evaluation, step_durations &durations, const evaluation_rules &rules,
                  const worker_session &session, const poll_response &response,
                  std::span<const listed_run> runs, const job_table &table, time_point now)
{
    if (response.result.outcome != order_outcome::accepted)
        return;
    for (const ended_report &row : response.ended) {
        const bool fresh
            = row.number > session.endsRead && assignedRun(table, session.incarnation, row.task) == row.run;
        if (fresh)
            evaluateEnd(evaluation, durations, rules, session, row, table, now);
    }
    for (const listed_run &run : runs) {
        if (!run.spec || !hasComparableDuration(*run.spec, session.info))
            continue;
        const running_report &row = *run.report;
        const auto elapsed = elapsedOf(session, row.task, row.run, now);
        const bool isSlowNow = elapsed && isSlow(durations, rules, row.task, *elapsed);
        if (isSlowNow && evaluation.slowRuns.emplace(row.task, row.run).second)
            placement::recordEvidence(evaluation.health, rules.quarantine, run_evidence::slowness, now);
    }
}

void pruneStepDurations(step_durations &durations, const job_table &table)
{
    std::erase_if(durations, [&table](const auto &entry) {
        const auto jobEntry = table.jobs.find(entry.first.job);
        return jobEntry == table.jobs.end() || isFinal(jobEntry->second.status);
    });
}

} // namespace almond::jobs
