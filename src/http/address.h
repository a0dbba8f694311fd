#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almond::http {

//! Host and port of an address.
struct host_port
{
    std::string host;
    std::uint16_t port = 0;
};

//! Parses \a address (IP:PORT). Empty if it has no IP address or its port is not a number from 0 to 65535.
std::optional<host_port> parseAddress(std::string_view address);

//! Whether \a address can be connected to: parseAddress() accepts it and the port is not 0.
bool isPeerAddress(std::string_view address);

//! The same as parseAddress() for an address that the settings have checked. An invalid one gives an empty
//! host and port 0.
host_port splitAddress(std::string_view address);

} // namespace almond::http
