#include "store/journal.h"

#include "codec/bounded_json.h"
#include "observe/log.h"
#include "store/journal_codec.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace almond::store {

using kernel::task;

namespace {

constexpr std::size_t snapshotPartBytes = 512UL * 1024;

std::string paddedNumber(std::uint64_t number)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%014llu", static_cast<unsigned long long>(number));
    return text.data();
}

std::string headKey(const std::string &name)
{
    return name + "/head";
}

std::string snapshotPrefix(const std::string &name)
{
    return name + "/snapshot/";
}

std::string snapshotKey(const std::string &name, std::uint64_t index, std::size_t part)
{
    return snapshotPrefix(name) + paddedNumber(index) + "/" + paddedNumber(part);
}

struct journal_head
{
    store_status status = store_status::unavailable;
    std::uint64_t snapshotIndex = 0;
    std::size_t parts = 0;
    std::int64_t revision = 0;
};

//! Returns false, without a change of \a head, if \a value is not an encoded head.
bool decodeHead(const std::string &value, journal_head &head)
{
    const std::optional<json> parsed = codec::parseText(value);
    const bool whole = parsed && parsed->is_object() && parsed->value("index", json()).is_number_unsigned()
        && parsed->value("parts", json()).is_number_unsigned();
    if (!whole) {
        observe::logLimited(observe::log_level::error, "head of a journal can't be read",
                            {{"bytes", value.size()}}, kernel::monotonicNow());
        return false;
    }
    head.snapshotIndex = (*parsed)["index"];
    head.parts = (*parsed)["parts"];
    return true;
}

task<journal_head> readHead(const store_api &store, const std::string &name)
{
    const store_reply reply = co_await store.get(headKey(name));
    journal_head head;
    head.status = reply.status;
    head.revision = reply.revision;
    // Without its head the journal can't be read; the caller tries again.
    if (reply.status == store_status::ok && !decodeHead(reply.value, head))
        head.status = store_status::unavailable;
    co_return head;
}

//! Returns a conflict if a snapshot covers \a index: the entry there was removed, so the write is invalid.
task<append_result> confirmAboveSnapshot(const store_api &store, const std::string &name, std::uint64_t index)
{
    const journal_head head = co_await readHead(store, name);
    if (head.status == store_status::unavailable)
        co_return append_result{append_status::unknown, std::nullopt};
    if (head.snapshotIndex >= index)
        co_return append_result{append_status::conflict, std::nullopt};
    co_return append_result{append_status::committed, std::nullopt};
}

task<append_result> readOutcome(const store_api &store, const std::string &name, const journal_entry &entry)
{
    const store_reply reply = co_await store.get(entryKey(name, entry.index));
    if (reply.status != store_status::ok)
        co_return append_result{append_status::unknown, std::nullopt};
    journal_entry existing = decodeEntryOrEmpty(entry.index, reply.value);
    if (existing.submission != entry.submission)
        co_return append_result{append_status::conflict, std::move(existing)};
    co_return co_await confirmAboveSnapshot(store, name, entry.index);
}

task<append_result> tryAppend(const store_api &store, const std::string &name, const journal_entry &entry,
                              const std::string &encoded)
{
    const store_reply reply = co_await store.create(entryKey(name, entry.index), encoded, "");
    if (reply.status == store_status::ok)
        co_return co_await confirmAboveSnapshot(store, name, entry.index);
    co_return co_await readOutcome(store, name, entry);
}

//! Reads and joins the parts of one snapshot. Returns the reply for a part that could not be read, if any.
task<store_reply> readSnapshotText(const store_api &store, const std::string &name, const journal_head &head)
{
    store_reply joined;
    for (std::size_t part = 0; part < head.parts; ++part) {
        const store_reply reply = co_await store.get(snapshotKey(name, head.snapshotIndex, part));
        if (reply.status != store_status::ok)
            co_return reply;
        joined.value += reply.value;
    }
    joined.status = store_status::ok;
    co_return joined;
}

task<void> removeRange(const store_api &store, key_range range)
{
    const range_reply old = co_await store.range(std::move(range));
    for (const stored_item &item : old.items)
        co_await store.remove(item.key);
}

task<store_reply> writeHead(const store_api &store, const std::string &name, const journal_head &head,
                            std::uint64_t index, std::size_t parts)
{
    const std::string value = json{{"index", index}, {"parts", parts}}.dump();
    if (head.status == store_status::absent)
        co_return co_await store.create(headKey(name), value, "");
    co_return co_await store.replace(headKey(name), value, head.revision);
}

} // namespace

key_range prefixRange(const std::string &prefix)
{
    std::string end = prefix;
    end.push_back('\x7f');
    return key_range(prefix, end);
}

