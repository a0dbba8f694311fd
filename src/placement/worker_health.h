#pragma once

#include "kernel/time.h"
#include "placement/types.h"

namespace almond::placement {

//! What the end of a run indicates about the worker that it ran on.
enum class run_evidence {
    //! Nothing, for example because the job fails on every worker.
    none,
    success,
    failure,
    //! The run took much longer than comparable runs on other workers.
    slowness
};

//! Parameters for the quarantine of workers.
struct quarantine_rules
{
    //! Amount by which a success lowers the failure score; a failure raises it by 1. It is the ratio of two
    //! log-likelihood ratios, those of a success and of a failure, for a healthy worker against one that
    //! fails two runs in five.
    double successCredit = 0.14;
    //! A worker with a higher failure score is quarantined: with the default, after three failures in a row.
    double quarantineThreshold = 2.5;
    //! Length of the first quarantine. Each further one is twice as long, up to maximumQuarantine, until the
    //! score has fallen to 0.
    kernel::milliseconds initialQuarantine{10'000};
    kernel::milliseconds maximumQuarantine{600'000};
};

//! Health of one worker, estimated from how its recent runs ended.
struct worker_health
{
    //! Rises by 1 with each failure or slow run and falls with each success, not below 0.
    double failureScore = 0.0;
    //! Number of quarantines since the score was last 0.
    int quarantines = 0;
    time_point quarantinedUntil{};
};

//! Returns what the end of an attempt indicates about its worker. \a failuresBefore is the number of earlier
//! failures of the job on any worker: a job that fails everywhere indicates nothing about this worker.
run_evidence evidenceOf(attempt_outcome outcome, std::uint32_t failuresBefore);

//! Updates \a health with \a evidence and quarantines the worker if its failure score exceeds the threshold.
//! After a quarantine the score stays at the threshold, so that a single failure renews the quarantine for
//! twice as long until enough runs have succeeded.
void recordEvidence(worker_health &health, const quarantine_rules &rules, run_evidence evidence,
                    time_point now);

//! Tells whether the worker receives no new work at \a now.
bool isQuarantined(const worker_health &health, time_point now);

} // namespace almond::placement
