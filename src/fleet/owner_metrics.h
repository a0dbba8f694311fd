#pragma once

#include "fleet/owner_time.h"
#include "jobs/interference.h"
#include "jobs/miss_monitor.h"
#include "jobs/planner.h"
#include "jobs/wait_monitor.h"
#include "jobs/worker_api.h"

#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace almond::fleet {

//! From what an owner concludes that a run is lost.
enum class loss_evidence : std::uint8_t { notListed, leaseExpired, addressReused };
inline constexpr std::size_t lossEvidenceCount = 3;

//! Why an order to limit the CPU of a run is not known to be in force.
enum class throttle_failure : std::uint8_t { unhealthy, obsolete, malformed, other, noResponse };
inline constexpr std::size_t throttleFailureCount = 5;

//! What a start depends on, which the store must have confirmed a short time ago.
enum class start_input : std::uint8_t { config, workers, jobs };
inline constexpr std::size_t startInputCount = 3;
//! How long ago each start_input was confirmed.
using confirmed_ages = std::array<kernel::milliseconds, startInputCount>;
//! Name of \a input in logs and metrics.
std::string_view inputName(start_input input);

//! Metrics of the owner. Counters keep their values across the terms of one process. The registry owns them.
struct owner_metrics
{
    prometheus::Histogram *gaps = nullptr;
    //! Indexed by limit and cause.
    std::array<std::array<prometheus::Counter *, jobs::waitCauseCount>, 2> overLimit{};
    prometheus::Counter *idleJobs = nullptr;
    prometheus::Gauge *longestMissedTurn = nullptr;
    //! Indexed by jobs::placement_refusal.
    std::array<prometheus::Counter *, jobs::placementRefusalCount> idleTaskRefusals{};
    prometheus::Gauge *longRunningDown = nullptr;
    prometheus::Gauge *longestWait = nullptr;
    prometheus::Histogram *loadTimes = nullptr;
    prometheus::Histogram *startHolds = nullptr;
    //! Indexed by start_input.
    std::array<prometheus::Histogram *, startInputCount> confirmedAges{};
    //! Indexed by loss_evidence.
    std::array<prometheus::Counter *, lossEvidenceCount> lostRuns{};
    prometheus::Counter *sessionsReopened = nullptr;
    prometheus::Counter *overlappingPolls = nullptr;
    prometheus::Counter *refusedStops = nullptr;
    //! Orders that were held back since the worker had restarted.
    prometheus::Counter *ordersForEarlier = nullptr;
    prometheus::Histogram *targetMisses = nullptr;
    prometheus::Gauge *longestTargetMiss = nullptr;
    prometheus::Histogram *measurementGaps = nullptr;
    //! Indexed by jobs::miss_height.
    std::array<prometheus::Histogram *, jobs::missHeightCount> tailRecoveries{};
    //! Indexed by throttle_failure.
    std::array<prometheus::Counter *, throttleFailureCount> refusedThrottles{};
    prometheus::Counter *limitsTooHigh = nullptr;
    prometheus::Counter *limitsTooLow = nullptr;
    //! Indexed by owner_part.
    std::array<prometheus::Counter *, ownerPartCount> partSeconds{};
    prometheus::Histogram *loopLags = nullptr;
};

//! Registers the metrics. \a rules gives the limits on the time a long-running task may be down.
owner_metrics addOwnerMetrics(prometheus::Registry &registry, const jobs::wait_monitor_rules &rules);

//! Records the findings of one scan. Empty findings set the gauges to zero.
void recordFindings(owner_metrics &metrics, const jobs::scan_findings &found);
//! Records the longest time of the present term that a job had a turn and nothing running. The gauge keeps
//! the longest of all terms of this process.
void recordMissedTurn(owner_metrics &metrics, kernel::milliseconds longest);
//! Records the reason for which most candidates refuse a task of an idle job.
void recordIdleTask(owner_metrics &metrics, const jobs::placement_options &options);
//! Records the time that a new owner took to read the journal and all jobs.
void recordLoadTime(owner_metrics &metrics, kernel::milliseconds spent);
//! Records how old the inputs of starts are at one of the owner's periodic checks.
void recordConfirmedAges(owner_metrics &metrics, const confirmed_ages &ages);
//! Records that a start waited for \a time until what it depends on was confirmed again.
void recordStartHold(owner_metrics &metrics, kernel::milliseconds time);
//! Records that \a count runs were found lost by \a evidence. A run is counted again until its loss is
//! committed.
void recordLostRuns(owner_metrics &metrics, loss_evidence evidence, std::size_t count);
//! Records findings on target misses. The gauge keeps the longest of all terms of this process, of which
//! \a longest is the one of the present term.
void recordTargetMisses(owner_metrics &metrics, const jobs::miss_findings &found,
                        kernel::milliseconds longest);
//! Records \a response to an order to limit the CPU of a run, unless it was accepted.
void recordThrottleFailure(owner_metrics &metrics, const jobs::order_response &response);
//! Records the limits that a poll has shown not to be in force.
void recordLimitFaults(owner_metrics &metrics, const jobs::limit_faults &faults);
//! Raises the times by part to what \a times has counted so far.
void recordPartTimes(owner_metrics &metrics, const owner_time &times);
//! Records how much later than asked the owner's loop has continued one sleep.
void recordLoopLag(owner_metrics &metrics, kernel::milliseconds lag);

} // namespace almond::fleet
