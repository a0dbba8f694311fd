#pragma once

#include "store/journal.h"

#include <optional>
#include <string>

namespace almond::store {

//! Encodes \a entry as a value for the store.
std::string encodeEntry(const journal_entry &entry);

//! The same, compressed unless \a entry is small: a new owner may read the whole journal over a slow link.
//! For stores whose values may be any bytes.
std::string encodeCompactEntry(const journal_entry &entry);

//! Inverse of encodeEntry() and encodeCompactEntry(). Empty if \a value is not an encoded entry.
std::optional<journal_entry> decodeEntry(std::uint64_t index, const std::string &value);

//! The same, but an entry that can't be decoded has neither writer nor records. It was not written by a
//! process of this system, and must not keep the entries after it from being read.
journal_entry decodeEntryOrEmpty(std::uint64_t index, const std::string &value);

//! Returns the common prefix of the keys of all entries of the journal \a name.
inline std::string entryPrefix(const std::string &name)
{
    return name + "/entry/";
}

//! Returns the index of the entry with \a key; empty if \a key does not end with an index.
std::optional<std::uint64_t> indexOfKey(std::string_view key);

} // namespace almond::store
