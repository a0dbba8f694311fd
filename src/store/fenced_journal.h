#pragma once

#include "store/journal.h"

namespace almond::store {

//! The right to append to a journal: the key of its owner, as it was when it was taken.
struct journal_fence
{
    std::string ownerKey;
    std::int64_t ownerRevision = 0;
};

//! Appends \a entry to the journal \a name in one call that also requires the fence to hold, so that an owner
//! that was replaced can't write however late its calls arrive. A lost answer is settled by reading the entry
//! back. unsettled when the store does not answer within the limits.
kernel::task<append_result> appendFenced(const store_api &store, std::string name, journal_entry entry,
                                         journal_fence fence, append_limits limits);

//! Every entry of a journal from one index on.
struct journal_entries
{
    store_status status = store_status::unavailable;
    std::vector<journal_entry> entries;
};

//! Reads all entries of the journal \a name after the entry \a after.
kernel::task<journal_entries> readJournalEntries(const store_api &store, std::string name,
                                                 std::uint64_t after);

} // namespace almond::store
