#include "jobs/target_miss.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace almond::jobs {

namespace {

//! Returns the excess of the measurement at \a index; one that is below those before and after it by no more
//! than noise is raised so that it shows nothing by itself.
double excessWithoutOutlier(std::span<const tail_measurement> measurements, std::size_t index,
                            const miss_rules &rules)
{
    const double excess = measurements[index].excess;
    if (index == 0 || index + 1 == measurements.size())
        return excess;
    const double before = measurements[index - 1].excess;
    const double after = measurements[index + 1].excess;
    const bool isolated = std::min(before, after) > rules.outlierNeighbours
        && excess > (before + after) / 2.0 - rules.largestOutlier;
    return isolated ? std::max(excess, -rules.confidence * rules.noise) : excess;
}

//! Returns whether some measurements from the first one of \a excesses on show by their mean that the target
//! was met at some time: the mean of the first n is below the limit n - 1.
bool showsTargetMet(std::span<const double> excesses, std::span<const double> limits)
{
    double sum = 0.0;
    double count = 0.0;
    for (std::size_t index = 0; index < excesses.size(); ++index) {
        sum += excesses[index];
        count += 1.0;
        if (sum / count < limits[index])
            return true;
    }
    return false;
}

//! Returns the first measurement of those that the target may have been missed at all the time. The miss
//! begins behind the last measurement with which the target can't have been missed since.
std::size_t firstOfMiss(std::span<const tail_measurement> measurements, const miss_rules &rules,
                        std::span<double> excesses)
{
    std::vector<double> limits;
    limits.reserve(measurements.size());
    std::size_t first = measurements.size();
    while (first > 0) {
        excesses[first - 1] = excessWithoutOutlier(measurements, first - 1, rules);
        const auto count = static_cast<double>(limits.size() + 1);
        limits.push_back(-rules.confidence * rules.noise / std::sqrt(count));
        if (showsTargetMet(excesses.subspan(first - 1), limits))
            break;
        --first;
    }
    return first;
}

//! Returns when a target miss that all known measurements belong to may have begun.
time_point earliestBegin(const tail_history &history, const miss_rules &rules, double meanExcess)
{
    const time_point begin = history.measurements.front().at - rules.unknownTime;
    const auto count = static_cast<double>(history.measurements.size());
    const bool isShown = meanExcess > rules.unattendedConfidence * rules.noise / std::sqrt(count);
    const bool isUnattended = history.unattendedSince != time_point{};
    return isUnattended && isShown ? std::min(begin, history.unattendedSince) : begin;
}

//! Returns whether the figure that is new at \a now is one of those that a worker updates continuously: a
//! figure that is renewed once per measurement changes three times within that time at most.
bool isContinuous(std::vector<time_point> &changes, const miss_rules &rules, time_point now)
{
    constexpr std::size_t mostChanges = 3;
    changes.push_back(now);
    if (changes.size() <= mostChanges)
        return false;
    changes.erase(changes.begin());
    return now - changes.front() < rules.measurementTime;
}

} // namespace

void recordTail(tail_history &history, const miss_rules &rules, std::int64_t latencyMs, milliseconds target,
                time_point now)
{
    std::vector<tail_measurement> &known = history.measurements;
    const auto forgotten = std::erase_if(
        known, [&](const tail_measurement &old) { return now - old.seenAt > rules.historyTime; });
    if (forgotten > 0)
        history.unattendedSince = time_point{};
    const bool repeated = !known.empty() && known.back().latencyMs == latencyMs
        && now - known.back().at < rules.measurementTime;
    if (repeated) {
        known.back().seenAt = now;
        return;
    }
    const double excess = std::log(static_cast<double>(latencyMs) / static_cast<double>(target.count()));
    const bool continuous = isContinuous(history.changes, rules, now);
    if (continuous && !known.empty() && now - known.back().at < rules.measurementTime)
        known.back() = {known.back().at, now, latencyMs, excess};
    else
        known.push_back({now, now, latencyMs, excess});
}

std::optional<possible_miss> possibleMiss(const tail_history &history, const miss_rules &rules)
{
    const std::vector<tail_measurement> &known = history.measurements;
    if (known.empty() || known.back().excess < -rules.confidence * rules.noise)
        return std::nullopt;
    std::vector<double> excesses(known.size());
    const std::size_t first = firstOfMiss(known, rules, excesses);
    if (first == known.size())
        return std::nullopt;
    const std::span<const double> part = std::span<const double>(excesses).subspan(first);
    possible_miss miss;
    miss.firstMeasuredAt = known[first].at;
    miss.meanExcess = std::accumulate(part.begin(), part.end(), 0.0) / static_cast<double>(part.size());
    miss.since = std::max(first > 0 ? known[first - 1].at : earliestBegin(history, rules, miss.meanExcess),
                          history.undisturbedAt);
    miss.latestExcess = known.back().excess;
    return miss;
}

bool isUnconfirmed(const tail_history &history, const miss_rules &rules)
{
    const std::vector<tail_measurement> &known = history.measurements;
    if (known.size() < 2)
        return false;
    const double before = known[known.size() - 2].excess;
    const double latest = known.back().excess;
    return latest < -rules.confidence * rules.noise && before > rules.outlierNeighbours
        && latest > before - rules.largestOutlier;
}

bool isLikely(const possible_miss &miss, const miss_rules &rules)
{
    return miss.meanExcess >= rules.leastMeanExcess;
}

} // namespace almond::jobs
