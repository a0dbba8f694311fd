#include "store/fenced_journal.h"
#include "store/journal_codec.h"
#include "store/prefix_watcher.h"
#include "tests/unit/loop.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

//! Reading many pages from a store that loses some responses. If each lost response discards all pages read
//! so far, a new owner becomes less likely to finish with every further page.
namespace {

using namespace almond;

constexpr const char *journalName = "almond/journal";
constexpr int pages = 8;
constexpr std::size_t itemsPerPage = 5;

//! A store with small pages that does not respond to every third call.
class lossy_store
{
public:
    store::store_api api()
    {
        store::store_api api;
        api.page = [this](std::string prefix, std::string after) -> kernel::task<store::page_reply> {
            co_return page(prefix, after);
        };
        return api;
    }

    std::map<std::string, std::string> items;
    int calls = 0;

private:
    store::page_reply page(const std::string &prefix, const std::string &after)
    {
        store::page_reply reply;
        if (++calls % 3 == 0)
            return reply;
        reply.status = store::store_status::ok;
        reply.revision = 1;
        for (auto item = items.upper_bound(std::max(prefix, after));
             item != items.end() && item->first.starts_with(prefix); ++item) {
            reply.more = reply.items.size() == itemsPerPage;
            if (reply.more)
                break;
            reply.items.push_back({item->first, item->second, 1});
        }
        return reply;
    }
};

//! Returns a store with a journal of several pages.
lossy_store storeWithJournal()
{
    lossy_store store;
    for (std::uint64_t index = 1; index <= pages * itemsPerPage; ++index) {
        store::journal_entry entry;
        entry.index = index;
        entry.writer = "writer";
        entry.submission = "writer/" + std::to_string(index);
        entry.body = nlohmann::json::array();
        store.items[store::entryKey(journalName, index)] = store::encodeEntry(entry);
    }
    return store;
}

//! visitJournal() must not start again at the first page after a lost response.
TEST(HistoryInParts, JournalOfManyPagesIsReadFromAStoreThatLosesResponses)
{
    lossy_store store = storeWithJournal();
    bool read = false;
    std::vector<std::uint64_t> visited;
    boost::asio::io_context context;
    tests::runToEnd(
        context,
        [](lossy_store *from, bool *done, std::vector<std::uint64_t> *indexes) -> kernel::task<void> {
            for (int attempt = 0; attempt < 2 * pages && !*done; ++attempt) {
                const std::uint64_t after = indexes->empty() ? 0 : indexes->back();
                const store::store_status status = co_await store::visitJournal(
                    from->api(), journalName, after,
                    [indexes](const store::journal_entry &entry) { indexes->push_back(entry.index); });
                *done = status == store::store_status::ok;
            }
        }(&store, &read, &visited));
    ASSERT_EQ(visited.size(), pages * itemsPerPage);
    for (std::size_t number = 0; number < visited.size(); ++number)
        EXPECT_EQ(visited[number], number + 1);
    EXPECT_TRUE(read) << "after " << store.calls << " calls for " << pages << " pages";
}

//! prefix_watcher must not start again at the first page either: a new owner lists the accepted jobs with it
//! before it serves.
TEST(HistoryInParts, PrefixWithManyPagesIsListedFromAStoreThatLosesResponses)
{
    lossy_store store = storeWithJournal();
    store::watcher_settings settings;
    settings.retryDelay = kernel::milliseconds(1);
    store::watcher_events events;
    events.written = [](const store::stored_item &) {};
    events.removed = [](const std::string &) {};
    events.listed = [] {};
    boost::asio::io_context context;
    store::prefix_watcher *activeWatcher = nullptr;
    store::store_api api = store.api();
    api.page = [page = api.page, &activeWatcher, &store](std::string prefix, std::string after) {
        if (store.calls >= 4 * pages)
            activeWatcher->stop();
        return page(std::move(prefix), std::move(after));
    };
    api.watch = [&activeWatcher](std::string, std::int64_t,
                                 kernel::milliseconds) -> kernel::task<store::watch_reply> {
        activeWatcher->stop();
        co_return store::watch_reply();
    };
    store::prefix_watcher watcher(api, kernel::monotonicNow, "almond/", settings, std::move(events));
    activeWatcher = &watcher;
    tests::runToEnd(context, watcher.run());
    EXPECT_TRUE(watcher.isListed()) << "after " << store.calls << " calls for " << pages << " pages";
}

store::journal_entry largeEntry()
{
    store::journal_entry entry;
    entry.index = 7;
    entry.writer = "writer";
    entry.submission = "writer/7";
    entry.body = nlohmann::json::array();
    for (int task = 0; task < 100; ++task)
        entry.body.push_back(
            {"started", "00000000000000aa.0.0." + std::to_string(task), 1, "i-7af31c@1789144138331"});
    return entry;
}

//! A new owner reads all entries, possibly over a slow link.
TEST(HistoryInParts, LargeEntryTakesAFractionOfItsText)
{
    const store::journal_entry entry = largeEntry();
    const std::string value = store::encodeCompactEntry(entry);
    EXPECT_LT(value.size() * 4, store::encodeEntry(entry).size());
    const std::optional<store::journal_entry> back = store::decodeEntry(entry.index, value);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->submission, entry.submission);
    EXPECT_EQ(back->body, entry.body);
}

TEST(HistoryInParts, DamagedCompressedEntryIsNoEntry)
{
    const std::string value = store::encodeCompactEntry(largeEntry());
    for (const std::string &damaged :
         {value.substr(0, 1), value.substr(0, 4), value.substr(0, value.size() / 2),
          std::string("\x01\xff\xff\xff\xff"), std::string("\x01\x7f\xff\xff\xff") + value.substr(5)})
        EXPECT_FALSE(store::decodeEntry(7, damaged));
}

} // namespace
