#pragma once

#include "kernel/completion.h"

#include <algorithm>
#include <deque>

namespace almond::kernel {

//! How much later than asked the event loop continues a periodic sleep: the time for which what has arrived
//! lies unread.
struct loop_lag
{
    struct sample
    {
        time_point at{};
        milliseconds lag{0};
    };
    //! Of the sleep that ended last.
    milliseconds newest{0};
    //! Of all sleeps.
    milliseconds longest{0};
    //! The sleeps of the last lagRetention, without those that a later one was as late as. So the lags fall.
    std::deque<sample> recent;
    //! When the present sleep should end; zero while there is none.
    time_point dueAt{};
};

//! How long a loop_lag keeps what it has measured.
inline constexpr milliseconds lagRetention{10'000};
//! Longest time by which the own lag may extend the wait for another process.
inline constexpr milliseconds longestLagAllowance{800};
//! Time between two measurements.
inline constexpr milliseconds lagInterval{50};

//! Returns the longest lag of the own loop since a given time.
using lag_source = std::function<milliseconds(time_point since)>;

//! Records that the loop was asked at \a now to continue after \a asked.
void beginSleep(loop_lag &lag, milliseconds asked, time_point now);
//! Records that the sleep has ended.
void endSleep(loop_lag &lag, time_point now);
//! Returns the longest lag of the sleeps that have ended since \a since, and of the present one. What is
//! older than lagRetention is not known.
milliseconds longestLag(const loop_lag &lag, time_point since, time_point now);
//! Returns how much longer than usual to wait for what another process sends after \a since. \a ownLag may be
//! empty.
milliseconds lagAllowance(const lag_source &ownLag, time_point since);

//! Measures the lag of the loop for as long as \a isWanted returns true. \a lag must outlive it.
task<void> measureLag(loop_lag &lag, std::function<bool()> isWanted);

//! Awaits the response to what was sent at \a sentAt for \a limit, and for as much longer as the own loop has
//! lagged meanwhile, \a most at most: a response that lies unread is not missing.
template<typename T>
task<std::optional<T>> awaitDespiteLag(completion<T> &response, milliseconds limit, const lag_source &ownLag,
                                       time_point sentAt, milliseconds most = longestLagAllowance)
{
    std::optional<T> value = co_await response.wait(limit);
    milliseconds extended{0};
    while (!value && !response.isFinished()) {
        const milliseconds extension = std::min(lagAllowance(ownLag, sentAt), most) - extended;
        if (extension <= milliseconds(0))
            break;
        value = co_await response.wait(extension);
        extended += extension;
    }
    co_return value;
}

} // namespace almond::kernel
