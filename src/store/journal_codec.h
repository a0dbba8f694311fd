#pragma once

#include "store/journal.h"

#include <string>

namespace almond::store {

//! The value under which \a entry lies in the store.
inline std::string encodeEntry(const journal_entry &entry)
{
    return json{{"writer", entry.writer}, {"submission", entry.submission}, {"body", entry.body}}.dump();
}

//! Inverse of encodeEntry(). Throws nlohmann::json::exception for a document of another shape.
inline journal_entry decodeEntry(std::uint64_t index, const std::string &value)
{
    const json parsed = json::parse(value);
    return {index, parsed.at("writer"), parsed.at("submission"), parsed.at("body")};
}

//! What the keys of all entries of the journal \a name begin with.
inline std::string entryPrefix(const std::string &name)
{
    return name + "/entry/";
}

//! The index of an entry, from its key.
inline std::uint64_t indexOfKey(const std::string &key)
{
    return std::stoull(key.substr(key.rfind('/') + 1));
}

} // namespace almond::store
