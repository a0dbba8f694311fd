#include "store/fenced_journal.h"
#include "store/journal_codec.h"
#include "store/prefix_watcher.h"
#include "tests/unit/loop.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

//! A long history that a new owner reads page by page, from a store that loses some answers.
namespace {

using namespace almond;

constexpr const char *journalName = "almond/journal";
constexpr int pages = 8;
constexpr std::size_t itemsOfAPage = 5;

//! A store that gives its items in small pages and leaves every third call without an answer.
class lossy_pages
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
            reply.more = reply.items.size() == itemsOfAPage;
            if (reply.more)
                break;
            reply.items.push_back({item->first, item->second, 1});
        }
        return reply;
    }
};

//! A journal of several pages.
lossy_pages storeWithJournal()
{
    lossy_pages made;
    for (std::uint64_t index = 1; index <= pages * itemsOfAPage; ++index) {
        store::journal_entry entry;
        entry.index = index;
        entry.writer = "writer";
        entry.submission = "writer/" + std::to_string(index);
        entry.body = nlohmann::json::array();
        made.items[store::entryKey(journalName, index)] = store::encodeEntry(entry);
    }
    return made;
}

//! Each lost answer threw away all pages that had been read: the more there were, the less likely it became
//! that a new owner came to an end.
TEST(HistoryInParts, AJournalOfManyPagesIsReadFromAStoreThatLosesAnswers)
{
    lossy_pages store = storeWithJournal();
    bool read = false;
    boost::asio::io_context context;
    tests::runToEnd(context, [](lossy_pages *from, bool *done) -> kernel::task<void> {
        for (int attempt = 0; attempt < 2 * pages && !*done; ++attempt) {
            const store::journal_entries journal
                = co_await store::readJournalEntries(from->api(), journalName, 0);
            *done = journal.status == store::store_status::ok;
        }
    }(&store, &read));
    EXPECT_TRUE(read) << "after " << store.calls << " calls for " << pages << " pages";
}

//! The same of the accepted jobs, which a new owner lists before it serves.
TEST(HistoryInParts, AListOfManyPagesIsReadFromAStoreThatLosesAnswers)
{
    lossy_pages store = storeWithJournal();
    store::watcher_settings settings;
    settings.retryDelay = kernel::milliseconds(1);
    store::watcher_events events;
    events.written = [](const store::stored_item &) {};
    events.removed = [](const std::string &) {};
    events.listed = [] {};
    boost::asio::io_context context;
    store::prefix_watcher *present = nullptr;
    store::store_api api = store.api();
    api.page = [page = api.page, &present, &store](std::string prefix, std::string after) {
        if (store.calls >= 4 * pages)
            present->stop();
        return page(std::move(prefix), std::move(after));
    };
    api.watch
        = [&present](std::string, std::int64_t, kernel::milliseconds) -> kernel::task<store::watch_reply> {
        present->stop();
        co_return store::watch_reply();
    };
    store::prefix_watcher follower(api, kernel::monotonicNow, "almond/", settings, std::move(events));
    present = &follower;
    tests::runToEnd(context, follower.run());
    EXPECT_TRUE(follower.isListed()) << "after " << store.calls << " calls for " << pages << " pages";
}

} // namespace
