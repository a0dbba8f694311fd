#pragma once

#include <sstream>
#include <string>
#include <vector>

namespace almond::kernel {

//! Splits \a text at commas.
inline std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        items.push_back(item);
    return items;
}

} // namespace almond::kernel
