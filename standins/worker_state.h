#pragma once

#include "placement/worker_protocol.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace almond::standins {

using kernel::time_point;
using placement::attempt_id;
using placement::json;

//! An attempt that the worker runs, or that has ended and is not yet acknowledged by the owner.
struct worker_task
{
    placement::run_order order;
    bool running = true;
    placement::attempt_outcome outcome = placement::attempt_outcome::done;
    //! Run time so far at full speed, in milliseconds.
    double progressMs = 0;
    //! Progress per elapsed time, in percent.
    std::int64_t throttlePercent = 100;
    time_point startedAt{};
};

//! Receives the worker's events, to be written to its record.
using event_sink = std::function<void(std::string_view event, json fields)>;

//! State of a worker that runs task attempts under a lease, without transport.
struct worker_state
{
    std::string id;
    std::string incarnation;
    placement::resources capacity;
    std::string cell;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    //! Attempts end as lost after this time, and none may start.
    time_point leaseUntil{};
    //! Time of the last advance().
    time_point advancedAt{};
    //! Injected fault: every attempt fails after its start.
    bool failsEverything = false;
    //! Lag of the usage measurements: an attempt's usage is unknown until this long after its start.
    kernel::milliseconds usageLag{2000};
    std::map<attempt_id, worker_task> tasks;
    event_sink sink;
};

//! Adds progress to the running attempts up to \a now; ends those that are done, and all of them if the lease
//! has expired.
void advance(worker_state &worker, time_point now);

//! Applies the request of a cell's owner, unless it is stale or for another incarnation, and reports all
//! attempts.
placement::sync_response handleSync(worker_state &worker, const placement::sync_request &request,
                                    time_point now);

//! Returns the sum of the resources that the running attempts demand.
placement::resources runningDemand(const worker_state &worker);

//! Stops every attempt with a checkpoint, before the worker shuts down as planned.
void stopAll(worker_state &worker, time_point now);

} // namespace almond::standins
