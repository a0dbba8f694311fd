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

//! One attempt at the stand-in worker.
struct worker_task
{
    placement::run_order order;
    bool running = true;
    placement::attempt_outcome outcome = placement::attempt_outcome::done;
    double progressMs = 0;
    std::int64_t throttlePercent = 100;
    time_point startedAt{};
};

//! Receives what the worker did, for its record.
using event_sink = std::function<void(std::string_view event, json fields)>;

//! A worker that runs task attempts under a lease, without any transport.
struct worker_state
{
    std::string id;
    std::string incarnation;
    placement::resources capacity;
    std::string cell;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    time_point leaseUntil{};
    time_point advancedAt{};
    //! A worker that fails every attempt it starts.
    bool failsEverything = false;
    //! Usage is reported so long after it was measured; before that it is unknown.
    kernel::milliseconds usageLag{2000};
    std::map<attempt_id, worker_task> tasks;
    event_sink sink;
};

//! Lets the running attempts progress until \a now; ends those that are done or whose lease is over.
void advance(worker_state &worker, time_point now);

//! Takes one request of a cell's owner and reports all attempts.
placement::sync_response handleSync(worker_state &worker, const placement::sync_request &request,
                                    time_point now);

//! The resources of the running attempts.
placement::resources runningDemand(const worker_state &worker);

//! Stops every attempt with a checkpoint, for a planned stop of the worker.
void stopAll(worker_state &worker, time_point now);

} // namespace almond::standins
