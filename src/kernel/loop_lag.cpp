#include "kernel/loop_lag.h"

#include <algorithm>

namespace almond::kernel {

namespace {

milliseconds latenessOf(const loop_lag &lag, time_point now)
{
    return lag.dueAt == time_point{} ? milliseconds(0)
                                     : std::max(milliseconds(0), milliseconds(now - lag.dueAt));
}

} // namespace

void beginSleep(loop_lag &lag, milliseconds asked, time_point now)
{
    lag.dueAt = now + asked;
}

void endSleep(loop_lag &lag, time_point now)
{
    lag.newest = latenessOf(lag, now);
    lag.longest = std::max(lag.longest, lag.newest);
    lag.dueAt = time_point{};
    while (!lag.recent.empty() && lag.recent.back().lag <= lag.newest)
        lag.recent.pop_back();
    lag.recent.push_back({now, lag.newest});
    while (now - lag.recent.front().at > lagRetention)
        lag.recent.pop_front();
}

milliseconds longestLag(const loop_lag &lag, time_point since, time_point now)
{
    const auto first = std::find_if(lag.recent.begin(), lag.recent.end(),
                                    [since](const loop_lag::sample &sample) { return sample.at >= since; });
    const milliseconds ended = first == lag.recent.end() ? milliseconds(0) : first->lag;
    return std::max(ended, latenessOf(lag, now));
}

milliseconds lagAllowance(const lag_source &ownLag, time_point since)
{
    return ownLag ? std::clamp(ownLag(since), milliseconds(0), longestLagAllowance) : milliseconds(0);
}

task<void> measureLag(loop_lag &lag, std::function<bool()> isWanted)
{
    while (isWanted()) {
        beginSleep(lag, lagInterval, monotonicNow());
        co_await sleepFor(lagInterval);
        endSleep(lag, monotonicNow());
    }
}

} // namespace almond::kernel
