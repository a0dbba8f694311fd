#pragma once

#include "jobs/interference_model.h"
#include "jobs/job_table.h"
#include "jobs/listed_runs.h"
#include "jobs/throttle_state.h"
#include "jobs/worker_session.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace almond::jobs {

//! Thresholds for the placement and throttling of best-effort tasks beside serving tasks.
struct interference_rules
{
    learning_rules learning;
    //! Measured slack is capped at this value: more carries no information.
    double largestSlack = 6.0;
    //! Below this slack the measured tail latency has reached its ceiling and no longer shows how much slack
    //! is missing.
    double smallestSlack = 0.12;
    //! Slack that throttling and unthrottling aim at.
    double targetSlack = 1.2;
    //! Above this slack best-effort neighbours may be unthrottled.
    double unthrottleSlack = 1.3;
    //! A best-effort task is placed only where this slack is expected to remain after twice the slack that it
    //! takes: for a task that takes much, the error of the estimate is large as well.
    double placementSlack = 1.05;
    //! By how much the slack of one task differs from that of its job without a cause of its own.
    double normalDeviation = 0.4;
    //! A best-effort task that takes less slack than this is harmless: it may be placed anywhere and is not
    //! throttled.
    double negligibleSlack = 0.08;
    //! How far ahead the load of serving tasks is predicted; about the duration of a best-effort task.
    milliseconds forecastHorizon{3000};
    //! Minimum time between two changes on a worker: the effect of a change must show in measurements, which
    //! cover half a second.
    milliseconds settleTime{600};
    //! How long a serving task may miss its target before its neighbours are throttled: most of them end
    //! sooner by themselves.
    milliseconds throttleAfter{1200};
    //! How long a serving task may miss its target because of best-effort tasks (the harm bound).
    milliseconds harmBound{4000};
    //! Time from the decision to suspend a task until it is suspended.
    milliseconds suspendTime{350};
    //! Longest usual time between two polls while a target is missed.
    milliseconds pollInterval{500};
    //! Time from the acceptance of a limit until the CPU usage in a poll shows it.
    milliseconds limitEffectTime{1200};
    //! How long an order without a response may still be carried out.
    milliseconds lateOrderTime{15'000};
    //! CPU usage above the limit is accepted up to this share of the demand.
    double usageTolerance = 0.1;
    //! Time in which a tail latency above its target falls by half once its neighbours are suspended.
    milliseconds tailHalfLife{400};
    //! How long no target must have been missed, and no limit changed, until a suspended neighbour is freed
    //! on trial.
    milliseconds trialInterval{5000};
    //! A neighbour that has run for less than this share of its declared duration is moved rather than
    //! throttled: it completes sooner if it starts over elsewhere.
    double moveBelowProgress = 0.6;
    //! A task that has been started this often is not moved any more.
    std::uint32_t maxRunsToMove = 3;
    miss_rules misses;
};

struct serving_view
{
    image_number image = 0;
    //! Least slack that it is expected to have within the forecast horizon, beside all that is assigned to
    //! the worker.
    double slack = 0.0;
};

//! Converts \a millicores on a worker with \a capacity to cores in the units of the interference model.
double modelCores(std::int64_t millicores, const resources &capacity);

//! Adds the measurements of one poll of a worker to the model's samples. Stores in \a throttle the loss of
//! slack that the model does not explain, and in \a runs the numbers of the images.
void learnFromReports(interference_model &model, throttle_state &throttle, const interference_rules &rules,
                      const resources &capacity, std::span<listed_run> runs, time_point now);

//! Number of limits that a poll has shown not to be in force: the one in force is too high or too low.
struct limit_faults
{
    std::size_t tooHigh = 0;
    std::size_t tooLow = 0;
};

//! What to do in favour of the serving tasks on one worker.
struct mitigation
{
    //! Orders that are due, also for limits that were decided before.
    std::vector<throttle_order> throttles;
    //! Runs to stop, so that they start again on other workers.
    std::vector<unwanted_run> moves;
    limit_faults faults;
};

//! Decides from the newest measurements of one worker. The neighbour that takes the most slack from the
//! serving task with the least slack is moved or throttled first. The decisions are recorded in \a throttle.
//! \a runs are those that the worker has listed.
mitigation mitigate(throttle_state &throttle, const interference_model &model,
                    const interference_rules &rules, const worker_session &session,
                    std::span<const listed_run> runs, time_point now);

//! Returns whether \a throttle stays as it is with a poll that lists neither serving nor best-effort tasks.
bool isAtRest(const throttle_state &throttle);

//! Suspends all best-effort tasks if a serving task comes near the harm bound while no poll has a response.
//! Returns the orders that are due.
std::vector<throttle_order> suspendBetweenPolls(throttle_state &throttle, const interference_rules &rules,
                                                const job_table &table, const worker_session &session,
                                                time_point now);

//! Returns whether a serving task probably misses its target now.
bool isTargetMissed(const throttle_state &throttle);

//! Returns how long after its earliest possible begin \a miss may go on until best-effort tasks are
//! suspended.
milliseconds suspensionDelay(const possible_miss &miss, const interference_rules &rules);

//! Returns whether a serving task has missed its target for so long that no best-effort task may be added.
bool isBestEffortBlocked(const throttle_state &throttle, const interference_rules &rules, time_point now);

} // namespace almond::jobs
