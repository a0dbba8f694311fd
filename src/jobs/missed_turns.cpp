#include "jobs/missed_turns.h"

#include <algorithm>

namespace almond::jobs {

namespace {

//! Returns whether \a jobState has a turn: with a task of \a down, or with a step that waits.
bool hasTurn(const turn_rules &rules, const fleet_view &view, const job_state &jobState,
             std::span<const task_name> down, fitting_workers_cache &cache)
{
    const auto mayRun = [&](const task_name &task) {
        const fitting_workers workers = countWorkersFor(view, jobState, task, cache);
        return countWithRoom(workers) >= rules.workers && workers.servicePercent < rules.servicePercent;
    };
    if (std::any_of(down.begin(), down.end(), mayRun))
        return true;
    for (const auto &[number, occurrence] : jobState.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.steps[step].waiting > 0 && isReady(jobState, occurrence, step)
                && mayRun({jobState.spec.id, number, step, 0}))
                return true;
        }
    }
    return false;
}

} // namespace

std::size_t countWithRoom(const fitting_workers &workers)
{
    return workers.usable + workers.quarantined + workers.refusing + workers.unreachable;
}

fitting_workers countWorkersFor(const fleet_view &view, const job_state &jobState, const task_name &task,
                                fitting_workers_cache &cache)
{
    const auto queue = view.config.queues.find(jobState.spec.queue);
    if (queue == view.config.queues.end())
        return {};
    return countFittingWorkers(view, queue->second.service, jobState.spec.steps[task.step], task, cache);
}

void updateMissedTurn(missed_turns &turns, const fleet_view &view, const job_state &jobState,
                      std::span<const task_name> down, fitting_workers_cache &cache)
{
    if (!hasTurn(turns.rules, view, jobState, down, cache))
        return;
    missed_turn &turn = turns.present[jobState.spec.id];
    if (turn.seenAt == time_point{})
        turn.since = view.now;
    turn.seenAt = view.now;
    turns.longest = std::max(turns.longest, view.now - turn.since);
}

void endMissedTurns(missed_turns &turns, time_point now)
{
    std::erase_if(turns.present, [now](const auto &entry) { return entry.second.seenAt != now; });
}

} // namespace almond::jobs
