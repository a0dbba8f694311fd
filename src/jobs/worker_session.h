#pragma once

#include "jobs/job_table.h"
#include "jobs/listed_runs.h"
#include "jobs/worker_api.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace almond::jobs {

//! Lease durations and time-outs for workers.
struct session_rules
{
    //! How long a renewal keeps a worker's tasks running. Must be shorter than the worker's own limit.
    kernel::milliseconds lease{5400};
    //! By how many percent a worker's clock may run slower than the owner's.
    int clockDriftPercent = 2;
    //! Added before a lease counts as expired, to cover the time that a response is under way.
    kernel::milliseconds leaseMargin{300};
    //! How long a replaced owner may have renewed leases after its key was deleted: the key can be deleted
    //! before the lease of the key ends.
    kernel::milliseconds formerOwnerRenewals{3500};
    //! A worker that has not responded for this long is unresponsive and receives no new tasks.
    kernel::milliseconds unresponsiveAfter{1200};
};

//! A worker's clock, read at a time on the owner's clock.
struct clock_reading
{
    std::int64_t workerMs = 0;
    time_point at{};
};

//! What the current owner knows about the present incarnation of a worker: responses, leases, and runs.
struct worker_session
{
    worker_info info;
    std::string incarnation;
    //! The host list still contains this incarnation.
    bool listed = true;
    //! Another worker responds at the address: no run is left.
    bool dead = false;
    //! The worker has responded in this owner's term and no longer accepts orders of earlier terms.
    bool fenced = false;
    std::optional<clock_reading> clock;
    //! When all leases that this owner has granted have certainly expired.
    time_point grantedLeaseUntil{};
    //! When all leases that earlier owners have granted have certainly expired.
    time_point inheritedLeaseUntil{};
    time_point lastResponseAt{};
    //! Since when orders have had no response; zero if there was none since the last response.
    time_point unansweredSince{};
    //! Highest number of an ended run that was read.
    std::uint64_t endsRead = 0;
    //! Highest number of an ended run that is durable in the journal.
    std::uint64_t endsDurable = 0;
    //! Highest number of an ended run that was acknowledged to the worker by a poll with a response.
    std::uint64_t endsAcknowledged = 0;
    //! The newest poll had a response of this incarnation, and nothing has hinted at a restart since.
    bool confirmed = false;
    //! Runs that the worker has accepted from this owner, and when.
    std::map<task_name, std::pair<std::uint32_t, time_point>> acceptedRuns;
    //! Runs whose start order has not been answered yet.
    std::map<task_name, std::uint32_t> pendingStarts;
    //! Runs whose start order had no response and that were stopped, and when the stop was confirmed.
    std::map<task_name, std::pair<std::uint32_t, time_point>> stoppedStarts;
    //! Runs with a start order that had no response. It may still be executed, by the next incarnation as
    //! well.
    std::map<task_name, std::uint32_t> unansweredStarts;
    std::vector<running_report> running;
};

//! Records that a start order for the run is about to be sent.
void recordPendingStart(worker_session &session, const task_name &task, std::uint32_t run);
//! Records that the outcome of the start order is known. Does nothing if a later run of the task is to be
//! started on the worker by now.
void recordStartSettled(worker_session &session, const task_name &task, std::uint32_t run);
//! Records that the worker has accepted the run, unless it has accepted a later one.
void recordAcceptedRun(worker_session &session, const task_name &task, std::uint32_t run, time_point now);
//! Records that a start order for the run had no response.
void recordUnansweredStart(worker_session &session, const task_name &task, std::uint32_t run);
//! Records that the run was stopped since its start order had no response. Only a list of runs that is made
//! after that shows whether the worker has it. Does nothing if a later run was stopped.
void recordStartStopped(worker_session &session, const task_name &task, std::uint32_t run, time_point now);

//! Returns whether \a run of \a task is known to have begun on \a session.
bool hasBegun(const worker_session &session, const task_name &task, std::uint32_t run);

