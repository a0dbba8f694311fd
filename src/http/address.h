#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace almond::http {

//! Host and port of an address.
struct host_port
{
    std::string host;
    std::uint16_t port = 0;
};

//! Splits \a address (IP:PORT), which must be valid: the settings check it when they are read.
//! Without a colon, the port is 0.
inline host_port splitAddress(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return {std::string(address), 0};
    const std::string port(address.substr(colon + 1));
    return {std::string(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::strtoul(port.c_str(), nullptr, 10))};
}

} // namespace almond::http
