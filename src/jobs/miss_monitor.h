#pragma once

#include "jobs/interference.h"
#include "jobs/wait_monitor.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almond::jobs {

//! How far over its target a tail latency is, as a multiple of the target.
enum class miss_height : std::uint8_t { under2, from2To4, over4 };
inline constexpr std::size_t missHeightCount = 3;

std::string_view heightName(miss_height height);

struct miss_monitor_rules
{
    //! A miss is logged when it has lasted for this share of the harm bound.
    double logFrom = 0.75;
    //! A worker that has not been observed for this long is forgotten.
    milliseconds retention{8000};
};

//! A time over which a serving task has missed its target beside best-effort tasks at work.
struct open_miss
{
    //! Earliest possible begin.
    time_point since{};
    milliseconds lasted{0};
    //! Whether the measurements of the newest poll are over the target by their mean.
    bool isCounted = false;
    bool isLogged = false;
};

//! A tail latency that falls after the neighbours were suspended.
struct falling_tail
{
    time_point suspendedAt{};
    miss_height height = miss_height::under2;
};

//! A serving task while best-effort tasks are at work beside it, and until its tail has fallen after that.
struct watched_task
{
    std::optional<open_miss> miss;
    std::optional<falling_tail> falling;
    //! When the last miss ended; zero if there was none.
    time_point missEndedAt{};
    //! Newest poll with a measurement.
    time_point measuredAt{};
    //! Excess of the newest measurement beside best-effort tasks at work.
    double excess = 0.0;
};

struct watched_worker
{
    time_point observedAt{};
    std::map<task_name, watched_task> tasks;
};

//! What was found since findings were taken last, for metrics.
struct miss_findings
{
    //! Lengths of misses that have ended.
    std::vector<milliseconds> endedMisses;
    //! Times between two polls with a measurement of a serving task.
    std::vector<milliseconds> measurementGaps;
    //! Times from the suspension of all neighbours to the first measurement that is not over the target.
    std::array<std::vector<milliseconds>, missHeightCount> recoveries;
};

//! Follows during one term how near serving tasks come to the harm bound by the owner's own measurements, for
//! logs and metrics only: it influences no decision.
struct miss_monitor
{
    miss_monitor_rules rules;
    //! Workers with serving tasks and best-effort neighbours, by incarnation.
    std::map<std::string, watched_worker, std::less<>> workers;
    miss_findings found;
    //! Longest of this term, those that have not ended included.
    milliseconds longestMiss{0};
    milliseconds longestMeasurementGap{0};
};

//! A worker after a poll, when \a throttle contains the decisions on it.
struct polled_worker
{
    const worker_session &session;
    const throttle_state &throttle;
    const interference_rules &rules;
    const job_table &table;
};

//! Updates \a monitor after a poll at \a now. Returns the lines to be logged.
std::vector<log_line> observeMisses(miss_monitor &monitor, const polled_worker &worker, time_point now);

//! Ends the misses on workers that are not polled any more.
void forgetSilentWorkers(miss_monitor &monitor, time_point now);

//! Returns the findings and clears them.
miss_findings takeFindings(miss_monitor &monitor);

//! Describes the longest misses that have not ended, and the longest of the term.
nlohmann::json describeMisses(const miss_monitor &monitor);

} // namespace almond::jobs
