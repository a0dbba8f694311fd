#include "codec/packed.h"

#include <algorithm>
#include <array>
#include <optional>
#include <stdexcept>
#include <string>

namespace almond::codec {

namespace {

constexpr unsigned bitsPerByte = 7;
constexpr std::uint8_t valueBits = 0x7f;
//! Set in each byte of a number except the last one.
constexpr std::uint8_t moreFollow = 0x80;
constexpr std::size_t longestNumber = 10;

struct packed_number
{
    std::array<std::uint8_t, longestNumber> bytes;
    std::size_t size = 0;

    explicit packed_number(std::uint64_t value)
    {
        for (; value > valueBits; value >>= bitsPerByte)
            bytes[size++] = static_cast<std::uint8_t>(value) | moreFollow;
        bytes[size++] = static_cast<std::uint8_t>(value);
    }
    packed_view view() const { return packed_view(bytes).first(size); }
};

void append(packed_bytes &out, packed_view bytes)
{
    out.insert(out.end(), bytes.begin(), bytes.end());
}

//! Whether a byte with \a bits at \a shift of a number would exceed 64 bits.
bool isTooLarge(std::uint64_t bits, unsigned shift)
{
    return ((bits << shift) >> shift) != bits;
}

} // namespace

void packed_writer::number(std::uint64_t value)
{
    if (value <= valueBits)
        m_bytes.push_back(static_cast<std::uint8_t>(value));
    else
        append(m_bytes, packed_number(value).view());
}

void packed_writer::signedNumber(std::int64_t value)
{
    const auto bits = static_cast<std::uint64_t>(value);
    number((bits << 1) ^ (value < 0 ? ~std::uint64_t{0} : 0));
}

void packed_writer::text(std::string_view value)
{
    number(value.size());
    m_bytes.insert(m_bytes.end(), value.begin(), value.end());
}

std::uint64_t packed_reader::number(std::uint64_t highest)
{
    std::uint64_t value = 0;
    const std::size_t longest = std::min(m_left.size(), longestNumber);
    for (std::size_t index = 0; index < longest; ++index) {
        const auto shift = static_cast<unsigned>(index) * bitsPerByte;
        const std::uint64_t bits = m_left[index] & valueBits;
        if (isTooLarge(bits, shift))
            throw std::invalid_argument("a packed number has more than 64 bits");
        value |= bits << shift;
        if ((m_left[index] & moreFollow) != 0)
            continue;
        if (value > highest)
            throw std::out_of_range("packed number " + std::to_string(value) + " is larger than "
                                    + std::to_string(highest));
        m_left = m_left.subspan(index + 1);
        return value;
    }
    if (longest == longestNumber)
        throw std::invalid_argument("a packed number has no end");
    throw std::out_of_range("packed values end within a number");
}

std::int64_t packed_reader::signedNumber(std::int64_t lowest, std::int64_t highest)
{
    const std::uint64_t bits = number();
    const auto value = static_cast<std::int64_t>((bits >> 1) ^ ((bits & 1) != 0 ? ~std::uint64_t{0} : 0));
    if (value < lowest || value > highest)
        throw std::out_of_range("packed number " + std::to_string(value) + " is not from "
                                + std::to_string(lowest) + " to " + std::to_string(highest));
    return value;
}

packed_view packed_reader::bytes()
{
    const std::uint64_t size = number();
    if (size > m_left.size())
        throw std::out_of_range("packed values end within a text of " + std::to_string(size) + " bytes");
    const packed_view result = m_left.first(size);
    m_left = m_left.subspan(size);
    return result;
}

std::string_view packed_reader::text()
{
    const packed_view view = bytes();
    return {reinterpret_cast<const char *>(view.data()), view.size()};
}

void packed_reader::expectEnd() const
{
    if (!m_left.empty())
        throw std::invalid_argument(std::to_string(m_left.size()) + " bytes after the last packed value");
}

void appendRow(packed_bytes &rows, packed_view row)
{
    const packed_number size(row.size());
    const std::size_t begin = rows.size();
    rows.resize(begin + size.size + row.size());
    const auto next = std::copy_n(size.bytes.begin(), size.size, rows.begin() + static_cast<long>(begin));
    std::copy(row.begin(), row.end(), next);
}

void forEachRow(packed_view rows, const std::function<void(packed_view)> &read,
                const std::function<void(const std::exception &)> &failed)
{
    packed_reader reader(rows);
    while (!reader.isAtEnd()) {
        std::optional<packed_view> row;
        try {
            row = reader.bytes();
            read(*row);
        } catch (const std::exception &error) {
            failed(error);
        }
        if (!row)
            return;
    }
}

} // namespace almond::codec
