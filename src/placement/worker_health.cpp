#include "placement/worker_health.h"

#include <algorithm>

namespace almond::placement {

namespace {

constexpr int longestBackoffShift = 10;

} // namespace

run_evidence evidenceOf(attempt_outcome outcome, std::uint32_t failuresBefore)
{
    if (outcome == attempt_outcome::done)
        return run_evidence::success;
    const bool tells = outcome == attempt_outcome::failed && failuresBefore == 0;
    return tells ? run_evidence::failure : run_evidence::none;
}

void recordEvidence(worker_health &health, const quarantine_rules &rules, run_evidence evidence,
                    time_point now)
{
    if (evidence == run_evidence::none)
        return;
    if (evidence == run_evidence::success) {
        health.doubt = std::max(0.0, health.doubt - rules.successTrust);
        if (health.doubt == 0.0)
            health.quarantines = 0;
        return;
    }
    // Runs that were under way when the quarantine began tell nothing new.
    if (isQuarantined(health, now))
        return;
    health.doubt += 1.0;
    if (health.doubt <= rules.limit)
        return;
    const int shift = std::min(health.quarantines, longestBackoffShift);
    health.quarantinedUntil = now + std::min(rules.longestPause, rules.firstPause * (1 << shift));
    health.doubt = rules.limit;
    ++health.quarantines;
}

bool isQuarantined(const worker_health &health, time_point now)
{
    return now < health.quarantinedUntil;
}

} // namespace almond::placement
