#pragma once

#include "kernel/time.h"
#include "placement/types.h"

namespace almond::placement {

//! What the end of one run says of the worker it ran on.
enum class run_evidence {
    //! Nothing, for example because the job fails everywhere.
    none,
    success,
    failure,
    //! The run took much longer than its kin elsewhere.
    slowness
};

//! Bounds of the quarantine of workers.
struct quarantine_rules
{
    //! Doubt that one success takes away, where a failure adds 1: the ratio of the logarithms of how much
    //! likelier a success is on a sound worker and a failure on one that fails two runs in five.
    double successCredit = 0.14;
    //! A worker with more doubt than this is quarantined; three failures in a row.
    double quarantineThreshold = 2.5;
    kernel::milliseconds initialQuarantine{10'000};
    kernel::milliseconds maximumQuarantine{600'000};
};

//! How the runs at one worker have ended lately.
struct worker_health
{
    double failureScore = 0.0;
    int quarantines = 0;
    time_point quarantinedUntil{};
};

//! What an attempt's end says of its worker. \a failuresBefore is how often the job failed before, at any
//! worker: a job that fails everywhere says nothing about this worker.
run_evidence evidenceOf(attempt_outcome outcome, std::uint32_t failuresBefore);

//! Takes \a evidence into account. After a quarantine a single further doubt renews it, for twice as long,
//! until enough runs have ended well.
void recordEvidence(worker_health &health, const quarantine_rules &rules, run_evidence evidence,
                    time_point now);

//! Tells whether the worker gets no work at \a now.
bool isQuarantined(const worker_health &health, time_point now);

} // namespace almond::placement
