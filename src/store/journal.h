#pragma once

#include "store/store_api.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almond::store {

using json = nlohmann::json;

//! One entry of a journal. Entry n+1 can be written only once and only while n+1 is absent, so an
//! owner that was replaced finds its next entry taken.
struct journal_entry
{
    std::uint64_t index = 0;
    std::string writer;
    //! Unique for each attempt to append; settles whether a write with a lost answer took effect.
    std::string submission;
    json body;
};

enum class append_status {
    committed,
    //! Another entry stands at this index, or a snapshot already covers it.
    conflict,
    //! The store did not answer in time: the entry may stand or not.
    unknown
};

struct append_result
{
    append_status status = append_status::unknown;
    //! Who wrote the entry that stands at the index; set when it is taken and could be read.
    std::optional<journal_entry> existing;
};

//! The end of a journal, from one index on.
struct journal_tail
{
    store_status status = store_status::unavailable;
    std::vector<journal_entry> entries;
    //! Index up to which a snapshot covers the journal; 0 without a snapshot.
    std::uint64_t snapshotIndex = 0;
};

//! A snapshot and the entries after it.
struct journal_contents
{
    store_status status = store_status::unavailable;
    std::uint64_t snapshotIndex = 0;
    json snapshot;
    std::vector<journal_entry> entries;
};

//! Bounds on the attempts to settle one append.
struct append_limits
{
    int attempts = 5;
    kernel::milliseconds retryDelay{100};
};

//! Appends \a entry to the journal \a name. A lost answer is settled by reading the index back and
//! comparing the submission id; a write is repeated only while the index reads as absent.
kernel::task<append_result> appendEntry(const store_api &store, std::string name, journal_entry entry,
                                        append_limits limits);

//! Reads the entries from \a first on, and the snapshot index, in one call of at most \a limit keys.
kernel::task<journal_tail> readTail(const store_api &store, std::string name, std::uint64_t first,
                                    std::size_t limit = 500);

//! Reads the newest snapshot and every entry after it.
kernel::task<journal_contents> loadJournal(const store_api &store, std::string name);

//! Stores \a state as the snapshot up to and including \a index, then removes what it replaces.
//! \a state may be larger than one value of the store; it is split.
kernel::task<bool> writeSnapshot(const store_api &store, std::string name, std::uint64_t index, json state);

//! The key of entry \a index of the journal \a name.
std::string entryKey(const std::string &name, std::uint64_t index);

} // namespace almond::store
