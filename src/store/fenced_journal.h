#pragma once

#include "store/journal.h"

#include <functional>

namespace almond::store {

//! The condition for appending to a journal: the key of its owner still has the revision with which the
//! writer became the owner.
struct journal_fence
{
    std::string ownerKey;
    std::int64_t ownerRevision = 0;
};

//! Appends \a entry to the journal \a name in one transaction that also requires the fence to hold. A
//! replaced owner therefore can't write, no matter how late its calls arrive. After a lost response, the
//! outcome is determined by reading the entry back. The status is unknown if it can't be determined within \a
//! limits.
kernel::task<append_result> appendFenced(const store_api &store, std::string name, journal_entry entry,
                                         journal_fence fence, append_limits limits);

//! Attempts to read one page of a journal.
inline constexpr append_limits pageLimits{5, kernel::milliseconds(50)};

//! Calls \a visit with each entry of the journal \a name with an index greater than \a after, page by page,
//! and keeps none of them. A page without a response is asked for again within \a limits. If the status is
//! not ok, reading can go on after the last entry that was visited. An entry that can't be decoded has no
//! writer.
kernel::task<store_status> visitJournal(const store_api &store, std::string name, std::uint64_t after,
                                        std::function<void(journal_entry entry)> visit,
                                        append_limits limits = pageLimits);

} // namespace almond::store
