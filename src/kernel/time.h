#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>
#include <functional>

namespace almond::kernel {

using milliseconds = std::chrono::milliseconds;

//! Wall-clock time in milliseconds since the Unix epoch. Functions that decide take it as an argument.
using time_point = std::chrono::sys_time<milliseconds>;

//! Source of the present time; only the outermost services call it.
using clock_source = std::function<time_point()>;

//! Reads the system's wall clock.
inline time_point systemNow()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

//! Milliseconds since the host's start, also counting the time that it was suspended. Never set back.
inline time_point monotonicNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    constexpr std::int64_t nanosPerMilli = 1'000'000;
    return time_point(milliseconds(now.tv_sec * 1000 + now.tv_nsec / nanosPerMilli));
}

//! Milliseconds since the Unix epoch, for JSON.
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
