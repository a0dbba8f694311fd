#pragma once

#include <nlohmann/json.hpp>

#include <array>
#include <bit>
#include <compare>
#include <cstdint>
#include <cstring>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>

namespace almond::jobs {

//! Id of a job, kept in place. An owner copies and compares ids for each reported run, and a std::string
//! would allocate memory for the 16 characters that ids have.
class job_id
{
public:
    static constexpr std::size_t capacity = 23;

    job_id() = default;
    //! Throws std::length_error if \a text has more than capacity characters.
    job_id(std::string_view text) // NOLINT(google-explicit-constructor)
    {
        if (text.size() > capacity)
            throw std::length_error("job id too long: " + std::to_string(text.size()) + " characters");
        std::memcpy(m_text.data(), text.data(), text.size());
        m_text.back() = static_cast<char>(text.size());
    }
    job_id(const std::string &text) // NOLINT(google-explicit-constructor)
        : job_id(std::string_view(text))
    {
    }
    job_id(const char *text) // NOLINT(google-explicit-constructor)
        : job_id(std::string_view(text))
    {
    }

    //! Nothing if \a text has more than capacity characters.
    static std::optional<job_id> from(std::string_view text)
    {
        return text.size() <= capacity ? std::optional(job_id(text)) : std::nullopt;
    }

    std::string_view view() const { return {m_text.data(), size()}; }
    std::string str() const { return std::string(view()); }
    std::size_t size() const { return static_cast<std::size_t>(m_text.back()); }
    bool empty() const { return size() == 0; }
    char front() const { return m_text.front(); }

    operator std::string_view() const { return view(); } // NOLINT(google-explicit-constructor)

    friend bool operator==(const job_id &left, const job_id &right) = default;
    //! Lexicographic, as for strings.
    friend std::strong_ordering operator<=>(const job_id &left, const job_id &right)
    {
        for (std::size_t word = 0; word < words; ++word) {
            const auto order = left.wordAt(word) <=> right.wordAt(word);
            if (order != std::strong_ordering::equal)
                return order;
        }
        return std::strong_ordering::equal;
    }

private:
    static constexpr std::size_t words = (capacity + 1) / sizeof(std::uint64_t);

    //! Eight characters as a number whose order is that of the characters.
    std::uint64_t wordAt(std::size_t word) const
    {
        std::uint64_t value = 0;
        std::memcpy(&value, m_text.data() + word * sizeof(value), sizeof(value));
        return std::endian::native == std::endian::little ? __builtin_bswap64(value) : value;
    }

    //! The characters, zeros behind them, and last the number of characters.
    std::array<char, capacity + 1> m_text{};
};

inline void to_json(nlohmann::json &out, const job_id &id)
{
    out = id.str();
}

inline void from_json(const nlohmann::json &in, job_id &id)
{
    id = job_id(in.get_ref<const std::string &>());
}

inline std::ostream &operator<<(std::ostream &out, const job_id &id)
{
    return out << id.view();
}

} // namespace almond::jobs