//! Creates the session of \a worker. Leases of earlier owners may last until \a inheritedLeaseUntil.
worker_session openSession(const worker_info &worker, time_point inheritedLeaseUntil);

//! Continues \a session with the incarnation of the worker that was born at \a bornMs. Orders
//! without a response may be carried out by any of its incarnations. What is known about its runs is
//! therefore kept, and the lists of runs of the new incarnation decide.
void restartSession(worker_session &session, std::int64_t bornMs);
//! Returns whether an order to \a target was meant for the incarnation of \a session.
bool isSameIncarnation(const worker_session &session, const order_target &target);
//! Returns whether an order to \a target went to the present incarnation at its present address. A refusal
//! from elsewhere, or no response, tells nothing about the session.
bool isPresent(const worker_session &session, const order_target &target);
//! Returns whether \a response is of another incarnation than \a session.
bool isOtherIncarnation(const worker_session &session, const poll_response &response);

//! Until when a worker may run tasks of an earlier owner, if the term of this owner began at \a since.
time_point inheritedLeaseEnd(const session_rules &rules, time_point since);

//! The same if it is known that no earlier owner has renewed a lease after \a over.
time_point inheritedLeaseEndAfter(const session_rules &rules, time_point over);

//! When all leases of the worker have certainly expired.
time_point leaseEnd(const worker_session &session);

//! Returns the end of a new lease on the worker's clock; nothing before that clock is known. It does not
//! advance while orders have no response: otherwise the lease of a worker that is gone would never expire.
std::optional<std::int64_t> nextLeaseEnd(const worker_session &session, const session_rules &rules,
                                         time_point now);
//! Records that a lease until \a leaseEndMs on the worker's clock was sent, whether or not there was a
//! response.
void recordGrantedLease(worker_session &session, std::int64_t leaseEndMs, const session_rules &rules);
//! Updates the worker's clock and the time of the last response.
void recordResponse(worker_session &session, const order_response &response, time_point now);
//! Records that an order sent at \a sentAt had no response, although the response may have been due only
//! after \a wait.
void recordMissingResponse(worker_session &session, time_point sentAt, milliseconds wait = milliseconds(0));

//! Returns up to which number the next poll acknowledges ended runs; 0 for none. Numbers start anew with each
//! incarnation, and one that has not responded yet must not forget ends that were never read.
std::uint64_t nextAcknowledgement(const worker_session &session);
//! Returns whether a poll must acknowledge ended runs that are durable.
bool hasUnacknowledgedEnds(const worker_session &session);

//! Updates \a session with a poll response. Returns records for what the table does not know yet: ended runs,
//! and lost runs that the worker no longer has. \a sentAt is the time at which the poll was sent, and
//! \a acknowledged the number that it acknowledged. Does nothing with a response of another incarnation.
std::vector<journal_record> applyPoll(worker_session &session, poll_response response, const job_table &table,
                                      time_point sentAt, time_point now, std::uint64_t acknowledged = 0);

//! Returns records for the runs on \a session that are lost because another worker has its address or its
//! lease has expired. The lease of a responsive worker is not judged by the clock: its poll responses show
//! what it runs.
std::vector<journal_record> expiredRuns(const worker_session &session, const session_rules &rules,
                                        const job_table &table, time_point now);

//! A run to be stopped.
struct unwanted_run
{
    task_name task;
    std::uint32_t run = 0;
};

//! Returns those of the \a runs on a worker that no open job has assigned to it.
std::vector<unwanted_run> unwantedRuns(std::span<const listed_run> runs);

//! Returns whether the worker has left orders without a response for too long.
bool isUnresponsive(const worker_session &session, const session_rules &rules, time_point now);
//! Returns whether new tasks may be placed on the worker.
bool acceptsNewTasks(const worker_session &session, const session_rules &rules, time_point now);

} // namespace almond::jobs
