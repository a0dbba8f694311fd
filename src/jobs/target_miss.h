#pragma once

#include "jobs/job.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace almond::jobs {

//! Parameters for judging measurements of a tail latency, which are noisy and late.
struct miss_rules
{
    //! Time that one measurement covers. Polls return the same one until the next one is made.
    milliseconds measurementTime{500};
    //! Standard deviation of the natural logarithm of a measurement.
    double noise = 0.1;
    //! By how many standard deviations the mean of measurements must be below the target to show that the
    //! target was met.
    double confidence = 3.0;
    //! A measurement between two that are above this excess is taken for noise, unless it is further below
    //! their mean than largestOutlier.
    double outlierNeighbours = -0.15;
    double largestOutlier = 0.7;
    //! Below this mean excess of all its measurements a target miss is unlikely.
    double leastMeanExcess = -0.1;
    //! How long before its first measurement a target miss may have begun if nothing is known of that time.
    milliseconds unknownTime{500};
    //! By how many standard deviations the mean of its measurements must be above the target for a target
    //! miss to count from the time before them in which there was no owner.
    double unattendedConfidence = 1.0;
    //! How long measurements are kept.
    milliseconds historyTime{8000};
};

struct tail_measurement
{
    //! When a poll returned it first.
    time_point at{};
    //! When a poll returned it last.
    time_point seenAt{};
    std::int64_t latencyMs = 0;
    //! Natural logarithm of the latency relative to the target; above 0 the target is missed.
    double excess = 0.0;
};

//! A time over which a task may have missed its target without a pause.
struct possible_miss
{
    //! Earliest possible begin of the part over which best-effort tasks were at work beside it all the time.
    time_point since{};
    //! First measurement that belongs to the miss.
    time_point firstMeasuredAt{};
    double meanExcess = 0.0;
    double latestExcess = 0.0;
};

//! The newest measurements of one serving task.
struct tail_history
{
    std::vector<tail_measurement> measurements;
    //! When the newest figures that differ were first seen, oldest first.
    std::vector<time_point> changes;
    //! When no best-effort task was at work beside it, for the last time.
    time_point undisturbedAt{};
    //! Since when no owner has watched the task before the first of the measurements; zero if it was watched,
    //! or that is not known.
    time_point unattendedSince{};
    //! What possibleMiss() has returned for all that is known since the newest poll.
    std::optional<possible_miss> miss;
};

//! Adds what a poll has returned at \a now. Polls of the same measurement count once, also where the worker
//! updates its figure continuously instead of once per measurement.
void recordTail(tail_history &history, const miss_rules &rules, std::int64_t latencyMs, milliseconds target,
                time_point now);

//! Returns since when the task may have missed its target without a pause; nothing if the newest measurements
//! show that it meets the target.
std::optional<possible_miss> possibleMiss(const tail_history &history, const miss_rules &rules);

//! Returns whether the newest measurement alone shows that the target is met, though it may be noise.
bool isUnconfirmed(const tail_history &history, const miss_rules &rules);

//! Returns whether the measurements make it likely that the target was missed all the time.
bool isLikely(const possible_miss &miss, const miss_rules &rules);

} // namespace almond::jobs
