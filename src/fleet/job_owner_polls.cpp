// The part of job_owner that polls workers.

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
using kernel::task;
using observe::log_level;

bool job_owner::needsPoll(const managed_worker &worker, time_point now) const
{
    const jobs::worker_session &session = worker.session;
    const bool clockOld = !session.clock || now - session.clock->at > m_dependencies.rules.clockValidity;
    return m_jobTable.loads.contains(session.incarnation) || session.endsRead > session.endsDurable
        || jobs::hasUnacknowledgedEnds(session) || !session.fenced || clockOld || !session.running.empty();
}

milliseconds job_owner::pollWaitFor(const managed_worker &worker) const
{
    const auto load = m_jobTable.loads.find(worker.session.incarnation);
    const bool unanswered = worker.session.unansweredSince != time_point{};
    if (!worker.session.fenced || unanswered)
        return milliseconds(0);
    // What still runs without being assigned is being stopped; its end comes soon.
    if (load == m_jobTable.loads.end())
        return worker.session.running.empty() ? milliseconds(0) : m_dependencies.rules.slowServicePollWait;
    const bool contended = load->second.bestEffortMillicores > 0 && load->second.longRunningMillicores > 0;
    // Orders may have to share the connection of the poll.
    const bool refuses = recentlyRefused(worker, m_dependencies.clock());
    if (refuses || (contended && jobs::isTargetMissed(worker.throttle)))
        return m_dependencies.rules.slowServicePollWait;
    return contended ? m_dependencies.rules.contendedPollWait : m_dependencies.rules.pollWait;
}

task<void> job_owner::workerLoop(self_ptr, managed_worker_ptr worker)
{
    while (!m_resigned && !worker->session.dead && !isUnused(*worker)) {
        if (!needsPoll(*worker, m_dependencies.clock())) {
            const bool isSilent = worker->session.unansweredSince != time_point{};
            co_await worker->signal.wait(isSilent ? m_dependencies.rules.silentPollInterval
                                                  : m_dependencies.rules.clockValidity);
            if (!isSilent || worker->session.dead || !worker->session.listed)
                continue;
        }
        co_await awaitDurableEnds(worker);
        bool failed = false;
        try {
            if (!m_resigned)
                co_await pollOnce(worker);
        } catch (const std::exception &error) {
            failed = true;
            observe::logLimited(log_level::error, "unexpected error while polling a worker",
                                {{"worker", worker->session.incarnation}, {"error", error.what()}},
                                m_dependencies.clock());
        }
        worker->polls.isUnderWay = false;
        if (failed)
            co_await kernel::sleepFor(m_dependencies.rules.retryDelay);
    }
    worker->loopRunning = false;
}

//! Waits until the ended runs that were read from \a worker are durable, for a limited time. A worker
//! responds immediately while it has ends that are not acknowledged, so that a poll before then tells nothing
//! new.
task<void> job_owner::awaitDurableEnds(managed_worker_ptr worker)
{
    const jobs::worker_session &session = worker->session;
    // A missed target needs fresh measurements more than the owner needs fewer polls.
    const milliseconds limit = jobs::isTargetMissed(worker->throttle)
        ? m_dependencies.rules.slowServicePollWait
        : m_dependencies.rules.contendedPollWait;
    const time_point until = m_dependencies.clock() + limit;
    while (!m_resigned && !session.dead && session.endsRead > session.endsDurable) {
        const milliseconds left = until - m_dependencies.clock();
        if (left.count() <= 0)
            co_return;
        // Other events wake the loop of the worker as well.
        co_await worker->signal.wait(left);
    }
}

