#pragma once

#include "http/client.h"

#include <nlohmann/json.hpp>

#include <string>

namespace almond::standins {

//! Adds \a host, or its new state, to the host list of the platform at \a platform (IP:PORT), as the
//! platform's agent does on a real host. Makes up to 50 attempts, 100 ms apart, until the platform responds;
//! after the last one it returns without an error.
kernel::task<void> registerHost(http::connection_pool &pool, std::string platform, nlohmann::json host);

} // namespace almond::standins
