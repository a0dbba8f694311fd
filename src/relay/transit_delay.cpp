#include "relay/transit_delay.h"

#include <algorithm>

namespace almond::relay {

milliseconds recordTransit(transit_delay &delay, std::uint64_t sender, time_point sentAt,
                           time_point receivedAt)
{
    const milliseconds difference = receivedAt - sentAt;
    if (delay.sender != sender) {
        delay = {sender, difference, difference, receivedAt + transitWindow};
        return milliseconds(0);
    }
    if (receivedAt >= delay.windowEnd) {
        delay.smallestBefore = delay.smallest;
        delay.smallest = difference;
        delay.windowEnd = receivedAt + transitWindow;
    }
    delay.smallest = std::min(delay.smallest, difference);
    return difference - std::min(delay.smallest, delay.smallestBefore);
}

} // namespace almond::relay
