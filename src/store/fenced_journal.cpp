#include "store/fenced_journal.h"

#include "observe/log.h"
#include "store/journal_codec.h"

namespace almond::store {

using kernel::task;

namespace {

//! Determines from the store whether \a entry or another entry exists at its index.
task<append_result> readBack(const store_api &store, const std::string &key, const journal_entry &entry)
{
    append_result result;
    const store_reply existing = co_await store.get(key);
    if (existing.status != store_status::ok)
        co_return result;
    result.existing = decodeEntryOrEmpty(entry.index, existing.value);
    const bool own = result.existing->submission == entry.submission;
    result.status = own ? append_status::committed : append_status::conflict;
    co_return result;
}

} // namespace

task<append_result> appendFenced(const store_api &store, std::string name, journal_entry entry,
                                 journal_fence fence, append_limits limits)
{
    const std::string key = entryKey(name, entry.index);
    transaction change;
    change.preconditions.push_back({fence.ownerKey, fence.ownerRevision});
    change.preconditions.push_back({key, 0});
    change.puts.push_back({key, encodeCompactEntry(entry), ""});
    append_result result;
    for (int attempt = 0; attempt < limits.attempts; ++attempt) {
        const store_reply reply = co_await store.commit(change);
        if (reply.status == store_status::ok) {
            result.status = append_status::committed;
            co_return result;
        }
        if (reply.status == store_status::conflict) {
            result = co_await readBack(store, key, entry);
            if (result.status != append_status::unknown)
                co_return result;
            // No entry exists at the index, so the fence does not hold.
            const store_reply owner = co_await store.get(fence.ownerKey);
            const bool replaced = owner.status == store_status::absent
                || (owner.status == store_status::ok && owner.revision != fence.ownerRevision);
            if (replaced)
                result.status = append_status::conflict;
            if (replaced)
                co_return result;
        }
        co_await kernel::sleepFor(limits.retryDelay);
    }
    co_return result;
}

task<store_status> visitJournal(const store_api &store, std::string name, std::uint64_t after,
                                std::function<void(journal_entry entry)> visit, append_limits limits)
{
    std::string last = entryKey(name, after);
    int failures = 0;
    bool more = true;
    while (more) {
        const page_reply page = co_await store.page(entryPrefix(name), last);
        if (page.status != store_status::ok) {
            if (++failures >= limits.attempts)
                co_return page.status;
            co_await kernel::sleepFor(limits.retryDelay);
            continue;
        }
        failures = 0;
        for (const stored_item &item : page.items) {
            last = item.key;
            const std::optional<std::uint64_t> index = indexOfKey(item.key);
            if (index)
                visit(decodeEntryOrEmpty(*index, item.value));
            else
                observe::logLimited(observe::log_level::error, "odd key in a journal ignored",
                                    {{"key", item.key}}, kernel::monotonicNow());
        }
        more = page.more && !page.items.empty();
    }
    co_return store_status::ok;
}

} // namespace almond::store
