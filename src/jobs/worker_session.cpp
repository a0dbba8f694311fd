#include "jobs/worker_session.h"

#include <algorithm>
#include <set>

namespace almond::jobs {

namespace {

journal_record endRecord(const task_name &task, std::uint32_t run, run_end end, std::string checkpoint = {})
{
    journal_record record;
    record.kind = record_kind::ended;
    record.task = task;
    record.run = run;
    record.end = end;
    record.checkpoint = std::move(checkpoint);
    return record;
}

//! The newest checkpoint that a look has shown for a run that is over now.
std::string lastCheckpoint(const worker_session &session, const task_name &task, std::uint32_t run)
{
    for (const running_report &row : session.running) {
        if (row.task == task && row.run == run)
            return row.checkpoint;
    }
    return {};
}

//! Whether the worker must show the run if it has it: no order for it was under way when the look was sent.
bool wasSettled(const worker_session &session, const task_name &task, std::uint32_t run, time_point sentAt)
{
    if (session.pendingStarts.contains(task))
        return false;
    const auto accepted = session.acceptedRuns.find(task);
    const bool own = accepted != session.acceptedRuns.end() && accepted->second.first == run;
    return !own || accepted->second.second < sentAt;
}

} // namespace

worker_session openSession(const worker_info &worker, time_point inheritedLeaseUntil)
{
    worker_session session;
    session.info = worker;
    session.incarnation = incarnationOf(worker);
    session.inheritedLeaseUntil = inheritedLeaseUntil;
    return session;
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

void recordResponse(worker_session &session, const order_response &answer, time_point now)
{
    if (answer.outcome != order_outcome::accepted && answer.outcome != order_outcome::refused)
        return;
    session.lastResponseAt = now;
    session.unansweredSince = time_point{};
    if (answer.workerClockMs)
        session.clock = clock_reading{*answer.workerClockMs, now};
}

void recordMissingResponse(worker_session &session, time_point sentAt, milliseconds wait)
{
    // Another order may have been answered in the meantime, but nothing since.
    if (session.unansweredSince == time_point{} && sentAt + wait >= session.lastResponseAt)
        session.unansweredSince = std::max(sentAt, session.lastResponseAt);
}

std::vector<journal_record> applyPoll(worker_session &session, const poll_response &answer,
                                      const job_table &table, time_point sentAt, time_point now)
{
    std::vector<journal_record> records;
    recordResponse(session, answer.result, now);
    if (answer.result.outcome != order_outcome::accepted)
        return records;
    if (answer.bornMs != 0 && answer.bornMs != session.info.bornMs) {
        session.dead = true;
        return records;
    }
    session.fenced = true;
    std::set<task_name> seen;
    for (const running_report &row : answer.running) {
        if (assignedRun(table, session.incarnation, row.task) == row.run)
            seen.insert(row.task);
    }
    for (const ended_report &row : answer.ended) {
        if (assignedRun(table, session.incarnation, row.task) == row.run && seen.insert(row.task).second)
            records.push_back(endRecord(row.task, row.run, row.end, row.checkpoint));
        session.endsRead = std::max(session.endsRead, row.number);
        // An earlier run's end may be listed again beside the run that followed it.
        const auto accepted = session.acceptedRuns.find(row.task);
        if (accepted != session.acceptedRuns.end() && accepted->second.first == row.run)
            session.acceptedRuns.erase(accepted);
    }
    const auto load = table.loads.find(session.incarnation);
    if (!answer.moreEnded && load != table.loads.end()) {
        for (const auto &[task, run] : load->second.runs) {
            if (!seen.contains(task) && wasSettled(session, task, run, sentAt))
                records.push_back(endRecord(task, run, run_end::lost, lastCheckpoint(session, task, run)));
        }
    }
    session.running = answer.running;
    return records;
}

std::vector<journal_record> expiredRuns(const worker_session &session, const session_rules &rules,
                                        const job_table &table, time_point now)
{
    std::vector<journal_record> records;
    const auto load = table.loads.find(session.incarnation);
    // Without an address it can't be asked.
    const bool unreachable = session.info.address.empty() || isUnresponsive(session, rules, now);
    const bool over = session.dead || (unreachable && now >= leaseEnd(session));
    if (load == table.loads.end() || !over)
        return records;
    for (const auto &[task, run] : load->second.runs) {
        // The lease of a run whose order has not been sent yet is still to come.
        if (session.dead || !session.pendingStarts.contains(task))
            records.push_back(endRecord(task, run, run_end::lost, lastCheckpoint(session, task, run)));
    }
    return records;
}

std::vector<unwanted_run> unwantedRuns(const worker_session &session, const job_table &table)
{
    std::vector<unwanted_run> unwanted;
    for (const running_report &row : session.running) {
        const auto owner = table.jobs.find(row.task.job);
        const bool open = owner != table.jobs.end() && !isFinal(owner->second.status);
        if (!open || assignedRun(table, session.incarnation, row.task) != row.run)
            unwanted.push_back({row.task, row.run});
    }
    return unwanted;
}

bool isUnresponsive(const worker_session &session, const session_rules &rules, time_point now)
{
    return session.unansweredSince != time_point{} && now - session.unansweredSince > rules.unresponsiveAfter;
}

bool acceptsNewTasks(const worker_session &session, const session_rules &rules, time_point now)
{
    const bool silent = isUnresponsive(session, rules, now);
    return session.listed && !session.dead && !session.info.leaving && session.fenced
        && session.clock.has_value() && !silent;
}

} // namespace almond::jobs