//! Returns the order of a regular poll at \a now, and records the lease that it grants.
jobs::poll_order job_owner::regularPoll(managed_worker &worker, time_point now) const
{
    jobs::poll_order order;
    order.acknowledge = jobs::nextAcknowledgement(worker.session);
    order.wait = pollWaitFor(worker);
    const bool hasRuns = m_jobTable.loads.contains(worker.session.incarnation);
    if (hasRuns && m_dependencies.mayRenew()
        && !jobs::isUnresponsive(worker.session, m_dependencies.rules.sessions, now))
        order.leaseEndMs = jobs::nextLeaseEnd(worker.session, m_dependencies.rules.sessions, now);
    if (order.leaseEndMs)
        jobs::recordGrantedLease(worker.session, *order.leaseEndMs, m_dependencies.rules.sessions);
    return order;
}

task<void> job_owner::pollOnce(managed_worker_ptr worker)
{
    sent_poll poll;
    poll.sentAt = m_dependencies.clock();
    poll.order = regularPoll(*worker, poll.sentAt);
    poll.sentTo = orderTarget(*worker);
    worker->polls.sentAt = poll.sentAt;
    worker->polls.wait = poll.order.wait;
    worker->polls.isUnderWay = true;
    ++m_counters.polls;
    worker_trace &trace = m_traces[worker->session.info.id];
    if (++trace.pollsInFlight > 1 && m_dependencies.metrics)
        m_dependencies.metrics->overlappingPolls->Increment();
    jobs::poll_response response = co_await m_dependencies.workers.poll(poll.sentTo, poll.order);
    --trace.pollsInFlight;
    worker->polls.isUnderWay = false;
    const bool accepted = response.result.outcome == order_outcome::accepted;
    applyPollResponse(worker, poll, std::move(response));
    if (!m_resigned && !accepted)
        co_await kernel::sleepFor(m_dependencies.rules.retryDelay);
}

//! Polls \a worker while its regular poll is overdue. It acknowledges nothing and renews no lease: the next
//! regular poll does, and a worker that is lost is given up no later.
task<void> job_owner::pollBeside(self_ptr, managed_worker_ptr worker)
{
    sent_poll poll;
    poll.sentAt = m_dependencies.clock();
    poll.sentTo = orderTarget(*worker);
    poll.isExtra = true;
    ++m_counters.polls;
    ++m_counters.extraPolls;
    try {
        jobs::poll_response response = co_await m_dependencies.workers.poll(poll.sentTo, poll.order);
        if (!m_resigned)
            applyPollResponse(worker, poll, std::move(response));
    } catch (const std::exception &error) {
        observe::logLimited(log_level::error, "unexpected error while polling a worker",
                            {{"worker", worker->session.incarnation}, {"error", error.what()}},
                            m_dependencies.clock());
    }
    --worker->polls.extraUnderWay;
}

//! Sends extra polls where the response to a regular one is overdue while harm is possible.
void job_owner::pollOverdueWorkers(time_point now)
{
    std::vector<managed_worker_ptr> overdue;
    for (const auto &[incarnation, worker] : m_workers.workers()) {
        const auto load = m_jobTable.loads.find(incarnation);
        if (load != m_jobTable.loads.end() && !worker->session.dead && jobs::isHarmPossible(load->second)
            && jobs::isExtraPollDue(worker->polls, m_dependencies.rules.polls, now))
            overdue.push_back(worker);
    }
    for (const managed_worker_ptr &worker : overdue) {
        ++worker->polls.extraUnderWay;
        worker->polls.extraSentAt = now;
        kernel::spawn(m_context.get_executor(), pollBeside(shared_from_this(), worker));
    }
}

