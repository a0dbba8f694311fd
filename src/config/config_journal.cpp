#include "config/config_journal.h"

#include "codec/bounded_json.h"

namespace almond::config {

using kernel::task;
using store::append_status;
using store::journal_entry;
using store::store_status;

namespace {

constexpr store::append_limits submitLimits{10, kernel::milliseconds(200)};

const journal_entry *entryAt(const store::journal_contents &contents, std::uint64_t index)
{
    for (const journal_entry &entry : contents.entries) {
        if (entry.index == index)
            return &entry;
    }
    return nullptr;
}

std::string authorOf(const store::journal_contents &contents, std::uint64_t version)
{
    const journal_entry *entry = entryAt(contents, version);
    return entry ? entry->writer : "an earlier operator";
}

} // namespace

config_change changeFromEntry(const journal_entry &entry)
{
    if (!entry.body.is_object() || !entry.body.contains("patch"))
        return {entry.index, entry.writer, kernel::time_point{}, json::object()};
    return {entry.index, entry.writer,
            kernel::fromMillis(codec::integerMember(entry.body, "submittedAt", std::int64_t{0})),
            entry.body["patch"]};
}

config_view applyEntry(const config_view &view, const journal_entry &entry)
{
    config_view next = view;
    next.version = entry.index;
    // An entry that can't be read is a version without a change, for every process alike.
    if (entry.body.is_object() && entry.body.contains("patch"))
        next.document.merge_patch(entry.body["patch"]);
    settings::findings ignored;
    next.parsed = readDocument(next.document, ignored);
    return next;
}

config_view viewFromJournal(const store::journal_contents &contents)
{
    config_view view;
    if (contents.snapshotIndex > 0) {
        view.version = contents.snapshotIndex;
        view.document = contents.snapshot;
        settings::findings ignored;
        view.parsed = readDocument(view.document, ignored);
    }
    for (const journal_entry &entry : contents.entries)
        view = applyEntry(view, entry);
    return view;
}

task<submit_result> submitPatch(const store::store_api &store, submission change, kernel::time_point now)
{
    submit_result result;
    const store::journal_contents contents = co_await store::loadJournal(store, journalName);
    if (contents.status == store_status::unavailable)
        co_return result;
    const config_view current = viewFromJournal(contents);
    result.newest = current.version;
    if (change.base > current.version) {
        result.status = submit_status::stale;
        co_return result;
    }
    if (change.base < current.version) {
        const journal_entry *existing = entryAt(contents, change.base + 1);
        const bool isSame = existing && existing->submission == change.id;
        result.status = isSame ? submit_status::accepted : submit_status::stale;
        result.conflictingAuthor = authorOf(contents, change.base + 1);
        co_return result;
    }
    applyPatch(current.document, change.patch, result.findings);
    if (!result.findings.empty()) {
        result.status = submit_status::invalid;
        co_return result;
    }
    journal_entry entry{change.base + 1,
                        change.author,
                        change.id,
                        {{"patch", change.patch}, {"submittedAt", kernel::toMillis(now)}}};
    const store::append_result appended
        = co_await store::appendEntry(store, journalName, std::move(entry), submitLimits);
    if (appended.status == append_status::committed) {
        result.status = submit_status::accepted;
        result.newest = change.base + 1;
    } else if (appended.status == append_status::conflict) {
        result.status = submit_status::stale;
        result.newest = std::max(result.newest, change.base + 1);
        result.conflictingAuthor = appended.existing ? appended.existing->writer : "an earlier operator";
    }
    co_return result;
}

} // namespace almond::config
