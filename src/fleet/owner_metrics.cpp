#include "fleet/owner_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <string>

namespace almond::fleet {

using kernel::milliseconds;

namespace {

//! Upper bounds in seconds; dense around the limits of 6 and 9 s.
const prometheus::Histogram::BucketBoundaries gapBounds{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 15, 20, 30, 60};
const prometheus::Histogram::BucketBoundaries loadBounds{0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16};

double inSeconds(milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

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
    metrics.idleJobs = &prometheus::BuildCounter()
                            .Name("almond_jobs_idle_with_room_total")
                            .Help("Jobs that had nothing running for over 3 s though there was room.")
                            .Register(registry)
                            .Add({});
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
               .Help("Polls that were sent while another poll of the worker had no response.")
               .Register(registry)
               .Add({});
    metrics.refusedStops = &prometheus::BuildCounter()
                                .Name("almond_stops_refused_total")
                                .Help("Orders to stop a run that the worker has refused.")
                                .Register(registry)
                                .Add({});
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

void recordLostRuns(owner_metrics &metrics, loss_evidence evidence, std::size_t count)
{
    metrics.lostRuns.at(static_cast<std::size_t>(evidence))->Increment(static_cast<double>(count));
}

void recordLoadTime(owner_metrics &metrics, milliseconds spent)
{
    metrics.loadTimes->Observe(inSeconds(spent));
}

} // namespace almond::fleet
