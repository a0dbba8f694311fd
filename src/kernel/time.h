#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>
#include <functional>

namespace almond::kernel {

using milliseconds = std::chrono::milliseconds;

//! Time in milliseconds since the Unix epoch, or since boot for monotonicNow(). Functions that make decisions
//! take the current time as an argument.
using time_point = std::chrono::sys_time<milliseconds>;

//! Returns the current time. Only the outermost services call it, so that all other code is independent of
//! the clock.
using clock_source = std::function<time_point()>;

//! Returns the wall-clock time.
inline time_point systemNow()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

//! Returns the time since the host booted, including the time for which it was suspended. Never decreases.
inline time_point monotonicNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    constexpr std::int64_t nanosPerMilli = 1'000'000;
    return time_point(milliseconds(now.tv_sec * 1000 + now.tv_nsec / nanosPerMilli));
}

//! Returns \a time in milliseconds, as written to JSON.
inline std::int64_t toMillis(time_point time)
{
    return time.time_since_epoch().count();
}

//! Inverse of toMillis().
inline time_point fromMillis(std::int64_t millis)
{
    return time_point(milliseconds(millis));
}

} // namespace almond::kernel
