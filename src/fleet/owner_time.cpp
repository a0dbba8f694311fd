#include "fleet/owner_time.h"

#include <algorithm>
#include <string>

namespace almond::fleet {

namespace {

//! Time over which the rates are taken, and of the lag that is called recent.
constexpr milliseconds ratePeriod{5000};

std::int64_t inMilliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

void countInnermost(owner_time &times, part_clock::time_point now)
{
    if (!times.open.empty())
        times.spent.at(static_cast<std::size_t>(times.open.back())) += now - times.countedUntil;
    times.countedUntil = now;
}

} // namespace

std::string_view partName(owner_part part)
{
    static constexpr std::array<std::string_view, ownerPartCount> names{
        "responses", "polls", "candidates", "planning", "finishing", "checks", "scan", "callers"};
    return names.at(static_cast<std::size_t>(part));
}

void beginPart(owner_time &times, owner_part part, part_clock::time_point now)
{
    countInnermost(times, now);
    times.open.push_back(part);
}

void endPart(owner_time &times, part_clock::time_point now)
{
    countInnermost(times, now);
    times.open.pop_back();
}

void recordRound(owner_loop &loop, time_point now)
{
    if (loop.roundAt != time_point{})
        loop.longestRoundGap = std::max(loop.longestRoundGap, milliseconds(now - loop.roundAt));
    loop.roundAt = now;
}

void updateRates(owner_loop &loop, const owner_time &times, time_point now)
{
    const bool isFirst = loop.periodBegan == time_point{};
    const milliseconds passed = now - loop.periodBegan;
    if (!isFirst && passed < ratePeriod)
        return;
    for (std::size_t part = 0; part < ownerPartCount; ++part) {
        const std::int64_t spent = inMilliseconds(times.spent.at(part) - loop.spentBefore.at(part));
        loop.msPerSecond.at(part) = isFirst ? 0 : spent * 1000 / passed.count();
    }
    loop.periodBegan = now;
    loop.spentBefore = times.spent;
}

nlohmann::json describeLoop(const owner_loop &loop, const owner_time *times, time_point now)
{
    nlohmann::json parts = nlohmann::json::object();
    for (std::size_t part = 0; times && part < ownerPartCount; ++part)
        parts[std::string(partName(static_cast<owner_part>(part)))] = {
            {"msPerSecond", loop.msPerSecond.at(part)}, {"totalMs", inMilliseconds(times->spent.at(part))}};
    nlohmann::json lag{{"newestMs", loop.lag.newest.count()},
                       {"recentMs", kernel::longestLag(loop.lag, now - ratePeriod, now).count()},
                       {"longestMs", loop.lag.longest.count()}};
    const milliseconds sinceRound = loop.roundAt == time_point{} ? milliseconds(0) : now - loop.roundAt;
    nlohmann::json rounds{{"sinceMs", sinceRound.count()},
                          {"longestMs", std::max(loop.longestRoundGap, sinceRound).count()}};
    return {{"parts", std::move(parts)}, {"lag", std::move(lag)}, {"round", std::move(rounds)}};
}

} // namespace almond::fleet
