// The part of job_owner that throttles best-effort tasks beside serving tasks.

#include "fleet/job_owner.h"

#include "jobs/job_codec.h"
#include "observe/log.h"

#include <algorithm>

namespace almond::fleet {

using jobs::order_outcome;
using jobs::order_refusal;
using jobs::order_response;
using kernel::task;
using observe::log_level;

void job_owner::throttleBestEffort(const managed_worker_ptr &worker, std::span<jobs::listed_run> runs,
                                   time_point now)
{
    const bool isAlone = std::none_of(runs.begin(), runs.end(), [](const jobs::listed_run &run) {
        return jobs::isServing(run.spec) || jobs::isBestEffort(run.spec);
    });
    if (isAlone && jobs::isAtRest(worker->throttle))
        return;
    const jobs::interference_rules &rules = m_interference.rules;
    const jobs::resources &capacity = worker->session.info.capacity;
    jobs::learnFromReports(m_interference.model, worker->throttle, rules, capacity, runs, now);
    const jobs::mitigation mitigation
        = jobs::mitigate(worker->throttle, m_interference.model, rules, worker->session, runs, now);
    reportTargetMisses(*worker, mitigation.faults, now);
    sendThrottleOrders(worker, mitigation.throttles, now);
    for (const jobs::unwanted_run &run : mitigation.moves) {
        observe::logLimited(
            log_level::info, "best-effort task moved away from a serving task",
            {{"task", jobs::formatTask(run.task)}, {"run", run.run}, {"worker", worker->session.incarnation}},
            now);
        kernel::spawn(m_context.get_executor(), stopRun(shared_from_this(), worker, run.task, run.run));
    }
}

void job_owner::sendThrottleOrders(const managed_worker_ptr &worker,
                                   std::span<const jobs::throttle_order> orders, time_point now)
{
    for (const jobs::throttle_order &order : orders) {
        observe::logLimited(log_level::info, "throttle of a best-effort task changed",
                            {{"task", jobs::formatTask(order.task)},
                             {"worker", worker->session.incarnation},
                             {"percent", order.percent}},
                            now);
        kernel::spawn(m_context.get_executor(), sendThrottleOrder(shared_from_this(), worker, order));
    }
}

//! Suspends best-effort tasks where the response to a poll is late.
void job_owner::suspendBetweenPolls(time_point now)
{
    for (const auto &[incarnation, worker] : m_workers.workers())
        sendThrottleOrders(worker,
                           jobs::suspendBetweenPolls(worker->throttle, m_interference.rules, m_jobTable,
                                                     worker->session, now),
                           now);
}

//! Logs and counts how near the serving tasks on \a worker are to the harm bound after a poll.
void job_owner::reportTargetMisses(const managed_worker &worker, const jobs::limit_faults &faults,
                                   time_point now)
{
    const jobs::polled_worker polled{worker.session, worker.throttle, m_interference.rules, m_jobTable};
    for (jobs::log_line &line : jobs::observeMisses(m_missMonitor, polled, now))
        observe::logLimited(log_level::info, line.message, std::move(line.fields), now);
    if (faults.tooHigh + faults.tooLow > 0)
        observe::logLimited(
            log_level::info, "accepted throttles are not in force; they will be sent again",
            {{"worker", worker.session.incarnation}, {"tooHigh", faults.tooHigh}, {"tooLow", faults.tooLow}},
            now);
    const jobs::miss_findings found = jobs::takeFindings(m_missMonitor);
    if (!m_dependencies.metrics)
        return;
    recordTargetMisses(*m_dependencies.metrics, found, m_missMonitor.longestMiss);
    recordLimitFaults(*m_dependencies.metrics, faults);
}

//! Sends \a order, and again what is decided for the run until it is in force.
task<void> job_owner::sendThrottleOrder(self_ptr, managed_worker_ptr worker, jobs::throttle_order order)
{
    const std::string incarnation = worker->session.incarnation;
    std::optional<jobs::throttle_order> next = order;
    while (next && !m_resigned) {
        ++m_counters.throttleOrders;
        const jobs::order_target sentTo = orderTarget(*worker);
        const order_response response
            = co_await m_dependencies.workers.throttle(sentTo, next->task, next->run, next->percent);
        applyOrderResponse(*worker, sentTo, response);
        if (response.refusal == order_refusal::fenced)
            resign("a worker has seen a later term");
        // Until then the order counts as under way, so that no poll sends it again at once.
        if (response.outcome != order_outcome::accepted)
            co_await kernel::sleepFor(m_dependencies.rules.retryDelay);
        if (worker->session.incarnation != incarnation || worker->session.dead)
            co_return;
        jobs::recordThrottleResponse(worker->throttle, *next, response, m_dependencies.clock());
        if (m_dependencies.metrics)
            recordThrottleFailure(*m_dependencies.metrics, response);
        if (response.outcome != order_outcome::accepted)
            observe::logLimited(log_level::info, "throttle order not accepted",
                                {{"task", jobs::formatTask(next->task)},
                                 {"run", next->run},
                                 {"worker", incarnation},
                                 {"percent", next->percent},
                                 {"reason", response.detail}},
                                m_dependencies.clock());
        next = jobs::nextThrottleOrder(worker->throttle, {next->task, next->run}, m_dependencies.clock());
    }
}

} // namespace almond::fleet
