#pragma once

#include <concepts>
#include <cstdint>
#include <exception>
#include <functional>
#include <limits>
#include <span>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

//! Values in a binary string, one after the other, without names or types: who reads them knows their order.
//! Small numbers take few bytes, 7 bits in each; a text follows its length.
namespace almond::codec {

using packed_bytes = std::vector<std::uint8_t>;
using packed_view = std::span<const std::uint8_t>;

class packed_writer
{
public:
    explicit packed_writer(std::size_t expectedBytes = 0) { m_bytes.reserve(expectedBytes); }

    void number(std::uint64_t value);
    //! Small negative numbers take few bytes, too.
    void signedNumber(std::int64_t value);
    void flag(bool value) { number(value ? 1 : 0); }
    void text(std::string_view value);
    template<typename Enum>
    requires std::is_enum_v<Enum>
    void choice(Enum value) { number(static_cast<std::uint64_t>(value)); }

    packed_bytes take() { return std::move(m_bytes); }

private:
    packed_bytes m_bytes;
};

//! Reads what a packed_writer wrote. Each function throws std::out_of_range if its value is not within the
//! limits or the bytes end before it does, and std::invalid_argument if the bytes are no such value. The
//! bytes must outlive the reader and the views that it returns.
class packed_reader
{
public:
    explicit packed_reader(packed_view bytes)
        : m_left(bytes)
    {
    }

    std::uint64_t number(std::uint64_t highest = std::numeric_limits<std::uint64_t>::max());
    template<std::unsigned_integral T>
    T numberOf()
    {
        return static_cast<T>(number(std::numeric_limits<T>::max()));
    }
    std::int64_t signedNumber(std::int64_t lowest = std::numeric_limits<std::int64_t>::min(),
                              std::int64_t highest = std::numeric_limits<std::int64_t>::max());
    bool flag() { return number(1) == 1; }
    std::string_view text();
    //! As text().
    packed_view bytes();
    //! A value of \a Enum from 0 to \a last.
    template<typename Enum>
    requires std::is_enum_v<Enum> Enum choice(Enum last)
    {
        return static_cast<Enum>(number(static_cast<std::uint64_t>(last)));
    }
    //! The number of items that follow, each of at least \a smallestItem bytes.
    std::size_t count(std::size_t smallestItem) { return number(m_left.size() / smallestItem); }

    bool isAtEnd() const { return m_left.empty(); }
    //! Throws std::invalid_argument unless all bytes are read.
    void expectEnd() const;

private:
    packed_view m_left;
};

//! Appends \a row with its length to \a rows.
void appendRow(packed_bytes &rows, packed_view row);

//! Calls \a read for each row that appendRow() appended, in order. If it throws, \a failed gets the exception
//! and the next row is read; nothing is read behind a row whose length is malformed.
void forEachRow(packed_view rows, const std::function<void(packed_view row)> &read,
                const std::function<void(const std::exception &error)> &failed);

} // namespace almond::codec
