#pragma once

#include "config/config_follower.h"
#include "wire/peer_link.h"

#include <string>
#include <vector>

namespace almond::config {

//! Registers the call that returns this process's configuration view to its peers.
void provideConfig(wire::peer_link &peers, const config_follower &follower);

//! Requests the views of the peers at \a addresses and returns the newest; null if none responds.
kernel::task<config_view_ptr> newestFromPeers(wire::peer_link &peers, std::vector<std::string> addresses);

} // namespace almond::config
