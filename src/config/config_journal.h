#pragma once

#include "config/config_document.h"
#include "kernel/time.h"
#include "store/journal.h"

#include <memory>
#include <string>

namespace almond::config {

//! The journal that holds the operators' configuration: version n is entry n.
inline constexpr const char *journalName = "config";

//! One version in force, and when it was last known to be the newest.
struct config_view
{
    std::uint64_t version = 0; // 0 before the first one
    json document = json::object();
    config_document parsed;
    //! When the next version was last read as absent.
    kernel::time_point confirmedAt{};
};

using config_view_ptr = std::shared_ptr<const config_view>;

//! Who submitted a version, when, and the merge patch.
struct config_change
{
    std::uint64_t version = 0;
    std::string author;
    kernel::time_point submittedAt{};
    json patch;
};

//! Returns \a view with \a entry, its next version, applied.
config_view applyEntry(const config_view &view, const store::journal_entry &entry);

//! The change that \a entry records.
config_change changeFromEntry(const store::journal_entry &entry);

//! Builds the view from a snapshot and the entries after it.
config_view viewFromJournal(const store::journal_contents &contents);

enum class submit_status { accepted, stale, invalid, unknown };

//! What became of a submitted patch.
struct submit_result
{
    submit_status status = submit_status::unknown;
    std::uint64_t newest = 0;
    //! Who wrote the version that stood in the way; set when stale.
    std::string conflictingAuthor;
    settings::findings findings;
};

//! One operator's patch against the version \a base. Submitting the same submission id again reports
//! what became of the first one.
struct submission
{
    std::uint64_t base = 0;
    json patch;
    std::string author;
    std::string id;
};

//! Submits \a change: version base+1 is written only if it is absent. A stale or invalid patch changes
//! nothing.
kernel::task<submit_result> submitPatch(const store::store_api &store, submission change,
                                        kernel::time_point now);

} // namespace almond::config
