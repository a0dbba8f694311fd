#include "store/journal_compaction.h"

#include "store/journal_codec.h"

#include <utility>

namespace almond::store {

using kernel::task;

namespace {

//! Neighbouring entries that become one.
struct entry_group
{
    std::vector<key_precondition> entries;
    //! The last entry with the remaining records of all.
    journal_entry merged{0, "", "", json::array()};
    std::size_t bytes = 0;
    std::size_t recordsRemoved = 0;
};

bool isFull(const entry_group &group, std::size_t moreRecords, std::size_t moreBytes,
            const compaction_rules &rules)
{
    return group.entries.size() >= rules.entriesPerWrite
        || (!group.entries.empty()
            && (group.merged.body.size() + moreRecords > rules.recordsPerEntry
                || group.bytes + moreBytes > rules.bytesPerEntry));
}

void add(entry_group &group, const stored_item &item, journal_entry entry, const json &live)
{
    group.recordsRemoved += entry.body.size() - live.size();
    for (const json &record : live)
        group.merged.body.push_back(record);
    group.merged.index = entry.index;
    group.merged.writer = std::move(entry.writer);
    group.merged.submission = std::move(entry.submission);
    group.entries.push_back({item.key, item.revision});
    group.bytes += item.value.size();
}

//! Writes \a group, unless it would change nothing.
task<store_status> writeGroup(const store_api &store, const journal_fence &fence, const entry_group &group)
{
    if (group.recordsRemoved == 0 && group.entries.size() < 2)
        co_return store_status::ok;
    transaction change;
    // Each entry must be as it was read: another compaction may have merged earlier entries into any of them.
    change.preconditions = group.entries;
    change.preconditions.push_back({fence.ownerKey, fence.ownerRevision});
    for (const key_precondition &entry : group.entries)
        change.removals.push_back(entry.key);
    if (!group.merged.body.empty()) {
        change.puts.push_back({change.removals.back(), encodeCompactEntry(group.merged), ""});
        change.removals.pop_back();
    }
    const store_reply reply = co_await store.commit(change);
    co_return reply.status;
}

//! Compacts the entries of one journal, in the order of their indexes.
class compactor
{
public:
    compactor(const store_api &store, const journal_fence &fence, const record_filter &filter,
              const compaction_rules &rules)
        : m_store(store)
        , m_fence(fence)
        , m_filter(filter)
        , m_rules(rules)
    {
    }

    //! Returns false if a write failed.
    task<bool> take(stored_item item)
    {
        ++m_result.entriesRead;
        const std::optional<std::uint64_t> index = indexOfKey(item.key);
        std::optional<journal_entry> entry;
        if (index)
            entry = decodeEntry(*index, item.value);
        // What another writer has left in the journal stays, and separates the entries around it.
        if (!entry || entry->writer.empty() || !entry->body.is_array()) {
            const bool written = co_await flush();
            co_return written;
        }
        const json live = m_filter(entry->body);
        if (isFull(m_group, live.size(), item.value.size(), m_rules)) {
            const bool written = co_await flush();
            if (!written)
                co_return false;
        }
        add(m_group, item, std::move(*entry), live);
        co_return true;
    }

    task<bool> flush()
    {
        const entry_group group = std::exchange(m_group, {});
        if (group.entries.empty())
            co_return true;
        m_result.status = co_await writeGroup(m_store, m_fence, group);
        if (m_result.status != store_status::ok)
            co_return false;
        m_result.recordsRemoved += group.recordsRemoved;
        m_result.entriesRemoved += group.entries.size() - (group.merged.body.empty() ? 0 : 1);
        co_await kernel::sleepFor(m_rules.writePause);
        co_return true;
    }

    compaction_result &result() { return m_result; }

private:
    const store_api &m_store;
    const journal_fence &m_fence;
    const record_filter &m_filter;
    const compaction_rules &m_rules;
    entry_group m_group;
    compaction_result m_result;
};

} // namespace

task<compaction_result> compactJournal(store_api store, std::string name, std::uint64_t last,
                                       journal_fence fence, record_filter filter, std::function<bool()> goOn,
                                       compaction_rules rules)
{
    compactor work(store, fence, filter, rules);
    std::string after;
    bool more = true;
    while (more) {
        const page_reply page = co_await store.page(entryPrefix(name), after);
        work.result().status = page.status;
        if (page.status != store_status::ok)
            co_return work.result();
        for (const stored_item &item : page.items) {
            const std::optional<std::uint64_t> index = indexOfKey(item.key);
            if (index && *index > last) {
                co_await work.flush();
                co_return work.result();
            }
            if (!goOn())
                co_return work.result();
            const bool taken = co_await work.take(item);
            if (!taken)
                co_return work.result();
            after = item.key;
        }
        more = page.more && !page.items.empty();
    }
    co_await work.flush();
    co_return work.result();
}

} // namespace almond::store
