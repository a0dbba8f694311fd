#include "placement/worker_health.h"

#include <algorithm>

namespace almond::placement {

namespace {

constexpr int longestBackoffShift = 10;

} // namespace

void recordEnd(worker_health &health, const quarantine_rules &rules, const std::string &job,
               attempt_outcome outcome, std::uint32_t failuresBefore, time_point now)
{
    if (outcome == attempt_outcome::done) {
        health.failedJobs.clear();
        health.quarantines = 0;
        return;
    }
    if (outcome != attempt_outcome::failed || failuresBefore > 0)
        return;
    health.failedJobs.insert(job);
    if (health.failedJobs.size() < rules.jobs)
        return;
    const int shift = std::min(health.quarantines, longestBackoffShift);
    health.quarantinedUntil = now + std::min(rules.longestPause, rules.firstPause * (1 << shift));
    health.failedJobs.clear();
    ++health.quarantines;
}

bool isQuarantined(const worker_health &health, time_point now)
{
    return now < health.quarantinedUntil;
}

} // namespace almond::placement
