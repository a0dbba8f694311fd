#include "placement/worker_health.h"

#include <algorithm>

namespace almond::placement {

namespace {

constexpr int maximumBackoffShift = 10;

} // namespace

run_evidence evidenceOf(attempt_outcome outcome, std::uint32_t failuresBefore)
{
    if (outcome == attempt_outcome::done)
        return run_evidence::success;
    const bool countsAsFailure = outcome == attempt_outcome::failed && failuresBefore == 0;
    return countsAsFailure ? run_evidence::failure : run_evidence::none;
}

void recordEvidence(worker_health &health, const quarantine_rules &rules, run_evidence evidence,
                    time_point now)
{
    if (evidence == run_evidence::none)
        return;
    if (evidence == run_evidence::success) {
        health.failureScore = std::max(0.0, health.failureScore - rules.successCredit);
        if (health.failureScore == 0.0)
            health.quarantines = 0;
        return;
    }
    // Runs that were in progress when the quarantine began provide no new evidence.
    if (isQuarantined(health, now))
        return;
    health.failureScore += 1.0;
    if (health.failureScore <= rules.quarantineThreshold)
        return;
    const int shift = std::min(health.quarantines, maximumBackoffShift);
    health.quarantinedUntil = now + std::min(rules.maximumQuarantine, rules.initialQuarantine * (1 << shift));
    health.failureScore = rules.quarantineThreshold;
    ++health.quarantines;
}

bool isQuarantined(const worker_health &health, time_point now)
{
    return now < health.quarantinedUntil;
}

} // namespace almond::placement
