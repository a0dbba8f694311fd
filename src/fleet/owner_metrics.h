#pragma once

#include "jobs/wait_monitor.h"

#include <prometheus/registry.h>

#include <array>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace almond::fleet {

//! Metrics of the owner of all jobs; counters go on through the terms of one process. The registry owns them.
struct owner_metrics
{
    prometheus::Histogram *gaps = nullptr;
    //! By limit and cause.
    std::array<std::array<prometheus::Counter *, jobs::waitCauseCount>, 2> overLimit{};
    prometheus::Counter *idleJobs = nullptr;
    prometheus::Gauge *lastingAway = nullptr;
    prometheus::Gauge *longestWait = nullptr;
    prometheus::Histogram *loadTimes = nullptr;
};

owner_metrics addOwnerMetrics(prometheus::Registry &registry, const jobs::wait_monitor_rules &rules);

//! Adds what one walk found. Empty findings show that nothing waits.
void takeFindings(owner_metrics &metrics, const jobs::scan_findings &found);
//! Adds the time that a new owner took to read all jobs.
void takeLoadTime(owner_metrics &metrics, kernel::milliseconds spent);

} // namespace almond::fleet
