#pragma once

#include "kernel/time.h"

#include <cstdint>

namespace almond::relay {

using kernel::milliseconds;
using kernel::time_point;

//! Time in which the fastest message is taken as undelayed; long enough for a busy link to have a free
//! moment, and short enough that the clocks of two hosts do not drift apart.
inline constexpr milliseconds transitWindow{60'000};

//! Tells how much longer than the fastest ones the messages of a sender are under way. The clocks of the two
//! hosts have no common zero.
struct transit_delay
{
    //! The process that sends; another one may have another clock.
    std::uint64_t sender = 0;
    //! Smallest difference between the clocks at the receipt of a message, in this window and in the one
    //! before.
    milliseconds smallest{0};
    milliseconds smallestBefore{0};
    time_point windowEnd{};
};

//! Updates \a delay with a message of \a sender, sent at \a sentAt on its clock and received at \a receivedAt
//! on the own one. Returns how much longer than the fastest it was under way; zero for the first one.
milliseconds recordTransit(transit_delay &delay, std::uint64_t sender, time_point sentAt,
                           time_point receivedAt);

} // namespace almond::relay
