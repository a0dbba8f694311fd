#include "tests/unit/session_orders_model.h"

#include "tests/unit/job_fixtures.h"

#include <algorithm>

namespace almond::tests {

namespace {

//! Events are 1 ms apart, and pauses are seconds: how often this fits into an age tells the pauses in it.
constexpr std::int64_t roundingMs = 500;

//! Collects the parts of a state. The times are added at the end, by their order on one clock.
class state_text
{
public:
    explicit state_text(const model_state &state)
        : m_ownerNowMs(state.nowMs)
        , m_workerNowMs(state.nowMs - state.worker.clockBeganMs)
    {
    }

    void add(std::int64_t value) { m_text += std::to_string(value) + ','; }
    void add(const std::string &value) { m_text += value + ','; }
    void addOwnerTime(jobs::time_point time) { m_ownerTimes.push_back(kernel::toMillis(time)); }
    void addWorkerTime(std::int64_t time) { m_workerTimes.push_back(time); }

    std::string finish()
    {
        addTimes(m_ownerTimes, m_ownerNowMs);
        addTimes(m_workerTimes, m_workerNowMs);
        return m_text;
    }

private:
    void addTimes(const std::vector<std::int64_t> &times, std::int64_t nowMs)
    {
        std::vector<std::int64_t> sorted = times;
        std::sort(sorted.begin(), sorted.end());
        sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
        for (const std::int64_t time : times) {
            add(std::lower_bound(sorted.begin(), sorted.end(), time) - sorted.begin());
            add(std::clamp<std::int64_t>((nowMs - time + 100 * roundingMs) / roundingMs, 0, 200));
        }
    }

    std::string m_text;
    std::vector<std::int64_t> m_ownerTimes;
    std::vector<std::int64_t> m_workerTimes;
    std::int64_t m_ownerNowMs;
    std::int64_t m_workerNowMs;
};

void addResponse(state_text &text, const jobs::order_response &response)
{
    text.add(static_cast<int>(response.outcome));
    text.add(static_cast<int>(response.refusal));
    text.addWorkerTime(response.workerClockMs.value_or(0));
}

void addEnds(state_text &text, const std::vector<jobs::ended_report> &ended)
{
    for (const jobs::ended_report &row : ended) {
        text.add(static_cast<std::int64_t>(row.number));
        text.add(row.run);
    }
    text.add("e");
}

void addSession(state_text &text, const jobs::worker_session &session)
{
    text.add(session.incarnation);
    text.add((session.listed ? 1 : 0) + (session.fenced ? 2 : 0) + (session.confirmed ? 4 : 0));
    text.add(static_cast<std::int64_t>(session.endsRead));
    text.add(static_cast<std::int64_t>(session.endsDurable));
    text.add(static_cast<std::int64_t>(session.endsAcknowledged));
    text.add(session.clock ? 1 : 0);
    text.addWorkerTime(session.clock ? session.clock->workerMs : 0);
    text.addOwnerTime(session.clock ? session.clock->at : jobs::time_point{});
    text.addOwnerTime(jobs::leaseEnd(session));
    text.addOwnerTime(session.lastResponseAt);
    text.addOwnerTime(session.unansweredSince);
    for (const auto &[task, stopped] : session.stoppedStarts) {
        text.add(stopped.first);
        text.addOwnerTime(stopped.second);
    }
    for (const auto &[task, accepted] : session.acceptedRuns) {
        text.add(accepted.first);
        text.addOwnerTime(accepted.second);
    }
    text.add("p");
    for (const auto &[task, run] : session.pendingStarts)
        text.add(run);
    text.add("u");
    for (const auto &[task, run] : session.unansweredStarts)
        text.add(run);
    text.add("r");
    for (const jobs::running_report &row : session.running)
        text.add(row.run);
}

void addOrders(state_text &text, const model_state &state)
{
    if (state.poll) {
        text.add("poll " + state.poll->incarnation);
        text.add(state.poll->meantForMs);
        text.add(state.poll->connectedToMs);
        text.addOwnerTime(state.poll->sentAt);
        text.add(static_cast<std::int64_t>(state.poll->order.acknowledge));
        text.addWorkerTime(state.poll->order.leaseEndMs.value_or(0));
        if (state.poll->response) {
            text.add(state.poll->response->bornMs);
            addResponse(text, state.poll->response->result);
            for (const jobs::running_report &row : state.poll->response->running)
                text.add(row.run);
            addEnds(text, state.poll->response->ended);
        }
    }
    for (const start_procedure &start : state.starts) {
        text.add("start " + start.worker);
        text.add(start.run);
        text.add(start.attempt);
        text.add((start.mayHaveArrived ? 1 : 0) + (start.stopping ? 2 : 0) + (start.order ? 4 : 0));
        if (start.order) {
            text.addOwnerTime(start.order->sentAt);
            text.addWorkerTime(start.order->leaseEndMs);
            text.add(start.order->incarnation);
            text.add(start.order->meantForMs);
            text.add(start.order->connectedToMs);
            if (start.order->response)
                addResponse(text, *start.order->response);
        }
    }
    for (const stop_procedure &stop : state.stops) {
        text.add("stop");
        text.add(stop.run);
        text.add((stop.sent ? 1 : 0) + (stop.executed ? 2 : 0) + (stop.settlesStart ? 4 : 0));
        text.add(stop.sentTo);
    }
    for (const stray_order &stray : state.strays) {
        text.add(stray.isStop ? "stray stop" : "stray");
        text.add(stray.bornMs);
        text.add(stray.run);
        text.add(static_cast<std::int64_t>(stray.acknowledge));
        text.addWorkerTime(stray.leaseEndMs);
    }
}

} // namespace

std::string describe(const model_state &state)
{
    state_text text(state);
    const event_budget &left = state.left;
    for (const int count :
         {left.runs, left.polls, left.lostResponses, left.lateRefusals, left.lapses, left.restarts,
          left.pauses, left.failures, left.lateOrdersAcrossRestarts, left.latePollsAcrossRestarts})
        text.add(count);
    const model_worker &worker = state.worker;
    text.add(worker.bornMs);
    text.add(worker.running);
    text.add(worker.stopping ? 1 : 0);
    text.add(worker.highestEnded);
    text.add(static_cast<std::int64_t>(worker.endCount));
    text.addWorkerTime(worker.leaseEndMs);
    addEnds(text, worker.ended);
    text.add((state.listed ? 1 : 0) + (state.session ? 2 : 0) + (state.committing ? 4 : 0));
    if (state.session)
        addSession(text, *state.session);
    const jobs::task_state *task = jobs::findTask(state.table, {onlyJob, 0, 0, 0});
    text.add(static_cast<int>(task->phase));
    text.add(task->run);
    text.add(task->worker);
    for (const jobs::journal_record &record : state.queued) {
        text.add(static_cast<int>(record.kind));
        text.add(record.run);
        text.add(static_cast<int>(record.end));
        text.add(record.worker);
    }
    if (state.committing)
        text.add(state.committingEnds.first + " " + std::to_string(state.committingEnds.second));
    if (state.planned)
        text.add("planned " + std::to_string(state.planned->run) + state.planned->worker);
    addOrders(text, state);
    for (const std::uint32_t run : state.countedAsOver)
        text.add(run);
    return text.finish();
}

} // namespace almond::tests
