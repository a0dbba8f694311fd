#include "http/address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace almond::http {

std::optional<host_port> parseAddress(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    host_port parsed{std::string(address.substr(0, colon)), 0};
    const std::string_view port = address.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), parsed.port);
    if (error != std::errc() || end != port.data() + port.size())
        return std::nullopt;
    boost::system::error_code invalid;
    boost::asio::ip::make_address(parsed.host, invalid);
    return invalid ? std::nullopt : std::optional(std::move(parsed));
}

bool isPeerAddress(std::string_view address)
{
    const std::optional<host_port> parsed = parseAddress(address);
    return parsed && parsed->port != 0;
}

host_port splitAddress(std::string_view address)
{
    return parseAddress(address).value_or(host_port());
}

} // namespace almond::http
