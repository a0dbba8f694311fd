// The worker's part of the model.

#include "tests/unit/session_orders_model.h"

#include "tests/unit/job_fixtures.h"

#include <algorithm>

namespace almond::tests {

using jobs::order_outcome;
using jobs::order_refusal;

namespace {

//! The worker's own limit of a lease; well over that of the owner, as on some sites.
constexpr std::int64_t longestLeaseMs = 10'000;

void extendLease(model_state &state, std::int64_t leaseEndMs)
{
    const std::int64_t longest = clockOf(state) + longestLeaseMs;
    state.worker.leaseEndMs = std::max(state.worker.leaseEndMs, std::min(leaseEndMs, longest));
}

} // namespace

jobs::task_name modelTask()
{
    return {onlyJob, 0, 0, 0};
}

std::int64_t clockOf(const model_state &state)
{
    return state.nowMs - state.worker.clockBeganMs;
}

jobs::worker_info listingOf(const model_state &state)
{
    jobs::worker_info info = worker("w");
    info.bornMs = state.worker.bornMs;
    return info;
}

void endRun(model_worker &worker, jobs::run_end end)
{
    jobs::ended_report row;
    row.number = ++worker.endCount;
    row.task = modelTask();
    row.run = worker.running;
    row.end = end;
    worker.highestEnded = std::max(worker.highestEnded, worker.running);
    worker.ended.push_back(row);
    worker.running = 0;
    worker.stopping = false;
}

jobs::order_response respond(const model_state &state, order_refusal why)
{
    jobs::order_response response;
    response.outcome = why == order_refusal::none ? order_outcome::accepted : order_outcome::refused;
    response.refusal = why;
    // Another incarnation than the one that the order is meant for does not read it.
    if (why != order_refusal::restarted)
        response.workerClockMs = clockOf(state);
    return response;
}

jobs::order_response executeStart(model_state &state, std::uint32_t run, std::int64_t leaseEndMs)
{
    model_worker &worker = state.worker;
    if (run <= worker.highestEnded || run < worker.running)
        return respond(state, order_refusal::obsolete);
    if (leaseEndMs <= clockOf(state))
        return respond(state, order_refusal::deadlinePassed);
    if (worker.running == 0 && state.countedAsOver.contains(run))
        state.violation = "run " + std::to_string(run) + " starts after it was counted as over";
    if (worker.running != 0 && worker.running != run)
        state.violation
            = "run " + std::to_string(run) + " starts beside run " + std::to_string(worker.running);
    worker.running = run;
    extendLease(state, leaseEndMs);
    return respond(state);
}

void executeStop(model_state &state, std::uint32_t run)
{
    state.worker.highestEnded = std::max(state.worker.highestEnded, run);
    state.worker.stopping = state.worker.stopping || state.worker.running == run;
}

void executePoll(model_state &state, std::uint64_t acknowledge, std::optional<std::int64_t> leaseEndMs)
{
    for (const jobs::ended_report &row : state.worker.ended) {
        const jobs::task_state &task = *jobs::findTask(state.table, modelTask());
        const bool open = task.phase == jobs::task_phase::assigned && task.run == row.run;
        const bool read = std::any_of(state.queued.begin(), state.queued.end(),
                                      [&](const auto &record) { return record.run == row.run; });
        if (row.number <= acknowledge && open && !read)
            state.violation
                = "the worker forgets the end of run " + std::to_string(row.run) + ", which was not read";
    }
    std::erase_if(state.worker.ended, [&](const auto &row) { return row.number <= acknowledge; });
    if (leaseEndMs)
        extendLease(state, *leaseEndMs);
}

} // namespace almond::tests
