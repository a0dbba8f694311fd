#pragma once

#include "jobs/target_miss.h"
#include "jobs/worker_api.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace almond::jobs {

//! A run: the task and its number.
using run_key = std::pair<task_name, std::uint32_t>;

//! An order that limits the CPU of a run to \a percent of its demand; 0 suspends it.
struct throttle_order
{
    task_name task;
    std::uint32_t run = 0;
    int percent = 100;
};

//! The newest order to limit the CPU of a run.
struct limit_order
{
    int percent = 100;
    //! When the worker has accepted it; zero if it has not.
    time_point acceptedAt{};
    time_point sentAt{};
    bool awaitsResponse = false;
    //! Number of earlier orders for the run that have no response yet.
    int earlierUnderWay = 0;
    //! When it was last found that an order had no response; it may still be carried out.
    time_point unansweredAt{};
};

//! CPU limits of the best-effort tasks on one worker, and the reasons for them.
struct throttle_state
{
    time_point changedAt{};
    //! CPU limit in percent that was last decided for each run; a run without an entry is not throttled.
    std::map<run_key, int> percentByRun;
    //! What was ordered for each run; a run without an entry had no order and is not limited.
    std::map<run_key, limit_order> orders;
    //! Runs of earlier owners without an order of this one, and when they were first listed.
    std::map<run_key, time_point> inheritedSince;
    //! Since when no owner has watched the runs that an earlier one has started; zero if that is not known.
    time_point unattendedSince{};
    //! Measurements of the serving tasks.
    std::map<task_name, tail_history> tails;
    //! First measurement of the longest target miss at the newest poll; nothing if all targets are met.
    std::optional<time_point> missedSince;
    //! Since when no target has been missed.
    time_point metSince{};
    //! How much less slack than the model predicts was measured for a serving task.
    std::map<task_name, double> unexplainedLoss;
};

//! CPU limit of a run in percent of its demand that was decided; 100 if it is not throttled.
int throttlePercent(const throttle_state &throttle, const task_name &task, std::uint32_t run);

//! Returns the order that brings the limit of the run into force, and records it as sent; nothing if the
//! limit that was decided is in force or about to be. A higher limit waits for the response to earlier
//! orders, since orders that are under way together may be carried out in any order. A lower one does not
//! wait. A suspension that has had no response for some time is sent again.
std::optional<throttle_order> nextThrottleOrder(throttle_state &throttle, const run_key &run, time_point now);

//! Records the response to \a order. A limit that the worker has refused or left without a response is due
//! again, unless the refusal shows that the run is over.
void recordThrottleResponse(throttle_state &throttle, const throttle_order &order,
                            const order_response &response, time_point now);

} // namespace almond::jobs
