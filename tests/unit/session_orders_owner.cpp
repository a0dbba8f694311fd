// What the owner's part of the model has in common for its events.

#include "tests/unit/session_orders_owner.h"

#include "tests/unit/job_fixtures.h"

#include <algorithm>

namespace almond::tests {

using jobs::journal_record;

namespace {

const jobs::task_name onlyTask = modelTask();

void stopUnansweredStarts(model_state &state)
{
    const std::map<jobs::task_name, std::uint32_t> unanswered = state.session->unansweredStarts;
    for (const auto &[task, run] : unanswered) {
        const bool assigned = jobs::assignedRun(state.table, state.session->incarnation, task) == run;
        if (!assigned || state.session->pendingStarts.contains(task))
            continue;
        jobs::recordPendingStart(*state.session, task, run);
        beginStop(state, run);
        for (stop_procedure &stop : state.stops)
            stop.settlesStart = stop.settlesStart || stop.run == run;
    }
}

} // namespace

jobs::time_point nowOf(const model_state &state)
{
    return at(state.nowMs);
}

void queue(model_state &state, const std::vector<journal_record> &records, bool fromList)
{
    for (const journal_record &record : records) {
        const bool over = record.kind == jobs::record_kind::ended
            && (record.end == jobs::run_end::lost || record.end == jobs::run_end::notStarted);
        const auto isItsEnd = [&](const jobs::ended_report &row) { return row.run == record.run; };
        if (over && state.worker.running == record.run)
            state.violation = "run " + std::to_string(record.run) + " is counted as over while it runs";
        if (over && fromList && std::any_of(state.worker.ended.begin(), state.worker.ended.end(), isItsEnd))
            state.violation = "run " + std::to_string(record.run) + " is counted as lost, but has an end";
        if (over)
            state.countedAsOver.insert(record.run);
        state.queued.push_back(record);
    }
}

void beginStop(model_state &state, std::uint32_t run)
{
    const auto same = [run](const stop_procedure &stop) { return stop.run == run; };
    if (std::none_of(state.stops.begin(), state.stops.end(), same))
        state.stops.emplace_back().run = run;
}

void endProcedure(model_state &state, std::size_t index)
{
    jobs::recordStartSettled(*state.session, onlyTask, state.starts[index].run);
    state.starts.erase(state.starts.begin() + static_cast<std::ptrdiff_t>(index));
}

void replaceIncarnation(model_state &state, std::int64_t bornMs)
{
    const std::string earlier = state.session->incarnation;
    jobs::restartSession(*state.session, bornMs);
    const auto moves = jobs::recordMoves(state.table, earlier, state.session->incarnation);
    for (const journal_record &record : moves)
        jobs::apply(state.table, record);
    queue(state, moves, false);
    stopUnansweredStarts(state);
}

bool isCut(const model_state &state, std::int64_t connectedToMs)
{
    return connectedToMs != state.worker.bornMs;
}

void applyListing(model_state &state)
{
    state.session->listed = state.listed && state.session->info.bornMs == state.worker.bornMs;
}

void forgetStrays(model_state &state)
{
    std::erase_if(state.strays, [&state](const stray_order &stray) {
        const bool changesNothing = stray.run == 0 && stray.acknowledge == 0 && stray.leaseEndMs == 0;
        const int left
            = stray.run == 0 ? state.left.latePollsAcrossRestarts : state.left.lateOrdersAcrossRestarts;
        return changesNothing || (isCut(state, stray.bornMs) && left == 0);
    });
}

void forgetUnused(model_state &state)
{
    if (!state.session || state.session->listed || state.poll || !state.starts.empty() || !state.stops.empty()
        || state.planned)
        return;
    if (!state.table.loads.contains(state.session->incarnation) && state.session->pendingStarts.empty())
        state.session.reset();
}

} // namespace almond::tests
