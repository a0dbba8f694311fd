#include "fleet/owner_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <algorithm>
#include <string>

namespace almond::fleet {

using kernel::milliseconds;

namespace {

//! Upper bounds in seconds; dense around the limits of 6 and 9 s.
const prometheus::Histogram::BucketBoundaries gapBounds{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 15, 20, 30, 60};
//! Dense around the harm bound of 4 or 4.5 s.
const prometheus::Histogram::BucketBoundaries missBounds{0.5,  1, 1.5,  2,   2.25, 2.5, 2.75, 3, 3.25, 3.5,
                                                         3.75, 4, 4.25, 4.5, 4.75, 5,   6,    8, 12};
const prometheus::Histogram::BucketBoundaries measurementBounds{0.1,  0.25, 0.4, 0.5, 0.6, 0.75, 1,
                                                                1.25, 1.5,  2,   2.5, 3,   4,    6};
const prometheus::Histogram::BucketBoundaries recoveryBounds{0.25, 0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3, 4, 6};
//! Around the validities of the inputs.
const prometheus::Histogram::BucketBoundaries ageBounds{0.25, 0.5, 1, 1.5, 1.9, 2.3, 2.7,
                                                        3,    3.5, 5, 8,   12,  20};
const prometheus::Histogram::BucketBoundaries loadBounds{0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16};
//! Up to the times after which a relay, a worker or a lease counts as lost.
const prometheus::Histogram::BucketBoundaries lagBounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4,
                                                        0.65,  1,    1.3,   2,    3,   5};

double inSeconds(milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

throttle_failure failureOf(const jobs::order_response &response)
{
    if (response.outcome != jobs::order_outcome::refused)
        return throttle_failure::noResponse;
    switch (response.refusal) {
    case jobs::order_refusal::unhealthy:
        return throttle_failure::unhealthy;
    case jobs::order_refusal::obsolete:
        return throttle_failure::obsolete;
    case jobs::order_refusal::malformed:
        return throttle_failure::malformed;
    default:
        return throttle_failure::other;
    }
}

void addIdleJobMetrics(prometheus::Registry &registry, owner_metrics &metrics)
{
    metrics.idleJobs = &prometheus::BuildCounter()
                            .Name("almond_jobs_idle_with_room_total")
                            .Help("Jobs that had nothing running for over 3 s though there was room.")
                            .Register(registry)
                            .Add({});
    metrics.longestMissedTurn
        = &prometheus::BuildGauge()
               .Name("almond_job_missed_turn_longest_seconds")
               .Help("Longest time that a job had nothing running though a ready task fitted on two workers "
                     "and under half of its service was in use.")
               .Register(registry)
               .Add({});
    prometheus::Family<prometheus::Counter> &refusals
        = prometheus::BuildCounter()
              .Name("almond_idle_tasks_refused_total")
              .Help("Tasks of these jobs that most workers refused for one reason, by that reason.")
              .Register(registry);
    for (std::size_t reason = 0; reason < jobs::placementRefusalCount; ++reason) {
        const std::string name(jobs::refusalName(static_cast<jobs::placement_refusal>(reason)));
        metrics.idleTaskRefusals.at(reason) = &refusals.Add({{"reason", name}});
    }
}

void addAgeMetrics(prometheus::Registry &registry, owner_metrics &metrics)
{
    prometheus::Family<prometheus::Histogram> &ages
        = prometheus::BuildHistogram()
              .Name("almond_confirmed_age_seconds")
              .Help("How long ago the store confirmed what a start depends on, at each periodic check of the "
                    "owner.")
              .Register(registry);
    for (std::size_t input = 0; input < startInputCount; ++input) {
        const std::string name(inputName(static_cast<start_input>(input)));
        metrics.confirmedAges.at(input) = &ages.Add({{"input", name}}, ageBounds);
    }
}

void addHoldMetrics(prometheus::Registry &registry, owner_metrics &metrics)
{
    metrics.startHolds = &prometheus::BuildHistogram()
                              .Name("almond_start_hold_seconds")
                              .Help("Time that a planned start waited until what it depends on was "
                                    "confirmed again.")
                              .Register(registry)
                              .Add({}, ageBounds);
}

void addTargetMissMetrics(prometheus::Registry &registry, owner_metrics &metrics)
{
    metrics.targetMisses
        = &prometheus::BuildHistogram()
               .Name("almond_target_miss_seconds")
               .Help("Time that a serving task was over its target beside best-effort tasks at work.")
               .Register(registry)
               .Add({}, missBounds);
    metrics.longestTargetMiss = &prometheus::BuildGauge()
                                     .Name("almond_target_miss_longest_seconds")
                                     .Help("Longest of these times, those that have not ended included.")
                                     .Register(registry)
                                     .Add({});
    metrics.measurementGaps
        = &prometheus::BuildHistogram()
               .Name("almond_serving_measurement_gap_seconds")
               .Help("Time between two polls with a measurement of a serving task beside best-effort tasks.")
               .Register(registry)
               .Add({}, measurementBounds);
    prometheus::Family<prometheus::Histogram> &recoveries
        = prometheus::BuildHistogram()
              .Name("almond_tail_recovery_seconds")
              .Help("Time from the suspension of the neighbours of a serving task that was over its target "
                    "until a measurement met it, by the height of the tail as a multiple of the target.")
              .Register(registry);
    for (std::size_t height = 0; height < jobs::missHeightCount; ++height) {
        const std::string name(jobs::heightName(static_cast<jobs::miss_height>(height)));
        metrics.tailRecoveries.at(height) = &recoveries.Add({{"height", name}}, recoveryBounds);
    }
}

void addThrottleMetrics(prometheus::Registry &registry, owner_metrics &metrics)
{
    prometheus::Family<prometheus::Counter> &refused
        = prometheus::BuildCounter()
              .Name("almond_throttles_refused_total")
              .Help("Orders to limit the CPU of a run that were refused or had no response, by the reason.")
              .Register(registry);
    constexpr std::array<const char *, throttleFailureCount> reasonNames{"unhealthy", "obsolete", "malformed",
                                                                         "other", "no_response"};
    for (std::size_t reason = 0; reason < throttleFailureCount; ++reason)
        metrics.refusedThrottles.at(reason) = &refused.Add({{"reason", reasonNames.at(reason)}});
    prometheus::Family<prometheus::Counter> &notInForce
        = prometheus::BuildCounter()
              .Name("almond_limits_not_in_force_total")
              .Help("Accepted limits that the CPU usage of the run has shown not to be in force: the one in "
                    "force was too high or too low.")
              .Register(registry);
    metrics.limitsTooHigh = &notInForce.Add({{"direction", "too_high"}});
    metrics.limitsTooLow = &notInForce.Add({{"direction", "too_low"}});
}

void addOrderMetrics(prometheus::Registry &registry, owner_metrics &metrics)
{
    metrics.refusedStops = &prometheus::BuildCounter()
                                .Name("almond_stops_refused_total")
                                .Help("Orders to stop a run that the worker has refused.")
                                .Register(registry)
                                .Add({});
    metrics.ordersForEarlier
        = &prometheus::BuildCounter()
               .Name("almond_orders_for_earlier_incarnation_total")
               .Help("Starts, renewals and acknowledgements held back since the worker had restarted.")
               .Register(registry)
               .Add({});
}

void addLoopMetrics(prometheus::Registry &registry, owner_metrics &metrics)
{
    prometheus::Family<prometheus::Counter> &seconds
        = prometheus::BuildCounter()
              .Name("almond_owner_seconds_total")
              .Help("Time that the owner's event loop has spent, by part of its work.")
              .Register(registry);
    for (std::size_t part = 0; part < ownerPartCount; ++part) {
        const std::string name(partName(static_cast<owner_part>(part)));
        metrics.partSeconds.at(part) = &seconds.Add({{"part", name}});
    }
    metrics.loopLags
        = &prometheus::BuildHistogram()
               .Name("almond_owner_loop_lag_seconds")
               .Help("How much later than asked the owner's event loop has continued between two "
                     "periodic checks.")
               .Register(registry)
               .Add({}, lagBounds);
}

} // namespace

std::string_view inputName(start_input input)
{
    static constexpr std::array<std::string_view, startInputCount> names{"config", "workers", "jobs"};
    return names.at(static_cast<std::size_t>(input));
}

owner_metrics addOwnerMetrics(prometheus::Registry &registry, const jobs::wait_monitor_rules &rules)
{
    owner_metrics metrics;
    metrics.gaps = &prometheus::BuildHistogram()
                        .Name("almond_lasting_task_gap_seconds")
                        .Help("Time between the end of a lasting task's run and the begin of its next one.")
                        .Register(registry)
                        .Add({}, gapBounds);
    prometheus::Family<prometheus::Counter> &overLimit
        = prometheus::BuildCounter()
              .Name("almond_lasting_tasks_over_limit_total")
              .Help("Lasting tasks that did not run for longer than a limit, by the cause at that time.")
              .Register(registry);
    for (std::size_t limit = 0; limit < metrics.overLimit.size(); ++limit) {
        const auto seconds
            = std::chrono::duration_cast<std::chrono::seconds>(rules.longRunningLimits.at(limit)).count();
        for (std::size_t cause = 0; cause < jobs::waitCauseCount; ++cause) {
            const std::string name(jobs::causeName(static_cast<jobs::wait_cause>(cause)));
            metrics.overLimit.at(limit).at(cause)
                = &overLimit.Add({{"limit_seconds", std::to_string(seconds)}, {"cause", name}});
        }
    }
    addIdleJobMetrics(registry, metrics);
    metrics.longRunningDown = &prometheus::BuildGauge()
                                   .Name("almond_lasting_tasks_waiting")
                                   .Help("Lasting tasks that don't run, or can't be seen to run.")
                                   .Register(registry)
                                   .Add({});
    metrics.longestWait = &prometheus::BuildGauge()
                               .Name("almond_lasting_task_longest_wait_seconds")
                               .Help("Longest time that one of these has not run for.")
                               .Register(registry)
                               .Add({});
    metrics.loadTimes = &prometheus::BuildHistogram()
                             .Name("almond_jobs_load_seconds")
                             .Help("Time from taking office until the journal and all jobs were read.")
                             .Register(registry)
                             .Add({}, loadBounds);
    prometheus::Family<prometheus::Counter> &lostRuns
        = prometheus::BuildCounter()
              .Name("almond_runs_lost_total")
              .Help("Runs that were found lost, by the evidence; counted again until the loss is committed.")
              .Register(registry);
    constexpr std::array<const char *, lossEvidenceCount> evidenceNames{"not_listed", "lease_expired",
                                                                        "address_reused"};
    for (std::size_t evidence = 0; evidence < lossEvidenceCount; ++evidence)
        metrics.lostRuns.at(evidence) = &lostRuns.Add({{"evidence", evidenceNames.at(evidence)}});
    metrics.sessionsReopened
        = &prometheus::BuildCounter()
               .Name("almond_worker_sessions_reopened_total")
               .Help("Sessions that were opened for a worker that had one before in the same term.")
               .Register(registry)
               .Add({});
    metrics.overlappingPolls
        = &prometheus::BuildCounter()
               .Name("almond_worker_polls_overlapping_total")
               .Help("Regular polls that were sent while another one of the worker had no response.")
               .Register(registry)
               .Add({});
    addAgeMetrics(registry, metrics);
    addHoldMetrics(registry, metrics);
    addOrderMetrics(registry, metrics);
    addTargetMissMetrics(registry, metrics);
    addThrottleMetrics(registry, metrics);
    addLoopMetrics(registry, metrics);
    return metrics;
}

void recordFindings(owner_metrics &metrics, const jobs::scan_findings &found)
{
    for (const milliseconds gap : found.gaps)
        metrics.gaps->Observe(inSeconds(gap));
    for (std::size_t limit = 0; limit < found.overLimit.size(); ++limit) {
        for (std::size_t cause = 0; cause < jobs::waitCauseCount; ++cause)
            metrics.overLimit.at(limit).at(cause)->Increment(
                static_cast<double>(found.overLimit.at(limit).at(cause)));
    }
    metrics.idleJobs->Increment(static_cast<double>(found.idleJobs));
    metrics.longRunningDown->Set(static_cast<double>(found.longRunningDown));
    metrics.longestWait->Set(inSeconds(found.longestWait));
}

void recordMissedTurn(owner_metrics &metrics, milliseconds longest)
{
    metrics.longestMissedTurn->Set(std::max(metrics.longestMissedTurn->Value(), inSeconds(longest)));
}

void recordLostRuns(owner_metrics &metrics, loss_evidence evidence, std::size_t count)
{
    metrics.lostRuns.at(static_cast<std::size_t>(evidence))->Increment(static_cast<double>(count));
}

void recordTargetMisses(owner_metrics &metrics, const jobs::miss_findings &found, milliseconds longest)
{
    for (const milliseconds length : found.endedMisses)
        metrics.targetMisses->Observe(inSeconds(length));
    for (const milliseconds gap : found.measurementGaps)
        metrics.measurementGaps->Observe(inSeconds(gap));
    for (std::size_t height = 0; height < jobs::missHeightCount; ++height) {
        for (const milliseconds time : found.recoveries.at(height))
            metrics.tailRecoveries.at(height)->Observe(inSeconds(time));
    }
    metrics.longestTargetMiss->Set(std::max(metrics.longestTargetMiss->Value(), inSeconds(longest)));
}

void recordThrottleFailure(owner_metrics &metrics, const jobs::order_response &response)
{
    if (response.outcome != jobs::order_outcome::accepted)
        metrics.refusedThrottles.at(static_cast<std::size_t>(failureOf(response)))->Increment();
}

void recordLimitFaults(owner_metrics &metrics, const jobs::limit_faults &faults)
{
    metrics.limitsTooHigh->Increment(static_cast<double>(faults.tooHigh));
    metrics.limitsTooLow->Increment(static_cast<double>(faults.tooLow));
}

void recordPartTimes(owner_metrics &metrics, const owner_time &times)
{
    for (std::size_t part = 0; part < ownerPartCount; ++part) {
        const double seconds = std::chrono::duration<double>(times.spent.at(part)).count();
        prometheus::Counter &counter = *metrics.partSeconds.at(part);
        counter.Increment(std::max(0.0, seconds - counter.Value()));
    }
}

void recordLoopLag(owner_metrics &metrics, milliseconds lag)
{
    metrics.loopLags->Observe(inSeconds(lag));
}

void recordIdleTask(owner_metrics &metrics, const jobs::placement_options &options)
{
    const auto most = std::max_element(options.refusing.begin(), options.refusing.end());
    if (*most > 0)
        metrics.idleTaskRefusals.at(static_cast<std::size_t>(most - options.refusing.begin()))->Increment();
}

void recordConfirmedAges(owner_metrics &metrics, const confirmed_ages &ages)
{
    for (std::size_t input = 0; input < startInputCount; ++input)
        metrics.confirmedAges.at(input)->Observe(inSeconds(ages.at(input)));
}

void recordStartHold(owner_metrics &metrics, milliseconds time)
{
    metrics.startHolds->Observe(inSeconds(time));
}

void recordLoadTime(owner_metrics &metrics, milliseconds spent)
{
    metrics.loadTimes->Observe(inSeconds(spent));
}

} // namespace almond::fleet
