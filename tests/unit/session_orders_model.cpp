#include "tests/unit/session_orders_model.h"

#include "tests/unit/job_fixtures.h"

#include <algorithm>
#include <array>

namespace almond::tests {

using jobs::journal_record;
using jobs::order_outcome;
using jobs::order_refusal;
using jobs::time_point;

namespace {

//! Longer than a lease with its margin and drift.
constexpr std::int64_t pauseMs = 6200;
const jobs::session_rules sessionRules;
const jobs::task_name onlyTask = modelTask();

time_point nowOf(const model_state &state)
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
        state.stops.push_back({run, false, false});
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
}

void applyListing(model_state &state)
{
    state.session->listed = state.listed && state.session->info.bornMs == state.worker.bornMs;
}

//! Removes the session if job_owner would: nothing is left to do, and nothing holds it.
void forgetUnused(model_state &state)
{
    if (!state.session || state.session->listed || state.poll || !state.starts.empty() || !state.stops.empty()
        || state.planned)
        return;
    if (!state.table.loads.contains(state.session->incarnation) && state.session->pendingStarts.empty())
        state.session.reset();
}

bool prepareCommit(model_state &state)
{
    if (state.committing || !state.session)
        return false;
    const std::size_t before = state.queued.size();
    for (const journal_record &record : std::exchange(state.queued, {}))
        jobs::apply(state.table, record);
    jobs::worker_session &session = *state.session;
    state.committingEnds = {session.incarnation, session.endsRead};
    const jobs::task_state &task = *jobs::findTask(state.table, onlyTask);
    const bool plan = task.phase == jobs::task_phase::waiting && state.left.runs > 0
        && jobs::acceptsNewTasks(session, sessionRules, nowOf(state));
    if (plan) {
        --state.left.runs;
        const std::uint32_t run = task.run + 1;
        jobs::apply(state.table, started(onlyTask, run, session.incarnation));
        jobs::recordPendingStart(session, onlyTask, run);
        state.planned.emplace();
        state.planned->run = run;
        state.planned->worker = session.incarnation;
    }
    state.committing = true;
    return plan || before > 0 || session.endsRead > session.endsDurable;
}

bool finishCommit(model_state &state)
{
    if (!state.committing)
        return false;
    state.committing = false;
    if (state.session && state.session->incarnation == state.committingEnds.first)
        state.session->endsDurable = std::max(state.session->endsDurable, state.committingEnds.second);
    if (state.planned)
        state.starts.push_back(*std::exchange(state.planned, std::nullopt));
    return true;
}

bool sendStart(model_state &state, std::size_t index)
{
    if (index >= state.starts.size() || state.starts[index].order || state.starts[index].stopping)
        return false;
    start_procedure &start = state.starts[index];
    jobs::worker_session &session = *state.session;
    if (jobs::assignedRun(state.table, session.incarnation, onlyTask) != start.run) {
        endProcedure(state, index);
        return true;
    }
    const bool obstacle
        = !session.listed || session.incarnation != start.worker || start.attempt > state.left.startAttempts;
    if (obstacle && start.mayHaveArrived) {
        const std::size_t stopsBefore = state.stops.size();
        beginStop(state, start.run);
        start.stopping = true;
        // A second stopRun() of the same run returns at once.
        if (state.stops.size() == stopsBefore)
            endProcedure(state, index);
        return true;
    }
    if (obstacle) {
        queue(state, {ended(onlyTask, start.run, jobs::run_end::notStarted)}, false);
        endProcedure(state, index);
        return true;
    }
    start_under_way order;
    order.sentAt = nowOf(state);
    order.leaseEndMs = jobs::nextLeaseEnd(session, sessionRules, nowOf(state)).value_or(0);
    jobs::recordGrantedLease(session, order.leaseEndMs, sessionRules);
    start.order = order;
    return true;
}

bool executeStartOrder(model_state &state, std::size_t index)
{
    if (index >= state.starts.size() || !state.starts[index].order || state.starts[index].order->response)
        return false;
    start_procedure &start = state.starts[index];
    start.order->response = executeStart(state, start.run, start.order->leaseEndMs);
    return true;
}

bool refuseStart(model_state &state, std::size_t index)
{
    if (index >= state.starts.size() || !state.starts[index].order || state.starts[index].order->response
        || state.left.lateRefusals-- == 0)
        return false;
    state.starts[index].order->response = respond(state, order_refusal::unhealthy);
    return true;
}

bool receiveStart(model_state &state, std::size_t index)
{
    if (index >= state.starts.size() || !state.starts[index].order || !state.starts[index].order->response)
        return false;
    start_procedure &start = state.starts[index];
    const jobs::order_response response = *start.order->response;
    start.order.reset();
    jobs::recordResponse(*state.session, response, nowOf(state));
    if (response.outcome == order_outcome::accepted || response.refusal == order_refusal::obsolete) {
        jobs::recordAcceptedRun(*state.session, onlyTask, start.run, nowOf(state));
        endProcedure(state, index);
        return true;
    }
    const bool again
        = response.refusal == order_refusal::deadlinePassed && start.attempt < state.left.startAttempts;
    ++start.attempt;
    if (start.mayHaveArrived || again)
        return true;
    queue(state, {ended(onlyTask, start.run, jobs::run_end::notStarted)}, false);
    endProcedure(state, index);
    return true;
}

bool loseStart(model_state &state, std::size_t index)
{
    if (index >= state.starts.size() || !state.starts[index].order || state.left.lostResponses-- == 0)
        return false;
    start_procedure &start = state.starts[index];
    if (!start.order->response)
        state.strays.push_back({state.worker.bornMs, start.run, 0, start.order->leaseEndMs});
    jobs::recordMissingResponse(*state.session, start.order->sentAt);
    start.mayHaveArrived = true;
    ++start.attempt;
    start.order.reset();
    return true;
}

void endStop(model_state &state, std::size_t index)
{
    const std::uint32_t run = state.stops[index].run;
    state.stops.erase(state.stops.begin() + static_cast<std::ptrdiff_t>(index));
    for (std::size_t start = 0; start < state.starts.size(); ++start) {
        if (state.starts[start].run == run && state.starts[start].stopping) {
            jobs::recordStartStopped(*state.session, onlyTask, run, nowOf(state));
            endProcedure(state, start);
            break;
        }
    }
}

bool sendStop(model_state &state, std::size_t index)
{
    if (index >= state.stops.size() || state.stops[index].sent)
        return false;
    state.stops[index].sent = true;
    return true;
}

bool executeStop(model_state &state, std::size_t index)
{
    if (index >= state.stops.size() || !state.stops[index].sent || state.stops[index].executed)
        return false;
    state.stops[index].executed = true;
    state.worker.highestEnded = std::max(state.worker.highestEnded, state.stops[index].run);
    state.worker.stopping = state.worker.stopping || state.worker.running == state.stops[index].run;
    return true;
}

bool receiveStop(model_state &state, std::size_t index)
{
    if (index >= state.stops.size() || !state.stops[index].executed)
        return false;
    jobs::recordResponse(*state.session, respond(state), nowOf(state));
    endStop(state, index);
    return true;
}

bool loseStop(model_state &state, std::size_t index)
{
    if (index >= state.stops.size() || !state.stops[index].sent || state.left.lostResponses-- == 0)
        return false;
    state.stops[index].sent = false;
    state.stops[index].executed = false;
    if (nowOf(state) > jobs::leaseEnd(*state.session))
        endStop(state, index);
    return true;
}

bool sendPoll(model_state &state)
{
    if (state.poll || !state.session || state.left.polls-- == 0)
        return false;
    jobs::worker_session &session = *state.session;
    const bool hasRuns = state.table.loads.contains(session.incarnation);
    const bool needed = hasRuns || session.endsRead > session.endsDurable
        || jobs::hasUnacknowledgedEnds(session) || !session.fenced || !session.clock
        || !session.running.empty();
    if (!needed)
        return false;
    state.poll.emplace();
    state.poll->sentAt = nowOf(state);
    state.poll->incarnation = session.incarnation;
    state.poll->order.acknowledge = jobs::nextAcknowledgement(session);
    if (hasRuns && !jobs::isUnresponsive(session, sessionRules, nowOf(state)))
        state.poll->order.leaseEndMs = jobs::nextLeaseEnd(session, sessionRules, nowOf(state));
    if (state.poll->order.leaseEndMs)
        jobs::recordGrantedLease(session, *state.poll->order.leaseEndMs, sessionRules);
    return true;
}

bool makeList(model_state &state)
{
    if (!state.poll || state.poll->response)
        return false;
    executePoll(state, state.poll->order.acknowledge, state.poll->order.leaseEndMs);
    jobs::poll_response response;
    response.result = respond(state);
    response.bornMs = state.worker.bornMs;
    response.ended = state.worker.ended;
    if (state.worker.running != 0)
        response.running.push_back({onlyTask, state.worker.running, "", 100, 0});
    state.poll->response = response;
    return true;
}

bool receivePoll(model_state &state)
{
    if (!state.poll || !state.poll->response)
        return false;
    const poll_under_way poll = *std::exchange(state.poll, std::nullopt);
    if (jobs::isOtherIncarnation(*state.session, *poll.response)) {
        if (state.session->incarnation != poll.incarnation)
            return true;
        replaceIncarnation(state, poll.response->bornMs);
        applyListing(state);
    }
    const std::uint64_t acknowledged
        = state.session->incarnation == poll.incarnation ? poll.order.acknowledge : 0;
    queue(
        state,
        jobs::applyPoll(*state.session, *poll.response, state.table, poll.sentAt, nowOf(state), acknowledged),
        true);
    for (const jobs::unwanted_run &run : jobs::unwantedRuns(*state.session, state.table))
        beginStop(state, run.run);
    return true;
}

bool losePoll(model_state &state)
{
    if (!state.poll || state.left.lostResponses-- == 0)
        return false;
    const poll_under_way poll = *std::exchange(state.poll, std::nullopt);
    jobs::recordMissingResponse(*state.session, poll.sentAt, poll.order.wait);
    if (!poll.response)
        state.strays.push_back(
            {state.worker.bornMs, 0, poll.order.acknowledge, poll.order.leaseEndMs.value_or(0)});
    return true;
}

bool executeStray(model_state &state, std::size_t index)
{
    if (index >= state.strays.size())
        return false;
    const stray_order order = state.strays[index];
    state.strays.erase(state.strays.begin() + static_cast<std::ptrdiff_t>(index));
    if (order.bornMs != state.worker.bornMs)
        return false;
    if (order.run == 0)
        executePoll(state, order.acknowledge, order.leaseEndMs);
    else
        executeStart(state, order.run, order.leaseEndMs);
    return true;
}

bool list(model_state &state)
{
    const bool known = state.session && state.session->incarnation == jobs::incarnationOf(listingOf(state));
    if (state.listed && known)
        return false;
    state.listed = true;
    if (!state.session)
        state.session = jobs::openSession(listingOf(state), time_point{});
    else if (!known)
        replaceIncarnation(state, state.worker.bornMs);
    applyListing(state);
    return true;
}

bool lapse(model_state &state)
{
    if (!state.listed || state.left.lapses-- == 0)
        return false;
    state.listed = false;
    if (state.session)
        applyListing(state);
    return true;
}

bool restart(model_state &state)
{
    if (state.left.restarts-- == 0)
        return false;
    model_worker next;
    next.bornMs = state.worker.bornMs + 1;
    next.clockBeganMs = state.nowMs;
    state.worker = next;
    return true;
}

bool checkLeases(model_state &state)
{
    if (!state.session || !state.queued.empty())
        return false;
    const auto expired = jobs::expiredRuns(*state.session, sessionRules, state.table, nowOf(state));
    queue(state, expired, false);
    return !expired.empty();
}

bool happen(model_state &state, event which, std::size_t index)
{
    switch (which) {
    case event::prepareCommit:
        return index == 0 && prepareCommit(state);
    case event::finishCommit:
        return index == 0 && finishCommit(state);
    case event::sendStart:
        return sendStart(state, index);
    case event::executeStart:
        return executeStartOrder(state, index);
    case event::receiveStart:
        return receiveStart(state, index);
    case event::loseStart:
        return loseStart(state, index);
    case event::sendStop:
        return sendStop(state, index);
    case event::executeStop:
        return executeStop(state, index);
    case event::receiveStop:
        return receiveStop(state, index);
    case event::loseStop:
        return loseStop(state, index);
    case event::endStoppedRun:
        if (index > 0 || !state.worker.stopping)
            return false;
        endRun(state.worker, jobs::run_end::stopped);
        return true;
    case event::sendPoll:
        return index == 0 && sendPoll(state);
    case event::makeList:
        return index == 0 && makeList(state);
    case event::receivePoll:
        return index == 0 && receivePoll(state);
    case event::losePoll:
        return index == 0 && losePoll(state);
    case event::executeStrayPoll:
        return index < state.strays.size() && state.strays[index].run == 0 && executeStray(state, index);
    case event::executeStrayStart:
        return index < state.strays.size() && state.strays[index].run != 0 && executeStray(state, index);
    case event::failRun:
        if (index > 0 || state.worker.running == 0 || state.left.failures-- == 0)
            return false;
        endRun(state.worker, jobs::run_end::failed);
        return true;
    case event::lapse:
        return index == 0 && lapse(state);
    case event::list:
        return index == 0 && list(state);
    case event::restart:
        return index == 0 && restart(state);
    case event::pause:
        if (index > 0 || state.left.pauses-- == 0)
            return false;
        state.nowMs += pauseMs;
        return true;
    case event::checkLeases:
        return index == 0 && checkLeases(state);
    case event::refuseStart:
        return refuseStart(state, index);
    }
    return false;
}

} // namespace