std::string entryKey(const std::string &name, std::uint64_t index)
{
    return entryPrefix(name) + paddedNumber(index);
}

task<append_result> appendEntry(const store_api &store, std::string name, journal_entry entry,
                                append_limits limits)
{
    const std::string encoded = encodeEntry(entry);
    append_result result;
    for (int attempt = 0; attempt < limits.attempts; ++attempt) {
        result = co_await tryAppend(store, name, entry, encoded);
        if (result.status != append_status::unknown)
            co_return result;
        co_await kernel::sleepFor(limits.retryDelay);
    }
    co_return result;
}

task<journal_tail> readTail(const store_api &store, std::string name, std::uint64_t first, std::size_t limit)
{
    // The head key sorts after every entry key, so one range contains both.
    const std::string afterHead = headKey(name) + "\x01";
    key_range range(entryKey(name, first), afterHead, limit);
    const range_reply reply = co_await store.range(std::move(range));
    journal_tail tail;
    tail.status = reply.status;
    std::uint64_t expected = first;
    for (const stored_item &item : reply.items) {
        if (item.key == headKey(name)) {
            journal_head head;
            if (decodeHead(item.value, head))
                tail.snapshotIndex = head.snapshotIndex;
            continue;
        }
        const std::optional<std::uint64_t> index = indexOfKey(item.key);
        if (index == expected) {
            tail.entries.push_back(decodeEntryOrEmpty(expected, item.value));
            ++expected;
        } else if (index && tail.entries.empty() && tail.snapshotIndex == 0) {
            // Entries are removed only once a snapshot covers them.
            tail.snapshotIndex = *index - 1;
        }
    }
    co_return tail;
}

task<journal_contents> loadJournal(const store_api &store, std::string name)
{
    journal_contents contents;
    const journal_head head = co_await readHead(store, name);
    contents.status = head.status;
    if (head.status == store_status::unavailable)
        co_return contents;
    if (head.status == store_status::ok) {
        const store_reply text = co_await readSnapshotText(store, name, head);
        contents.status = text.status == store_status::ok ? store_status::ok : store_status::unavailable;
        if (text.status != store_status::ok)
            co_return contents;
        std::optional<json> snapshot = codec::parseText(text.value);
        if (!snapshot) {
            contents.status = store_status::unavailable;
            observe::logLimited(observe::log_level::error, "snapshot of a journal can't be read",
                                {{"journal", name}, {"index", head.snapshotIndex}}, kernel::monotonicNow());
            co_return contents;
        }
        contents.snapshot = std::move(*snapshot);
        contents.snapshotIndex = head.snapshotIndex;
    }
    std::uint64_t next = contents.snapshotIndex + 1;
    while (true) {
        const journal_tail tail = co_await readTail(store, name, next);
        contents.status = tail.status;
        // The writer of a newer snapshot may have removed entries before they were read.
        if (tail.snapshotIndex > contents.snapshotIndex)
            contents.status = store_status::unavailable;
        if (contents.status != store_status::ok || tail.entries.empty())
            co_return contents;
        next = tail.entries.back().index + 1;
        std::copy(tail.entries.begin(), tail.entries.end(), std::back_inserter(contents.entries));
    }
}

task<bool> writeSnapshot(const store_api &store, std::string name, std::uint64_t index, json state)
{
    const journal_head head = co_await readHead(store, name);
    if (head.status == store_status::unavailable || head.snapshotIndex >= index)
        co_return false;
    const std::string text = state.dump();
    std::size_t parts = 0;
    for (std::size_t offset = 0; offset < text.size(); offset += snapshotPartBytes) {
        const std::string part = text.substr(offset, snapshotPartBytes);
        const std::string key = snapshotKey(name, index, parts);
        // An existing part was left by a writer that stopped before it wrote the head.
        const store_reply existing = co_await store.create(key, part, "");
        if (existing.status == store_status::conflict)
            co_await store.remove(key);
        if (existing.status == store_status::conflict
            && (co_await store.create(key, part, "")).status != store_status::ok)
            co_return false;
        if (existing.status == store_status::unavailable)
            co_return false;
        ++parts;
    }
    const store_reply headWritten = co_await writeHead(store, name, head, index, parts);
    if (headWritten.status != store_status::ok)
        co_return false;
    key_range entries(entryKey(name, 0), entryKey(name, index + 1));
    co_await removeRange(store, std::move(entries));
    key_range snapshots(snapshotPrefix(name), snapshotKey(name, index, 0));
    co_await removeRange(store, std::move(snapshots));
    co_return true;
}

} // namespace almond::store