void job_owner::applyPollResponse(const managed_worker_ptr &worker, const sent_poll &poll,
                                  jobs::poll_response response)
{
    const part_timer timed(m_dependencies.times, owner_part::polls);
    const time_point now = m_dependencies.clock();
    const order_response &result = response.result;
    if (result.outcome == order_outcome::refused && result.refusal == order_refusal::fenced) {
        resign("a worker has seen a later term");
        return;
    }
    const bool isPresent = jobs::isPresent(worker->session, poll.sentTo);
    if (result.refusal == order_refusal::otherIncarnation && isPresent)
        worker->session.dead = true;
    if (result.outcome != order_outcome::accepted) {
        applyFailedPoll(*worker, poll, result, now);
        return;
    }
    // The list of workers may have named the new incarnation, or its new address, while a response of the
    // earlier one was under way.
    if (!isPresent && response.bornMs != worker->session.info.bornMs)
        return;
    if (!poll.isExtra)
        jobs::recordPollDelay(worker->polls, poll.sentAt + poll.order.wait, now);
    if (jobs::isOvertaken(worker->polls, poll.sentAt))
        return;
    worker->polls.listSentAt = poll.sentAt;
    worker->polls.listedAt = now;
    if (jobs::isOtherIncarnation(worker->session, response)) {
        if (poll.order.leaseEndMs || poll.order.acknowledge > 0)
            countOrderForEarlier();
        replaceIncarnation(worker, response.bornMs);
    }
    applyList(worker, poll, std::move(response), now);
}

void job_owner::applyFailedPoll(managed_worker &worker, const sent_poll &poll, const order_response &result,
                                time_point now)
{
    const bool isPresent = jobs::isPresent(worker.session, poll.sentTo);
    ++m_counters.pollsFailed;
    // A poll that was not sent for want of a connection tells nothing of the worker.
    const bool wasSent = result.outcome != order_outcome::expired;
    if (wasSent)
        worker.polls.unansweredSentAt = std::max(worker.polls.unansweredSentAt, poll.sentAt);
    // Since when a worker is silent is judged by regular polls alone.
    if (isPresent && poll.isExtra)
        worker.session.confirmed = false;
    else if (isPresent && wasSent)
        jobs::recordMissingResponse(worker.session, poll.sentAt, poll.order.wait);
    if (isPresent && result.refusal == order_refusal::connection)
        worker.refusedAt = now;
    observe::logLimited(log_level::info, "failed to poll a worker",
                        {{"worker", worker.session.incarnation}, {"detail", result.detail}}, now);
}

//! Applies the list of runs in \a response, which is of the present incarnation of \a worker.
void job_owner::applyList(const managed_worker_ptr &worker, const sent_poll &poll,
                          jobs::poll_response response, time_point now)
{
    const bool firstResponse = !worker->session.fenced;
    // The rows stay where they are when the session takes the list over.
    std::vector<jobs::listed_run> runs
        = jobs::listRuns(m_jobTable, worker->session.incarnation, response.running);
    updateWorkerHealth(*worker, response, runs, now);
    const std::uint64_t acknowledged
        = jobs::isSameIncarnation(worker->session, poll.sentTo) ? poll.order.acknowledge : 0;
    std::vector<journal_record> records
        = jobs::applyPoll(worker->session, std::move(response), m_jobTable, poll.sentAt, now, acknowledged);
    // The worker may have restarted since this response, when a later poll had none.
    if (poll.sentAt < worker->polls.unansweredSentAt)
        worker->session.confirmed = false;
    reportUnlistedRuns(*worker, records, poll.sentAt, now);
    queueRecords(std::move(records));
    stopUnwantedRuns(worker, runs);
    throttleBestEffort(worker, runs, now);
    if (firstResponse || worker->session.endsRead > worker->session.endsDurable)
        m_commitSignal.wake();
}

void job_owner::updateWorkerHealth(managed_worker &worker, const jobs::poll_response &response,
                                   std::span<const jobs::listed_run> runs, time_point now)
{
    const int quarantines = worker.evaluation.health.quarantines;
    jobs::evaluatePoll(worker.evaluation, m_stepDurations, m_dependencies.rules.evaluation, worker.session,
                       response, runs, m_jobTable, now);
    if (worker.evaluation.health.quarantines > quarantines)
        observe::log(log_level::warning, "worker quarantined: its runs fail or are slow",
                     {{"worker", worker.session.incarnation},
                      {"quarantines", worker.evaluation.health.quarantines},
                      {"forMs", (worker.evaluation.health.quarantinedUntil - now).count()}});
}

} // namespace almond::fleet