const char *nameOf(event which)
{
    static constexpr std::array<const char *, eventCount> names{
        "prepare commit",   "finish commit", "send start",   "execute start", "receive start response",
        "lose start",       "send stop",     "execute stop", "receive stop",  "lose stop",
        "stopped run ends", "send poll",     "make list",    "receive poll",  "lose poll",
        "stray poll",       "stray start",   "run fails",    "entry lapses",  "list names the worker",
        "worker restarts",  "pause",         "check leases", "refuse start"};
    return names.at(static_cast<std::size_t>(which));
}

model_state makeModel(const event_budget &budget)
{
    model_state state;
    state.left = budget;
    state.session = jobs::openSession(listingOf(state), time_point{});
    jobs::addJob(state.table, makeJob(onlyJob, {tests::step(1, 500)}));
    // Nothing is placed on a worker that has not responded yet.
    ++state.left.polls;
    for (const event first : {event::sendPoll, event::makeList, event::receivePoll})
        state = step(state, first, 0).value();
    return state;
}

std::optional<model_state> step(const model_state &before, event which, std::size_t index)
{
    model_state state = before;
    ++state.nowMs;
    if (!happen(state, which, index))
        return std::nullopt;
    if (state.worker.running != 0 && clockOf(state) >= state.worker.leaseEndMs)
        endRun(state.worker, jobs::run_end::stopped);
    forgetUnused(state);
    return state;
}

} // namespace almond::tests
