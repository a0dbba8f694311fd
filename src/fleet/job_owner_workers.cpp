// The part of job_owner that talks to workers.

#include "fleet/job_owner.h"

#include "jobs/job_codec.h"
#include "observe/log.h"

namespace almond::fleet {

using jobs::journal_record;
using jobs::order_outcome;
using jobs::order_refusal;
using jobs::order_response;
using jobs::run_end;
using kernel::task;
using observe::log_level;

void job_owner::takeWorker(const std::string &id, const std::optional<jobs::worker_info> &info)
{
    const std::string incarnation = info ? jobs::incarnationOf(*info) : "";
    std::string &known = m_incarnations[id];
    const auto previous = m_workers.find(known);
    if (!known.empty() && known != incarnation && previous != m_workers.end()) {
        previous->second->session.listed = false;
        // A worker has one life at a time: a new one proves that the earlier one is over.
        previous->second->session.dead = previous->second->session.dead || info.has_value();
        observe::log(log_level::info, "worker left the list",
                     {{"worker", known}, {"replacedBy", incarnation}});
        previous->second->signal.wake();
    }
    if (!info) {
        m_incarnations.erase(id);
        return;
    }
    known = incarnation;
    const auto found = m_workers.find(incarnation);
    if (found != m_workers.end()) {
        found->second->session.info = *info;
        found->second->session.listed = true;
        if (m_loaded)
            drive(found->second);
        m_commitSignal.wake();
        return;
    }
    auto worker = std::make_shared<driven_worker>(m_context.get_executor());
    worker->session = jobs::openSession(*info, m_inheritedUntil);
    m_workers[incarnation] = worker;
    if (m_loaded)
        drive(worker);
}

void job_owner::drive(const driven_ptr &worker)
{
    if (worker->driving || worker->session.info.address.empty())
        return;
    worker->driving = true;
    kernel::spawn(m_context.get_executor(), driveWorker(shared_from_this(), worker));
}

jobs::order_target job_owner::targetOf(const driven_worker &worker) const
{
    return {worker.session.info.id, worker.session.info.address, m_term.term};
}

bool job_owner::needsLook(const driven_worker &worker, time_point now) const
{
    const jobs::worker_session &session = worker.session;
    const bool clockOld = !session.clock || now - session.clock->at > m_services.rules.clockValidity;
    return m_book.loads.contains(session.incarnation) || session.endsRead > session.endsDurable
        || !session.fenced || clockOld || !session.running.empty();
}

milliseconds job_owner::lookWaitFor(const driven_worker &worker) const
{
    const auto load = m_book.loads.find(worker.session.incarnation);
    const bool unanswered = worker.session.unansweredSince != time_point{};
    if (load == m_book.loads.end() || !worker.session.fenced || unanswered)
        return milliseconds(0);
    const bool close = load->second.bestEffortMillicores > 0 && load->second.longRunningMillicores > 0;
    if (close && !worker.pace.targetMisses.empty())
        return m_services.rules.excessLookWait;
    return close ? m_services.rules.closeLookWait : m_services.rules.lookWait;
}

task<void> job_owner::driveWorker(self_ptr, driven_ptr worker)
{
    while (!m_over && !worker->session.dead) {
        const bool known = m_workers.contains(worker->session.incarnation);
        if (!known)
            break;
        if (!needsLook(*worker, m_services.clock())) {
            co_await worker->signal.wait(m_services.rules.clockValidity);
            continue;
        }
        // An answer returns at once while it holds ends that were not acknowledged.
        if (worker->session.endsRead > worker->session.endsDurable)
            co_await worker->signal.wait(m_services.rules.closeLookWait);
        if (!m_over)
            co_await lookOnce(worker);
    }
    worker->driving = false;
}

task<void> job_owner::lookOnce(driven_ptr worker)
{
    const time_point sentAt = m_services.clock();
    jobs::poll_order order;
    order.acknowledge = worker->session.endsDurable;
    order.wait = lookWaitFor(*worker);
    const bool hasRuns = m_book.loads.contains(worker->session.incarnation);
    if (hasRuns && m_services.mayRenew()
        && !jobs::isUnresponsive(worker->session, m_services.rules.sessions, sentAt))
        order.leaseEndMs = jobs::nextLeaseEnd(worker->session, m_services.rules.sessions, sentAt);
    if (order.leaseEndMs)
        jobs::recordGrantedLease(worker->session, *order.leaseEndMs, m_services.rules.sessions);
    ++m_counters.looks;
    const jobs::poll_response answer = co_await m_services.workers.poll(targetOf(*worker), order);
    const time_point now = m_services.clock();
    const order_response &result = answer.result;
    if (result.outcome == order_outcome::refused && result.refusal == order_refusal::fenced) {
        resign("a worker has seen a later term");
        co_return;
    }
    if (result.outcome == order_outcome::refused && result.refusal == order_refusal::otherIncarnation)
        worker->session.dead = true;
    if (result.outcome != order_outcome::accepted) {
        ++m_counters.looksFailed;
        jobs::recordMissingResponse(worker->session, sentAt, order.wait);
        observe::log(log_level::info, "look at a worker failed",
                     {{"worker", worker->session.incarnation}, {"detail", result.detail}});
        co_await kernel::sleepFor(m_services.rules.retryPause);
        co_return;
    }
    const bool first = !worker->session.fenced;
    judgeWorker(*worker, answer, now);
    observe(jobs::applyPoll(worker->session, answer, m_book, sentAt, now));
    stopUnwanted(worker);
    paceFills(worker, now);
    if (first || worker->session.endsRead > worker->session.endsDurable)
        m_commitSignal.wake();
}

void job_owner::judgeWorker(driven_worker &worker, const jobs::poll_response &answer, time_point now)
{
    const int quarantines = worker.conduct.health.quarantines;
    jobs::evaluatePoll(worker.conduct, m_kin, m_services.rules.conduct, worker.session, answer, m_book, now);
    if (worker.conduct.health.quarantines > quarantines)
        observe::log(log_level::warning, "worker gets no new work: its runs fail or are slow",
                     {{"worker", worker.session.incarnation},
                      {"quarantines", worker.conduct.health.quarantines},
                      {"forMs", (worker.conduct.health.quarantinedUntil - now).count()}});
}

void job_owner::stopUnwanted(const driven_ptr &worker)
{
    for (const jobs::unwanted_run &run : jobs::unwantedRuns(worker->session, m_book)) {
        if (!m_stopping.contains({jobs::formatTask(run.task), run.run}))
            kernel::spawn(m_context.get_executor(), stopRun(shared_from_this(), worker, run.task, run.run));
    }
}

void job_owner::paceFills(const driven_ptr &worker, time_point now)
{
    const std::vector<jobs::running_report> &running = worker->session.running;
    const jobs::interference_rules &rules = m_interference.rules;
    const jobs::resources &capacity = worker->session.info.capacity;
    jobs::learnFromReports(m_interference.model, worker->pace, rules, m_book, capacity, running, now);
    const jobs::mitigation relief
        = jobs::mitigate(worker->pace, m_interference.model, rules, m_book, worker->session, now);
    for (const jobs::throttle_order &order : relief.throttles) {
        observe::log(log_level::info, "pace of a filling task changed",
                     {{"task", jobs::formatTask(order.task)},
                      {"worker", worker->session.incarnation},
                      {"percent", order.percent}});
        kernel::spawn(m_context.get_executor(), orderPace(shared_from_this(), worker, order));
    }
    for (const jobs::unwanted_run &run : relief.moves) {
        observe::log(log_level::info, "filling task moved away from a serving task",
                     {{"task", jobs::formatTask(run.task)},
                      {"run", run.run},
                      {"worker", worker->session.incarnation}});
        kernel::spawn(m_context.get_executor(), stopRun(shared_from_this(), worker, run.task, run.run));
    }
}

task<void> job_owner::orderPace(self_ptr, driven_ptr worker, jobs::throttle_order order)
{
    ++m_counters.paceOrders;
    const order_response answer
        = co_await m_services.workers.throttle(targetOf(*worker), order.task, order.run, order.percent);
    jobs::recordResponse(worker->session, answer, m_services.clock());
    const bool settled
        = answer.outcome == order_outcome::accepted || answer.outcome == order_outcome::refused;
    // The next look decides anew.
    if (!settled)
        worker->pace.percentByRun.erase({order.task, order.run});
    if (answer.refusal == order_refusal::fenced)
        resign("a worker has seen a later term");
}

task<void> job_owner::stopRun(self_ptr, driven_ptr worker, jobs::task_name name, std::uint32_t run)
{
    const std::pair<std::string, std::uint32_t> key(jobs::formatTask(name), run);
    if (m_over || !m_stopping.insert(key).second)
        co_return;
    ++m_counters.stops;
    bool stopped = false;
    while (!stopped && !m_over && !worker->session.dead) {
        const order_response answer = co_await m_services.workers.stop(targetOf(*worker), name, run);
        jobs::recordResponse(worker->session, answer, m_services.clock());
        if (answer.outcome == order_outcome::refused && answer.refusal == order_refusal::fenced)
            resign("a worker has seen a later term");
        stopped = answer.outcome == order_outcome::accepted || answer.outcome == order_outcome::refused;
        const bool leaseOver = m_services.clock() > jobs::leaseEnd(worker->session);
        if (!stopped && leaseOver)
            break;
        if (!stopped)
            co_await kernel::sleepFor(m_services.rules.retryPause);
    }
    m_stopping.erase(key);
    worker->signal.wake();
}

void job_owner::giveBack(driven_worker &worker, const journal_record &record, const std::string &reason)
{
    ++m_counters.startsRefused;
    worker.session.pendingStarts.erase(record.task);
    observe::log(log_level::info, "task not started",
                 {{"task", jobs::formatTask(record.task)},
                  {"run", record.run},
                  {"worker", record.worker},
                  {"reason", reason}});
    journal_record ended = record;
    ended.kind = jobs::record_kind::ended;
    ended.end = run_end::notStarted;
    ended.worker.clear();
    std::vector<journal_record> records;
    records.push_back(std::move(ended));
    observe(std::move(records));
}

bool job_owner::takeStartAnswer(driven_worker &worker, const journal_record &record,
                                const order_response &answer, const start_attempt &attempt)
{
    const time_point now = m_services.clock();
    jobs::recordResponse(worker.session, answer, now);
    // An obsolete run was there and is over, or was stopped before it came; the next look tells which.
    const bool isThere = answer.outcome == order_outcome::accepted
        || (answer.outcome == order_outcome::refused && answer.refusal == order_refusal::obsolete);
    if (isThere) {
        ++m_counters.starts;
        worker.session.acceptedRuns[record.task] = {record.run, now};
        worker.session.pendingStarts.erase(record.task);
        worker.signal.wake();
        return true;
    }
    if (answer.outcome != order_outcome::refused) {
        jobs::recordMissingResponse(worker.session, attempt.sentAt);
        return false;
    }
    if (answer.refusal == order_refusal::fenced) {
        resign("a worker has seen a later term");
        return true;
    }
    if (answer.refusal == order_refusal::otherIncarnation)
        worker.session.dead = true;
    worker.refusedAt = now;
    // The refusal is of this order only; an earlier one without an answer may have been carried out.
    if (attempt.mayHaveArrived && !worker.session.dead)
        return false;
    if (answer.refusal == order_refusal::deadlinePassed && attempt.number < m_services.rules.startAttempts)
        return false;
    giveBack(worker, record, answer.detail);
    return true;
}

task<void> job_owner::startTask(self_ptr self, driven_ptr worker, journal_record record)
{
    start_attempt attempt;
    for (attempt.number = 1; !m_over && !worker->session.dead; ++attempt.number) {
        if (jobs::assignedRun(m_book, record.worker, record.task) != record.run)
            break;
        const auto owner = m_book.jobs.find(record.task.job);
        const bool wanted = !jobs::isFinal(owner->second.status);
        const bool exhausted = attempt.number > m_services.rules.startAttempts;
        if (!attempt.mayHaveArrived && (!wanted || exhausted)) {
            giveBack(*worker, record, wanted ? "the worker can't be reached" : "the job has ended");
            co_return;
        }
        if (attempt.mayHaveArrived && (!wanted || exhausted)) {
            // A run that was stopped before it arrived is refused when it does.
            co_await stopRun(self, worker, record.task, record.run);
            break;
        }
        attempt.sentAt = m_services.clock();
        const auto leaseEnd = jobs::nextLeaseEnd(worker->session, m_services.rules.sessions, attempt.sentAt);
        jobs::recordGrantedLease(worker->session, leaseEnd.value_or(0), m_services.rules.sessions);
        jobs::start_order order;
        order.task = record.task;
        order.run = record.run;
        order.payload = owner->second.spec.payload;
        order.leaseEndMs = leaseEnd.value_or(0);
        if (const jobs::task_state *state = jobs::findTask(m_book, record.task))
            order.checkpoint = state->checkpoint;
        const order_response answer = co_await m_services.workers.start(targetOf(*worker), order);
        attempt.mayHaveArrived = attempt.mayHaveArrived || answer.outcome == order_outcome::unknown;
        if (takeStartAnswer(*worker, record, answer, attempt))
            break;
        co_await kernel::sleepFor(m_services.rules.retryPause);
    }
    worker->session.pendingStarts.erase(record.task);
    const auto owner = m_book.jobs.find(record.task.job);
    const bool unwanted = owner == m_book.jobs.end() || jobs::isFinal(owner->second.status);
    if (unwanted && !m_over && jobs::assignedRun(m_book, record.worker, record.task) == record.run)
        co_await stopRun(self, worker, record.task, record.run);
}

json job_owner::explain(const std::string &id) const
{
    const auto found = m_book.jobs.find(id);
    if (found == m_book.jobs.end())
        return {{"job", id}, {"known", false}};
    const jobs::job_state &owner = found->second;
    json tasks = json::array();
    for (const auto &[number, occurrence] : owner.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const bool ready = jobs::isReady(owner, occurrence, step);
            for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
                const jobs::task_state &state = occurrence.steps[step].tasks[index];
                if (state.phase == jobs::task_phase::done)
                    continue;
                const bool waiting = state.phase == jobs::task_phase::waiting;
                const char *earlier = ready ? "room" : "earlier steps";
                tasks.push_back({{"task", jobs::formatTask({id, number, step, index})},
                                 {"waitsFor", waiting ? earlier : "its end"},
                                 {"run", state.run},
                                 {"failures", state.failures},
                                 {"worker", state.worker}});
            }
        }
    }
    return {{"job", id},
            {"known", true},
            {"queue", owner.spec.queue},
            {"status", jobs::statusName(owner.status)},
            {"acceptedAtMs", owner.spec.acceptedAtMs},
            {"openTasks", std::move(tasks)}};
}

} // namespace almond::fleet
