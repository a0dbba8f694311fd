#pragma once

#include "store/store_api.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almond::store {

using json = nlohmann::json;

//! One entry of a journal. The entry at an index can be written only once. A replaced owner therefore gets a
//! conflict when it appends its next entry.
struct journal_entry
{
    std::uint64_t index = 0;
    std::string writer;
    //! Id of this append, which no other append has. It shows whether a write with a lost response took
    //! effect.
    std::string submission;
    json body;
};

enum class append_status {
    committed,
    //! Another entry exists at this index, a snapshot already covers it, or the writer is no longer the
    //! owner.
    conflict,
    //! The store did not respond in time. The entry may have been written or not.
    unknown
};

struct append_result
{
    append_status status = append_status::unknown;
    //! The entry that exists at the index, if the status is conflict and it could be read.
    std::optional<journal_entry> existing;
};

//! The entries of a journal from some index on.
struct journal_tail
{
    store_status status = store_status::unavailable;
    std::vector<journal_entry> entries;
    //! Index of the last entry that a snapshot covers; 0 without a snapshot.
    std::uint64_t snapshotIndex = 0;
};

//! The newest snapshot of a journal and the entries after it.
struct journal_contents
{
    store_status status = store_status::unavailable;
    std::uint64_t snapshotIndex = 0;
    json snapshot;
    std::vector<journal_entry> entries;
};

//! Limits for determining the outcome of one append.
struct append_limits
{
    int attempts = 5;
    kernel::milliseconds retryDelay{100};
};

//! Appends \a entry to the journal \a name. After a lost response, the outcome is determined by reading the
//! entry at the index and comparing its submission id. The write is repeated while no entry is found there.
kernel::task<append_result> appendEntry(const store_api &store, std::string name, journal_entry entry,
                                        append_limits limits);

//! Reads the entries from index \a first on and the snapshot index with one store call for at most \a limit
//! keys.
kernel::task<journal_tail> readTail(const store_api &store, std::string name, std::uint64_t first,
                                    std::size_t limit = 500);

//! Reads the newest snapshot and all entries after it. The status is unavailable if entries or snapshot parts
//! were removed during the reading; the caller then reads again.
kernel::task<journal_contents> loadJournal(const store_api &store, std::string name);

//! Stores \a state as the snapshot of the entries up to and including \a index, then removes these entries
//! and older snapshots. A \a state that is too large for one value of the store is split. Returns false if
//! the snapshot was not stored.
kernel::task<bool> writeSnapshot(const store_api &store, std::string name, std::uint64_t index, json state);

//! Returns the key of the entry \a index of the journal \a name.
std::string entryKey(const std::string &name, std::uint64_t index);

} // namespace almond::store
