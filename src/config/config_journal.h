#pragma once

#include "config/config_document.h"
#include "kernel/time.h"
#include "store/journal.h"

#include <memory>
#include <string>

namespace almond::config {

//! Name of the journal of configuration versions. Entry n is version n.
inline constexpr const char *journalName = "config";

//! A version of the configuration, and when it was last known to be the newest.
struct config_view
{
    //! 0 if no version exists yet.
    std::uint64_t version = 0;
    json document = json::object();
    config_document parsed;
    //! Time of the last read of the store that found no later version.
    kernel::time_point confirmedAt{};
};

using config_view_ptr = std::shared_ptr<const config_view>;

//! The change that made a version: its merge patch, author and time.
struct config_change
{
    std::uint64_t version = 0;
    std::string author;
    kernel::time_point submittedAt{};
    json patch;
};

//! Returns \a view with \a entry, the next version, applied.
config_view applyEntry(const config_view &view, const store::journal_entry &entry);

//! Decodes the change that \a entry records. An entry that can't be read has an empty patch.
config_change changeFromEntry(const store::journal_entry &entry);

//! Returns the newest view, from a snapshot and the entries after it.
config_view viewFromJournal(const store::journal_contents &contents);

enum class submit_status { accepted, stale, invalid, unknown };

//! The outcome of submitting a patch.
struct submit_result
{
    submit_status status = submit_status::unknown;
    //! The newest version that the submission found.
    std::uint64_t newest = 0;
    //! Author of the version that exists instead of this one, if the status is stale.
    std::string conflictingAuthor;
    settings::findings findings;
};

//! A patch against the version \a base. Submitting it again with the same id reports the outcome of the first
//! submission.
struct submission
{
    std::uint64_t base = 0;
    json patch;
    std::string author;
    std::string id;
};

//! Writes \a change as version base+1 if no such version exists. A stale or invalid patch changes nothing.
//! The status is unknown if the store does not respond.
kernel::task<submit_result> submitPatch(const store::store_api &store, submission change,
                                        kernel::time_point now);

} // namespace almond::config
