#include "jobs/worker_conduct.h"

#include <algorithm>
#include <optional>

namespace almond::jobs {

namespace {

task_name firstOfStep(task_name task)
{
    task.index = 0;
    return task;
}

//! Whether durations of the step's tasks on \a worker can be compared.
bool compares(const step_spec &spec, const worker_info &worker)
{
    const bool nearData = spec.dataRack.empty() || hasLabel(worker, spec.dataRack);
    return !spec.lasting && !spec.fills && !spec.gang && nearData;
}

//! How long the run has been at work; empty for one that another owner started, or another run.
std::optional<milliseconds> elapsedOf(const worker_session &session, const task_name &task, std::uint32_t run,
                                      time_point now)
{
    const auto accepted = session.accepted.find(task);
    if (accepted == session.accepted.end() || accepted->second.first != run)
        return std::nullopt;
    return now - accepted->second.second;
}

//! Tells whether the run was found slow for the first time.
bool noteIfSlow(worker_conduct &conduct, const kin_durations &kin, const conduct_rules &rules,
                const worker_session &session, const ledger &book, const task_name &task, std::uint32_t run,
                milliseconds elapsed)
{
    return isSlowRun(book, kin, rules, session.info, task, elapsed)
        && conduct.slowRuns.emplace(task, run).second;
}

void judgeEnd(worker_conduct &conduct, kin_durations &kin, const conduct_rules &rules,
              const worker_session &session, const ended_report &row, const ledger &book, time_point now)
{
    const auto known = conduct.slowRuns.find({row.task, row.run});
    const bool wasSlow = known != conduct.slowRuns.end();
    if (wasSlow)
        conduct.slowRuns.erase(known);
    run_evidence evidence = run_evidence::none;
    const auto elapsed = elapsedOf(session, row.task, row.run, now);
    if (row.end == run_end::failed)
        evidence = failureEvidence(book, rules, row.task);
    if (row.end == run_end::done && !wasSlow) {
        const bool slow = elapsed && isSlowRun(book, kin, rules, session.info, row.task, *elapsed);
        evidence = slow ? run_evidence::slowness : run_evidence::success;
    }
    placement::recordEvidence(conduct.health, rules.quarantine, evidence, now);
    const step_spec *spec = findStep(book, row.task);
    if (row.end == run_end::done && elapsed && spec && compares(*spec, session.info)) {
        kin_duration &duration = kin[firstOfStep(row.task)];
        ++duration.ends;
        duration.sum += *elapsed;
    }
}

} // namespace

run_evidence failureEvidence(const ledger &book, const conduct_rules &rules, const task_name &task)
{
    const auto owner = book.jobs.find(task.job);
    if (owner == book.jobs.end())
        return run_evidence::none;
    const auto occurrence = owner->second.occurrences.find(task.occurrence);
    if (occurrence == owner->second.occurrences.end() || task.step >= occurrence->second.steps.size())
        return run_evidence::none;
    const step_state &step = occurrence->second.steps[task.step];
    std::uint32_t failures = 0;
    for (const task_state &state : step.tasks)
        failures += state.failures;
    const bool ownFault = failures >= rules.tellingFailures && failures >= step.done;
    return ownFault ? run_evidence::none : run_evidence::failure;
}

bool isSlowRun(const ledger &book, const kin_durations &kin, const conduct_rules &rules,
               const worker_info &worker, const task_name &task, milliseconds elapsed)
{
    const auto known = kin.find(firstOfStep(task));
    const step_spec *spec = findStep(book, task);
    if (!spec || !compares(*spec, worker) || known == kin.end() || known->second.ends < rules.kinNeeded)
        return false;
    const double mean
        = static_cast<double>(known->second.sum.count()) / static_cast<double>(known->second.ends);
    const auto limit = milliseconds(static_cast<std::int64_t>(rules.slowFactor * mean));
    return elapsed > limit && elapsed - rules.slowMargin > milliseconds(static_cast<std::int64_t>(mean));
}

void judgeLook(worker_conduct &conduct, kin_durations &kin, const conduct_rules &rules,
               const worker_session &session, const look_answer &answer, const ledger &book, time_point now)
{
    if (answer.result.outcome != order_outcome::accepted)
        return;
    for (const ended_report &row : answer.ended) {
        const bool fresh
            = row.number > session.endsRead && assignedRun(book, session.incarnation, row.task) == row.run;
        if (fresh)
            judgeEnd(conduct, kin, rules, session, row, book, now);
    }
    for (const running_report &row : answer.running) {
        const auto elapsed = elapsedOf(session, row.task, row.run, now);
        if (elapsed && noteIfSlow(conduct, kin, rules, session, book, row.task, row.run, *elapsed))
            placement::recordEvidence(conduct.health, rules.quarantine, run_evidence::slowness, now);
    }
}

void forgetEndedKin(kin_durations &kin, const ledger &book)
{
    std::erase_if(kin, [&book](const auto &entry) {
        const auto owner = book.jobs.find(entry.first.job);
        return owner == book.jobs.end() || isFinal(owner->second.status);
    });
}

} // namespace almond::jobs
