#pragma once

#include "kernel/time.h"

#include <algorithm>
#include <cmath>

//! Exponential decay of averages over time.
namespace almond::jobs {

inline double secondsOf(kernel::milliseconds span)
{
    constexpr double perSecond = 1000.0;
    return static_cast<double>(span.count()) / perSecond;
}

//! Returns the share of a value from \a since that is left at \a now.
inline double decayFactor(kernel::time_point since, kernel::time_point now, kernel::milliseconds timeConstant)
{
    return std::exp(-secondsOf(std::max(now - since, kernel::milliseconds(0))) / secondsOf(timeConstant));
}

} // namespace almond::jobs
