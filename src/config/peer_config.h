#pragma once

#include "config/config_follower.h"
#include "wire/peer_link.h"

#include <string>
#include <vector>

namespace almond::config {

//! Registers the call by which peers ask for this process's view.
void provideConfig(wire::peer_link &peers, const config_follower &follower);

//! Asks \a addresses for their views and returns the newest; empty when none answers.
kernel::task<config_view_ptr> newestFromPeers(wire::peer_link &peers, std::vector<std::string> addresses);

} // namespace almond::config
