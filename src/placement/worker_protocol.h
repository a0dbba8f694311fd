#pragma once

#include "placement/types.h"

#include <vector>

namespace almond::placement {

//! An attempt that the worker shall run.
struct run_order
{
    attempt_id id;
    job_spec spec;
    //! Where the attempt resumes; empty for the beginning. Opaque to the scheduler.
    std::string checkpoint;
    //! The worker refuses to start the attempt after this time, in milliseconds since the epoch.
    std::int64_t startBeforeMs = 0;
};

void to_json(json &out, const run_order &order);
void from_json(const json &in, run_order &order);

//! A change of a running attempt's share of the processors, in percent.
struct throttle_order
{
    attempt_id id;
    std::int64_t percent = 100;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(throttle_order, id, percent)

//! What the owner of a cell sends to one worker. A worker takes it only from the highest epoch seen,
//! with a sequence number above the last one, and for its own incarnation.
struct sync_request
{
    std::string cell;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    //! Empty while the owner does not know the incarnation; then only a report is asked for.
    std::string incarnation;
    //! The worker stops its tasks at this time unless a later request moves it.
    std::int64_t leaseUntilMs = 0;
    std::vector<run_order> run;
    //! Attempts to checkpoint and stop.
    std::vector<attempt_id> stop;
    std::vector<throttle_order> throttle;
    //! Ended attempts that do not count, or whose end is recorded; the worker forgets them.
    std::vector<attempt_id> acknowledge;
    //! Finished attempts whose end is recorded: the worker hands their results over, then forgets them. A
    //! finished attempt that the owner has given up meanwhile is acknowledged and never published.
    std::vector<attempt_id> publish;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(sync_request, cell, epoch, sequence, incarnation, leaseUntilMs, run, stop,
                                   throttle, acknowledge, publish)

//! What a task used, as the worker measured it some time ago.
struct usage_report
{
    std::int64_t millicores = 0;
    std::int64_t memoryMb = 0;
    //! Run time per unit of work, relative to running alone; 1.0 without interference, 0 when unknown.
    double slowdown = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(usage_report, millicores, memoryMb, slowdown)

//! One attempt as the worker sees it.
struct attempt_report
{
    attempt_id id;
    bool running = false;
    //! Meaningful when the attempt is not running.
    attempt_outcome outcome = attempt_outcome::done;
    std::string checkpoint;
    usage_report usage;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_report, id, running, outcome, checkpoint, usage)

//! A worker's answer to a sync_request.
struct sync_response
{
    //! False when the request was not taken; then only the report is valid.
    bool accepted = false;
    std::string refusal;
    std::string incarnation;
    resources capacity;
    std::vector<attempt_report> attempts;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(sync_response, accepted, refusal, incarnation, capacity, attempts)

} // namespace almond::placement
