#include "jobs/worker_session.h"

#include <algorithm>
#include <utility>

namespace almond::jobs {

namespace {

journal_record makeEndRecord(const task_name &task, std::uint32_t run, run_end end,
                             std::string checkpoint = {})
{
    journal_record record;
    record.kind = record_kind::ended;
    record.task = task;
    record.run = run;
    record.end = end;
    record.checkpoint = std::move(checkpoint);
    return record;
}

//! Returns the newest checkpoint that a poll has reported for a run that has ended.
std::string lastCheckpoint(const worker_session &session, const task_name &task, std::uint32_t run)
{
    for (const running_report &row : session.running) {
        if (row.task == task && row.run == run)
            return row.checkpoint;
    }
    return {};
}

//! Makes the record of a run that is lost. \a wasFenced: the worker has responded in this term before. Until
//! then it has only runs that an earlier owner started, of which nothing is known.
journal_record makeLostRecord(const worker_session &session, const task_name &task, std::uint32_t run,
                              bool wasFenced)
{
    journal_record record = makeEndRecord(task, run, run_end::lost, lastCheckpoint(session, task, run));
    record.startUnconfirmed = wasFenced && !hasBegun(session, task, run);
    return record;
}

//! Returns whether the worker must report the run if it has it. False while its start order was neither
//! answered nor stopped when the poll was sent. A run that an earlier incarnation has accepted may be stopped
//! at the present one, since another order for it had no response: then the stop counts as well.
bool mustBeReported(const worker_session &session, const task_name &task, std::uint32_t run,
                    time_point sentAt)
{
    if (session.pendingStarts.contains(task))
        return false;
    const auto isSettled = [&](const auto &settledRuns) {
        const auto found = settledRuns.find(task);
        return found == settledRuns.end() || found->second.first != run || found->second.second < sentAt;
    };
    return isSettled(session.acceptedRuns) && isSettled(session.stoppedStarts);
}

//! The tasks that one poll response accounts for, sorted by name.
using seen_tasks = std::vector<const task_name *>;

seen_tasks::const_iterator placeOf(const seen_tasks &seen, const task_name &task)
{
    return std::lower_bound(seen.begin(), seen.end(), task,
                            [](const task_name *known, const task_name &name) { return *known < name; });
}

bool isSeen(const seen_tasks &seen, const task_name &task)
{
    const auto place = placeOf(seen, task);
    return place != seen.end() && **place == task;
}

//! Returns false if the task was seen before.
bool addSeen(seen_tasks &seen, const task_name &task)
{
    const auto place = placeOf(seen, task);
    if (place != seen.end() && **place == task)
        return false;
    seen.insert(place, &task);
    return true;
}

} // namespace

void recordPendingStart(worker_session &session, const task_name &task, std::uint32_t run)
{
    session.pendingStarts[task] = run;
}

void recordStartSettled(worker_session &session, const task_name &task, std::uint32_t run)
{
    // The run may have ended, and been followed by another one, before the response to its start order came.
    const auto pending = session.pendingStarts.find(task);
    if (pending != session.pendingStarts.end() && pending->second <= run)
        session.pendingStarts.erase(pending);
}

void recordAcceptedRun(worker_session &session, const task_name &task, std::uint32_t run, time_point now)
{
    auto &accepted = session.acceptedRuns[task];
    if (accepted.first <= run)
        accepted = {run, now};
}

void recordStartStopped(worker_session &session, const task_name &task, std::uint32_t run, time_point now)
{
    auto &stopped = session.stoppedStarts[task];
    if (stopped.first <= run)
        stopped = {run, now};
}

void recordUnansweredStart(worker_session &session, const task_name &task, std::uint32_t run)
{
    std::uint32_t &unanswered = session.unansweredStarts[task];
    unanswered = std::max(unanswered, run);
}

bool hasBegun(const worker_session &session, const task_name &task, std::uint32_t run)
{
    const auto accepted = session.acceptedRuns.find(task);
    if (accepted != session.acceptedRuns.end() && accepted->second.first == run)
        return true;
    return std::any_of(session.running.begin(), session.running.end(),
                       [&](const running_report &row) { return row.task == task && row.run == run; });
}

worker_session openSession(const worker_info &worker, time_point inheritedLeaseUntil)
{
    worker_session session;
    session.info = worker;
    session.incarnation = incarnationOf(worker);
    session.inheritedLeaseUntil = inheritedLeaseUntil;
    return session;
}

void restartSession(worker_session &session, std::int64_t bornMs)
{
    session.info.bornMs = bornMs;
    session.incarnation = incarnationOf(session.info);
    session.listed = false;
    session.dead = false;
    session.fenced = false;
    session.confirmed = false;
    session.clock.reset();
    session.unansweredSince = time_point{};
    session.endsRead = 0;
    session.endsDurable = 0;
    session.endsAcknowledged = 0;
}

bool isSameIncarnation(const worker_session &session, const order_target &target)
{
    return session.info.id == target.workerId && session.info.bornMs == target.bornMs;
}

bool isPresent(const worker_session &session, const order_target &target)
{
    return isSameIncarnation(session, target) && session.info.address == target.address;
}

bool isOtherIncarnation(const worker_session &session, const poll_response &response)
{
    return response.result.outcome == order_outcome::accepted && response.bornMs != 0
        && response.bornMs != session.info.bornMs;
}

time_point inheritedLeaseEnd(const session_rules &rules, time_point since)
{
    return inheritedLeaseEndAfter(rules, since + rules.formerOwnerRenewals);
}

time_point inheritedLeaseEndAfter(const session_rules &rules, time_point over)
{
    const milliseconds longest(rules.lease.count() * 100 / (100 - rules.clockDriftPercent));
    return over + longest + rules.leaseMargin;
}

time_point leaseEnd(const worker_session &session)
{
    return std::max(session.grantedLeaseUntil, session.inheritedLeaseUntil);
}

std::optional<std::int64_t> nextLeaseEnd(const worker_session &session, const session_rules &rules,
                                         time_point now)
{
    if (!session.clock)
        return std::nullopt;
    const bool unanswered = session.unansweredSince != time_point{};
    const time_point asOf = unanswered ? std::min(now, session.unansweredSince) : now;
    const std::int64_t elapsed = (asOf - session.clock->at).count();
    const std::int64_t slowest = elapsed * (100 - rules.clockDriftPercent) / 100;
    return session.clock->workerMs + slowest + rules.lease.count();
}

void recordGrantedLease(worker_session &session, std::int64_t leaseEndMs, const session_rules &rules)
{
    if (!session.clock)
        return;
    const std::int64_t ahead = leaseEndMs - session.clock->workerMs;
    const milliseconds longest(ahead * 100 / (100 - rules.clockDriftPercent));
    session.grantedLeaseUntil
        = std::max(session.grantedLeaseUntil, session.clock->at + longest + rules.leaseMargin);
}

void recordResponse(worker_session &session, const order_response &response, time_point now)
{
    if (response.outcome != order_outcome::accepted && response.outcome != order_outcome::refused)
        return;
    // An overloaded worker that turns orders away doesn't show that it still renews leases.
    if (response.refusal == order_refusal::unhealthy)
        return;
    // Without a clock the worker is polled, and gets no new tasks before its list has shown the incarnation.
    if (response.refusal == order_refusal::restarted) {
        session.confirmed = false;
        session.clock.reset();
        return;
    }
    session.lastResponseAt = now;
    session.unansweredSince = time_point{};
    if (!response.workerClockMs)
        return;
    // The clock of a new incarnation starts anew.
    if (session.clock && *response.workerClockMs < session.clock->workerMs)
        session.confirmed = false;
    session.clock = clock_reading{*response.workerClockMs, now};
}

void recordMissingResponse(worker_session &session, time_point sentAt, milliseconds wait)
{
    session.confirmed = false;
    // Other orders may have been answered in the meantime, but none after this response was due.
    if (session.unansweredSince == time_point{} && sentAt + wait >= session.lastResponseAt)
        session.unansweredSince = std::max(sentAt, session.lastResponseAt);
}

std::uint64_t nextAcknowledgement(const worker_session &session)
{
    return session.confirmed && hasUnacknowledgedEnds(session) ? session.endsDurable : 0;
}

bool hasUnacknowledgedEnds(const worker_session &session)
{
    return session.endsDurable > session.endsAcknowledged;
}

std::vector<journal_record> applyPoll(worker_session &session, poll_response response, const job_table &table,
                                      time_point sentAt, time_point now, std::uint64_t acknowledged)
{
    std::vector<journal_record> records;
    if (isOtherIncarnation(session, response))
        return records;
    recordResponse(session, response.result, now);
    if (response.result.outcome != order_outcome::accepted)
        return records;
    const bool wasFenced = std::exchange(session.fenced, true);
    session.confirmed = true;
    session.endsAcknowledged = std::max(session.endsAcknowledged, acknowledged);
    const auto load = table.loads.find(session.incarnation);
    const auto runOf = [&](const task_name &task) {
        return load == table.loads.end() ? 0 : assignedRun(load->second, task);
    };
    seen_tasks seen;
    seen.reserve(response.running.size() + response.ended.size());
    for (const running_report &row : response.running) {
        if (runOf(row.task) == row.run)
            addSeen(seen, row.task);
    }
    for (const ended_report &row : response.ended) {
        const bool isAwaited = runOf(row.task) == row.run
            || (row.end == run_end::done && countsIfDone(table, row.task, row.run));
        if (isAwaited && addSeen(seen, row.task))
            records.push_back(makeEndRecord(row.task, row.run, row.end, row.checkpoint));
        session.endsRead = std::max(session.endsRead, row.number);
        // The end of an earlier run may be reported again together with the run that followed it.
        const auto accepted = session.acceptedRuns.find(row.task);
        if (accepted != session.acceptedRuns.end() && accepted->second.first == row.run)
            session.acceptedRuns.erase(accepted);
    }
    if (!response.moreEnded && load != table.loads.end()) {
        for (const auto &[task, run] : load->second.runs) {
            if (!isSeen(seen, task) && mustBeReported(session, task, run, sentAt))
                records.push_back(makeLostRecord(session, task, run, wasFenced));
        }
    }
    for (const journal_record &record : records) {
        session.stoppedStarts.erase(record.task);
        session.unansweredStarts.erase(record.task);
    }
    session.running = std::move(response.running);
    return records;
}

std::vector<journal_record> expiredRuns(const worker_session &session, const session_rules &rules,
                                        const job_table &table, time_point now)
{
    std::vector<journal_record> records;
    const auto load = table.loads.find(session.incarnation);
    // A worker without an address cannot be polled.
    const bool unreachable = session.info.address.empty() || isUnresponsive(session, rules, now);
    const bool over = session.dead || (unreachable && now >= leaseEnd(session));
    if (load == table.loads.end() || !over)
        return records;
    for (const auto &[task, run] : load->second.runs) {
        // The lease for a run whose start order has not been sent yet is granted with that order.
        if (session.dead || !session.pendingStarts.contains(task))
            records.push_back(makeLostRecord(session, task, run, session.fenced));
    }
    return records;
}

std::vector<unwanted_run> unwantedRuns(std::span<const listed_run> runs)
{
    std::vector<unwanted_run> unwanted;
    for (const listed_run &run : runs) {
        if (!run.isOpen || !run.isAssigned)
            unwanted.push_back({run.report->task, run.report->run});
    }
    return unwanted;
}

bool isUnresponsive(const worker_session &session, const session_rules &rules, time_point now)
{
    return session.unansweredSince != time_point{} && now - session.unansweredSince > rules.unresponsiveAfter;
}

bool acceptsNewTasks(const worker_session &session, const session_rules &rules, time_point now)
{
    const bool unresponsive = isUnresponsive(session, rules, now);
    return session.listed && !session.dead && !session.info.leaving && session.fenced
        && session.clock.has_value() && !unresponsive;
}

} // namespace almond::jobs
