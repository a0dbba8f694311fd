#pragma once

#include "store/fenced_journal.h"

#include <functional>

namespace almond::store {

struct compaction_rules
{
    //! Entries that one write merges. Each counts twice in the transaction, as a precondition and as a
    //! change.
    std::size_t entriesPerWrite = 15;
    //! Size of the merged entry, by its records and by the values that it replaces.
    std::size_t recordsPerEntry = 1000;
    std::size_t bytesPerEntry = 256UL * 1024;
    //! Time between two writes, which leaves the store and the loop to more urgent work.
    kernel::milliseconds writePause{50};
};

struct compaction_result
{
    //! Of the last call; what was compacted before a call failed stays so.
    store_status status = store_status::ok;
    std::size_t entriesRead = 0;
    std::size_t entriesRemoved = 0;
    std::size_t recordsRemoved = 0;
};

//! Returns the records of an entry's body that are still needed.
using record_filter = std::function<json(const json &body)>;

//! Removes the records of the journal \a name that \a filter leaves out, and merges the entries that become
//! small, up to the entry \a last. The remaining records keep their order, and the entries their format. Each
//! write replaces some entries by one at the index of the last of them, and requires that \a fence holds and
//! that they are as they were read: a write that the store carries out late, after the journal was compacted
//! further, has no effect. Ends early if \a goOn returns false or the store does not respond.
kernel::task<compaction_result> compactJournal(store_api store, std::string name, std::uint64_t last,
                                               journal_fence fence, record_filter filter,
                                               std::function<bool()> goOn, compaction_rules rules = {});

} // namespace almond::store
