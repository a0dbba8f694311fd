#pragma once

#include "jobs/job_table.h"
#include "jobs/worker_api.h"

#include <map>
#include <optional>
#include <vector>

namespace almond::jobs {

//! Times that bound what an owner grants to a worker.
struct session_rules
{
    //! How long a renewal keeps a worker's tasks running; must stay under the worker's own limit.
    kernel::milliseconds lease{5400};
    //! How much slower than ours a worker's clock may run, in percent.
    int clockDriftPercent = 2;
    //! Added before a lease counts as over; covers the way of an answer.
    kernel::milliseconds leaseMargin{300};
    //! An owner that was replaced may have gone on renewing for this long after its key had gone: the key can
    //! go before the lease does.
    kernel::milliseconds formerOwnerRenewals{3500};
    //! A worker that has not answered for this long gets no new work.
    kernel::milliseconds unresponsiveAfter{1200};
};

//! One reading of a worker's clock.
struct clock_reading
{
    std::int64_t workerMs = 0;
    time_point at{};
};

//! What the present owner knows of its dealings with one life of a worker.
struct worker_session
{
    worker_info info;
    std::string incarnation;
    //! The host list still names this life.
    bool listed = true;
    //! Another life was seen in its place: nothing that ran there runs any more.
    bool dead = false;
    //! The worker has answered this owner's term, so that no order of an earlier term counts any more.
    bool fenced = false;
    std::optional<clock_reading> clock;
    //! When the lease that this owner has granted is certainly over.
    time_point grantedLeaseUntil{};
    //! The same for leases of earlier owners.
    time_point inheritedLeaseUntil{};
    time_point lastResponseAt{};
    //! Since when orders have gone unanswered; zero while none has since the last answer.
    time_point unansweredSince{};
    //! Highest number of an end that was read.
    std::uint64_t endsRead = 0;
    //! Highest number of an end that is durable.
    std::uint64_t endsDurable = 0;
    //! Runs that the worker has accepted from this owner, and when.
    std::map<task_name, std::pair<std::uint32_t, time_point>> acceptedRuns;
    //! Runs whose start order is under way.
    std::map<task_name, std::uint32_t> pendingStarts;
    std::vector<running_report> running;
};

//! Begins the dealings with \a worker. Whatever an earlier owner granted may last until \a
//! inheritedLeaseUntil.
worker_session openSession(const worker_info &worker, time_point inheritedLeaseUntil);

//! Until when a worker may run what an earlier owner started, if this one took office at \a since.
time_point inheritedLeaseEnd(const session_rules &rules, time_point since);

//! The same once it is known that no earlier owner renewed anything after \a over.
time_point inheritedLeaseEndAfter(const session_rules &rules, time_point over);

//! When every lease of the worker is certainly over.
time_point leaseEnd(const worker_session &session);

//! The end of a new lease on the worker's clock; empty before its clock is known. While orders go unanswered
//! it does not move: else the lease of a worker that is gone would never count as over.
std::optional<std::int64_t> nextLeaseEnd(const worker_session &session, const session_rules &rules,
                                         time_point now);
//! Records that a lease until \a leaseEndMs on the worker's clock was sent, answered or not.
void recordGrantedLease(worker_session &session, std::int64_t leaseEndMs, const session_rules &rules);
//! Takes the clock and the sign of life from an answer.
void recordResponse(worker_session &session, const order_response &answer, time_point now);
//! Records that an order sent at \a sentAt had no answer, which might have waited for \a wait.
void recordMissingResponse(worker_session &session, time_point sentAt, milliseconds wait = milliseconds(0));

//! What a look tells that the ledger does not hold yet: ends, and runs that the worker does not have.
//! \a sentAt is when the look was sent.
std::vector<journal_record> applyPoll(worker_session &session, const poll_response &answer,
                                      const job_table &table, time_point sentAt, time_point now);

//! The runs on \a session that are over because the worker's life or lease is; empty otherwise. The lease of
//! a worker that answers is not judged by the clock: a look tells what it runs.
std::vector<journal_record> expiredRuns(const worker_session &session, const session_rules &rules,
                                        const job_table &table, time_point now);

//! A run that shall be stopped.
struct unwanted_run
{
    task_name task;
    std::uint32_t run = 0;
};

//! The runs at the worker that no open job wants there.
std::vector<unwanted_run> unwantedRuns(const worker_session &session, const job_table &table);

//! Tells whether the worker has left orders unanswered for too long.
bool isUnresponsive(const worker_session &session, const session_rules &rules, time_point now);
//! Tells whether the worker may be given new tasks.
bool acceptsNewTasks(const worker_session &session, const session_rules &rules, time_point now);

} // namespace almond::jobs
