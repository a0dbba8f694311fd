#pragma once

#include "store/journal.h"

#include <string>

namespace almond::store {

//! Encodes \a entry as a value for the store.
inline std::string encodeEntry(const journal_entry &entry)
{
    return json{{"writer", entry.writer}, {"submission", entry.submission}, {"body", entry.body}}.dump();
}

//! Inverse of encodeEntry(). Throws nlohmann::json::exception if \a value is not an encoded entry.
inline journal_entry decodeEntry(std::uint64_t index, const std::string &value)
{
    const json parsed = json::parse(value);
    return {index, parsed.at("writer"), parsed.at("submission"), parsed.at("body")};
}

//! Returns the common prefix of the keys of all entries of the journal \a name.
inline std::string entryPrefix(const std::string &name)
{
    return name + "/entry/";
}

//! Returns the index of the entry with \a key.
inline std::uint64_t indexOfKey(const std::string &key)
{
    return std::stoull(key.substr(key.rfind('/') + 1));
}

} // namespace almond::store
