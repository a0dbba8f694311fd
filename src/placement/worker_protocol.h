#pragma once

#include "placement/types.h"

#include <vector>

namespace almond::placement {

//! An order to run an attempt.
struct run_order
{
    attempt_id id;
    job_spec spec;
    //! Checkpoint from which the attempt resumes; empty to start from scratch. Opaque to the scheduler.
    std::string checkpoint;
    //! The worker refuses to start the attempt after this time, in milliseconds since the epoch.
    std::int64_t startBeforeMs = 0;
};

void to_json(json &out, const run_order &order);
void from_json(const json &in, run_order &order);

//! An order to set the CPU share of a running attempt to \a percent.
struct throttle_order
{
    attempt_id id;
    std::int64_t percent = 100;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(throttle_order, id, percent)

//! Request from the owner of a cell to a worker. The worker accepts it only from the highest epoch that it
//! has seen, with a sequence number above the last one, and for its own incarnation.
struct sync_request
{
    std::string cell;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    //! Empty while the owner does not know the incarnation; such a request only asks for a report.
    std::string incarnation;
    //! End of the task lease: the worker stops its tasks then unless a later request extends the lease.
    std::int64_t leaseUntilMs = 0;
    std::vector<run_order> run;
    //! Attempts to checkpoint and stop.
    std::vector<attempt_id> stop;
    std::vector<throttle_order> throttle;
    //! Ended attempts that are no longer current or whose end is in the journal. The worker forgets them.
    std::vector<attempt_id> acknowledge;
    //! Finished attempts whose end is in the journal: the worker publishes their results, then forgets them.
    //! A finished attempt that the owner has meanwhile ended as lost is acknowledged and never published.
    std::vector<attempt_id> publish;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(sync_request, cell, epoch, sequence, incarnation, leaseUntilMs, run, stop,
                                   throttle, acknowledge, publish)

//! Resource usage of a task, measured by the worker some time before the report.
struct usage_report
{
    std::int64_t millicores = 0;
    std::int64_t memoryMb = 0;
    //! Run time per unit of work, relative to running alone: 1.0 without interference, 0 if unknown.
    double slowdown = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(usage_report, millicores, memoryMb, slowdown)

//! State of an attempt on the worker.
struct attempt_report
{
    attempt_id id;
    bool running = false;
    //! Valid only if the attempt is not running.
    attempt_outcome outcome = attempt_outcome::done;
    std::string checkpoint;
    usage_report usage;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_report, id, running, outcome, checkpoint, usage)

//! Response of a worker to a sync_request.
struct sync_response
{
    //! False if the worker did not carry out the request. Its report (incarnation, capacity and attempts) is
    //! valid all the same.
    bool accepted = false;
    std::string refusal;
    std::string incarnation;
    resources capacity;
    std::vector<attempt_report> attempts;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(sync_response, accepted, refusal, incarnation, capacity, attempts)

} // namespace almond::placement
