// The part of job_owner that communicates with workers.

#include "fleet/job_owner.h"

#include "jobs/job_codec.h"
#include "observe/log.h"

#include <prometheus/counter.h>

#include <algorithm>

namespace almond::fleet {

using jobs::journal_record;
using jobs::order_outcome;
using jobs::order_refusal;
using jobs::order_response;
using jobs::run_end;
using kernel::task;
using observe::log_level;

namespace {

//! Whether the worker has carried out an order to stop a run. One that turns it away, for example because it
//! is overloaded, has done nothing: the run may go on, or begin when its start order arrives.
bool isStopped(const order_response &response)
{
    const bool obsolete
        = response.outcome == order_outcome::refused && response.refusal == order_refusal::obsolete;
    // A worker that doesn't understand the order will not understand its repetition either.
    const bool malformed = response.refusal == order_refusal::malformed;
    return response.outcome == order_outcome::accepted || obsolete || malformed;
}

//! Whether the end of the run is known, so that an order to stop it has nothing left to do.
bool hasEnded(const jobs::worker_session &session, const jobs::job_table &table, const jobs::task_name &task,
              std::uint32_t run)
{
    const bool reported
        = std::any_of(session.running.begin(), session.running.end(),
                      [&](const jobs::running_report &row) { return row.run == run && row.task == task; });
    return !reported && jobs::assignedRun(table, session.incarnation, task) != run;
}

} // namespace

void job_owner::startWorkerLoop(const managed_worker_ptr &worker)
{
    if (worker->loopRunning || worker->session.info.address.empty())
        return;
    worker->loopRunning = true;
    kernel::spawn(m_context.get_executor(), workerLoop(shared_from_this(), worker));
}

jobs::order_target job_owner::orderTarget(const managed_worker &worker) const
{
    return {worker.session.info.id, worker.session.info.address, m_term.term, worker.session.info.bornMs};
}

//! Records what \a response to an order to \a sentTo tells of the worker. If it has restarted since, that is
//! nothing about the present incarnation: the clock starts anew. If it has moved, a refusal tells nothing:
//! another worker may have the address.
void job_owner::applyOrderResponse(managed_worker &worker, const jobs::order_target &sentTo,
                                   const order_response &response)
{
    const bool refused = response.outcome == order_outcome::refused;
    const bool concernsIt
        = refused ? jobs::isPresent(worker.session, sentTo) : jobs::isSameIncarnation(worker.session, sentTo);
    if (!concernsIt)
        return;
    jobs::recordResponse(worker.session, response, m_dependencies.clock());
    if (response.refusal == order_refusal::otherIncarnation) {
        worker.session.dead = true;
        worker.signal.wake();
    }
}

task<void> job_owner::stopRun(self_ptr, managed_worker_ptr worker, jobs::task_name name, std::uint32_t run)
{
    const std::pair<std::string, std::uint32_t> key(jobs::formatTask(name), run);
    const bool underWay = m_stopping.contains(key);
    // Whoever waits for the stop must not go on before the other order is settled.
    while (!m_resigned && m_stopping.contains(key))
        co_await kernel::sleepFor(m_dependencies.rules.retryDelay);
    if (m_resigned || underWay)
        co_return;
    m_stopping.insert(key);
    ++m_counters.stops;
    bool stopped = false;
    while (!stopped && !m_resigned && !worker->session.dead) {
        if (hasEnded(worker->session, m_jobTable, name, run))
            break;
        const jobs::order_target sentTo = orderTarget(*worker);
        const order_response response = co_await m_dependencies.workers.stop(sentTo, name, run);
        applyOrderResponse(*worker, sentTo, response);
        if (response.outcome == order_outcome::refused && response.refusal == order_refusal::fenced)
            resign("a worker has seen a later term");
        // The next incarnation knows nothing of what the earlier one has stopped.
        stopped = isStopped(response) && jobs::isSameIncarnation(worker->session, sentTo);
        if (response.outcome == order_outcome::refused) {
            if (m_dependencies.metrics)
                m_dependencies.metrics->refusedStops->Increment();
            observe::logLimited(log_level::info, "stop order refused",
                                {{"task", key.first},
                                 {"run", run},
                                 {"worker", worker->session.incarnation},
                                 {"reason", response.detail}},
                                m_dependencies.clock());
        }
        const bool leaseOver = m_dependencies.clock() > jobs::leaseEnd(worker->session);
        if (!stopped && leaseOver)
            break;
        if (!stopped)
            co_await kernel::sleepFor(m_dependencies.rules.retryDelay);
    }
    m_stopping.erase(key);
    worker->signal.wake();
}

void job_owner::recordNotStarted(managed_worker &worker, const journal_record &record,
                                 const std::string &reason)
{
    ++m_counters.startsRefused;
    jobs::recordStartSettled(worker.session, record.task, record.run);
    observe::logLimited(log_level::info, "task not started",
                        {{"task", jobs::formatTask(record.task)},
                         {"run", record.run},
                         {"worker", record.worker},
                         {"reason", reason}},
                        m_dependencies.clock());
    journal_record ended = record;
    ended.kind = jobs::record_kind::ended;
    ended.end = run_end::notStarted;
    ended.worker.clear();
    std::vector<journal_record> records;
    records.push_back(std::move(ended));
    queueRecords(std::move(records));
}

bool job_owner::handleStartResponse(managed_worker &worker, const journal_record &record,
                                    const order_response &response, const start_attempt &attempt)
{
    if (response.outcome == order_outcome::expired)
        return false;
    const time_point now = m_dependencies.clock();
    applyOrderResponse(worker, attempt.sentTo, response);
    // An obsolete run has ended on the worker, or was stopped before its start order arrived; the next poll
    // shows which.
    const bool runExists = response.outcome == order_outcome::accepted
        || (response.outcome == order_outcome::refused && response.refusal == order_refusal::obsolete);
    // An earlier order without a response may still reach the present incarnation.
    if (runExists && attempt.mayHaveArrived && !jobs::isSameIncarnation(worker.session, attempt.sentTo))
        return false;
    if (runExists) {
        ++m_counters.starts;
        jobs::recordAcceptedRun(worker.session, record.task, record.run, now);
        jobs::recordStartSettled(worker.session, record.task, record.run);
        worker.signal.wake();
        return true;
    }
    const bool isPresent = jobs::isPresent(worker.session, attempt.sentTo);
    if (response.outcome != order_outcome::refused) {
        if (isPresent && response.refusal == order_refusal::connection)
            worker.refusedAt = now;
        if (isPresent)
            jobs::recordMissingResponse(worker.session, attempt.sentAt);
        return false;
    }
    if (response.refusal == order_refusal::fenced) {
        resign("a worker has seen a later term");
        return true;
    }
    if (response.refusal == order_refusal::restarted) {
        countOrderForEarlier();
        worker.signal.wake();
    } else if (isPresent) {
        worker.refusedAt = now;
    }
    // The refusal concerns this order only; an earlier one without a response may have been executed.
    if (attempt.mayHaveArrived && !worker.session.dead)
        return false;
    if (response.refusal == order_refusal::deadlinePassed
        && attempt.number < m_dependencies.rules.startAttempts)
        return false;
    recordNotStarted(worker, record, response.detail);
    return true;
}

//! Why nothing will be started on \a worker; empty if it may be. What was planned is checked
//! again before each order: writing it to the journal may have taken seconds.
std::string job_owner::startObstacle(const managed_worker &worker) const
{
    const jobs::worker_session &session = worker.session;
    if (!session.listed || session.info.leaving)
        return "the worker leaves";
    if (m_dependencies.config()->withdrawnDomains.contains(session.info.failureDomain))
        return "the failure domain of the worker is withdrawn";
    return m_dependencies.mayRenew() ? "" : "another owner may have been elected";
}

//! Whether \a task is a best-effort task and a serving task on \a worker has missed its target for some time.
bool job_owner::disturbsServingTask(const managed_worker &worker, const jobs::task_name &task,
                                    time_point now) const
{
    const jobs::step_spec *spec = jobs::findStep(m_jobTable, task);
    return spec && spec->bestEffort && jobs::isBestEffortBlocked(worker.throttle, m_interference.rules, now);
}

task<void> job_owner::startTask(self_ptr self, managed_worker_ptr worker, journal_record record)
{
    start_attempt attempt;
    for (attempt.number = 1; !m_resigned && !worker->session.dead; ++attempt.number) {
        if (jobs::assignedRun(m_jobTable, worker->session.incarnation, record.task) != record.run)
            break;
        const auto job = m_jobTable.jobs.find(record.task.job);
        const bool wanted = !jobs::isFinal(job->second.status);
        // The lease counts from before the check, however long the process may pause after it.
        const time_point now = m_dependencies.clock();
        std::string obstacle = startObstacle(*worker);
        // The new incarnation may be of another kind.
        if (worker->session.incarnation != record.worker)
            obstacle = "the worker has restarted";
        if (attempt.number > m_dependencies.rules.startAttempts)
            obstacle = "the worker can't be reached";
        if (!wanted)
            obstacle = "the job has ended";
        if (obstacle.empty() && !attempt.mayHaveArrived && disturbsServingTask(*worker, record.task, now))
            obstacle = "a serving task on the worker misses its target";
        if (obstacle.empty() && !mayStart(now)) {
            co_await holdStart(attempt, record);
            --attempt.number;
            continue;
        }
        if (obstacle.empty())
            obstacle = releaseStart(attempt, *worker, now);
        if (!attempt.mayHaveArrived && !obstacle.empty()) {
            recordNotStarted(*worker, record, obstacle);
            co_return;
        }
        if (attempt.mayHaveArrived && !obstacle.empty()) {
            // If the start order arrives after the stop order, the worker refuses it.
            co_await stopRun(self, worker, record.task, record.run);
            jobs::recordStartStopped(worker->session, record.task, record.run, m_dependencies.clock());
            break;
        }
        attempt.sentAt = now;
        attempt.sentTo = orderTarget(*worker);
        const auto leaseEnd
            = jobs::nextLeaseEnd(worker->session, m_dependencies.rules.sessions, attempt.sentAt);
        jobs::recordGrantedLease(worker->session, leaseEnd.value_or(0), m_dependencies.rules.sessions);
        jobs::start_order order;
        order.task = record.task;
        order.run = record.run;
        order.payload = job->second.spec.payload;
        order.leaseEndMs = leaseEnd.value_or(0);
        order.notAfter = startPermissionEnd();
        order.checkpoint = jobs::checkpointOf(m_jobTable, record.task);
        const order_response response = co_await m_dependencies.workers.start(attempt.sentTo, order);
        if (response.outcome == order_outcome::unknown) {
            attempt.mayHaveArrived = true;
            jobs::recordUnansweredStart(worker->session, record.task, record.run);
        }
        if (handleStartResponse(*worker, record, response, attempt))
            break;
        co_await kernel::sleepFor(m_dependencies.rules.retryDelay);
    }
    jobs::recordStartSettled(worker->session, record.task, record.run);
    const auto job = m_jobTable.jobs.find(record.task.job);
    const bool unwanted = job == m_jobTable.jobs.end() || jobs::isFinal(job->second.status);
    const std::uint32_t assigned = jobs::assignedRun(m_jobTable, worker->session.incarnation, record.task);
    if (unwanted && !m_resigned && assigned == record.run)
        co_await stopRun(self, worker, record.task, record.run);
}

} // namespace almond::fleet
