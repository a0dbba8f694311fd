#pragma once

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string_view>

namespace almond::codec {

//! Deepest nesting of a document that this system reads. Deeper values overflow the stack when they are
//! copied or printed.
inline constexpr int maximumNesting = 64;

//! Parses JSON \a text from outside the process. Empty if it is malformed or nested deeper than
//! maximumNesting.
std::optional<nlohmann::json> parseText(std::string_view text);

//! Parses a CBOR message from outside the process. Empty as for parseText().
std::optional<nlohmann::json> parseCbor(std::string_view bytes);

//! Returns \a value as an integer from \a lowest to \a highest; a fraction is cut off. Throws
//! std::out_of_range if it is no number or out of range.
template<std::integral T>
T integerOf(const nlohmann::json &value, T lowest = std::numeric_limits<T>::min(),
            T highest = std::numeric_limits<T>::max())
{
    const bool inRange = [&] {
        if (value.is_number_unsigned())
            return std::cmp_greater_equal(value.get<std::uint64_t>(), lowest)
                && std::cmp_less_equal(value.get<std::uint64_t>(), highest);
        if (value.is_number_integer())
            return std::cmp_greater_equal(value.get<std::int64_t>(), lowest)
                && std::cmp_less_equal(value.get<std::int64_t>(), highest);
        // The upper bound is exclusive: the largest 64-bit integers are rounded up as a double.
        return value.is_number_float() && value.get<double>() >= static_cast<double>(lowest)
            && value.get<double>() < static_cast<double>(highest);
    }();
    if (!inRange)
        throw std::out_of_range("not a number from " + std::to_string(lowest) + " to "
                                + std::to_string(highest));
    return value.get<T>();
}

//! Returns the member \a name of \a object as integerOf() does, or \a missing if there is none.
template<std::integral T>
T integerMember(const nlohmann::json &object, const char *name, T missing,
                T lowest = std::numeric_limits<T>::min(), T highest = std::numeric_limits<T>::max())
{
    const auto found = object.find(name);
    return found == object.end() ? missing : integerOf<T>(*found, lowest, highest);
}

} // namespace almond::codec
