#pragma once

#include "http/client.h"

#include <nlohmann/json.hpp>

#include <string>

namespace almond::standins {

//! Puts \a host into the platform's host list, as the platform's own agent would; retries until it stands.
kernel::task<void> registerHost(http::connection_pool &pool, std::string platform, nlohmann::json host);

} // namespace almond::standins
