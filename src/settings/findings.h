#pragma once

#include <iterator>
#include <ostream>
#include <string>
#include <vector>

namespace almond::settings {

//! One error in an input and its location, which is FILE:LINE or a JSON path.
struct finding
{
    std::string place;
    std::string message;

    bool operator==(const finding &) const = default;
};

//! All errors in one input; empty if it is valid.
using findings = std::vector<finding>;

//! Appends \a more to \a all.
inline void append(findings &all, const findings &more)
{
    std::copy(more.begin(), more.end(), std::back_inserter(all));
}

//! Writes each finding as one line "place: message".
inline void print(std::ostream &out, const findings &all)
{
    for (const finding &item : all)
        out << item.place << ": " << item.message << '\n';
}

} // namespace almond::settings
