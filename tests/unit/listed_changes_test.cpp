#include "store/prefix_watcher.h"
#include "tests/unit/loop.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

//! Changes of keys while a listing of several pages is read. The watch that follows repeats them.
namespace {

using namespace almond;

//! A store with one item on each page. A test changes keys between the pages.
class paged_store
{
public:
    store::store_api api()
    {
        store::store_api api;
        api.page = [this](std::string prefix, std::string after) -> kernel::task<store::page_reply> {
            beforePage(++m_pagesRead);
            co_return page(prefix, after);
        };
        api.watch = [this](std::string, std::int64_t after,
                           kernel::milliseconds) -> kernel::task<store::watch_reply> {
            beforeWatch(++m_watches);
            co_return watch(after);
        };
        return api;
    }

    void put(const std::string &key, const std::string &value)
    {
        m_items[key] = {key, value, ++m_revision};
        m_history.push_back({m_items[key], false});
    }

    void erase(const std::string &key)
    {
        m_items.erase(key);
        m_history.push_back({{key, "", ++m_revision}, true});
    }

    std::function<void(int number)> beforePage = [](int) {};
    std::function<void(int number)> beforeWatch = [](int) {};
    //! Number of changes in the response to a watch.
    std::size_t changesPerWatch = 100;

private:
    store::page_reply page(const std::string &prefix, const std::string &after) const
    {
        store::page_reply reply;
        reply.status = store::store_status::ok;
        reply.revision = m_revision;
        const auto first = m_items.upper_bound(std::max(prefix, after));
        if (first == m_items.end())
            return reply;
        reply.items.push_back(first->second);
        reply.more = std::next(first) != m_items.end();
        return reply;
    }

    store::watch_reply watch(std::int64_t after) const
    {
        store::watch_reply reply;
        reply.status = store::store_status::ok;
        reply.revision = after;
        for (const store::key_change &change : m_history) {
            if (change.item.revision <= after || reply.changes.size() >= changesPerWatch)
                continue;
            reply.changes.push_back(change);
            reply.revision = change.item.revision;
        }
        return reply;
    }

    std::map<std::string, store::stored_item> m_items;
    std::vector<store::key_change> m_history;
    std::int64_t m_revision = 0;
    int m_pagesRead = 0;
    int m_watches = 0;
};

class listed_changes_test : public testing::Test
{
protected:
    static constexpr int lastWatch = 5;

    paged_store store;
    //! What the watcher reported: "KEY=VALUE", or "KEY removed".
    std::vector<std::string> reported;
    //! Called before each watch with its number, from 1.
    std::function<void(int number)> beforeWatch = [](int) {};

    void run()
    {
        store::watcher_events events;
        events.written
            = [this](const store::stored_item &item) { reported.push_back(item.key + "=" + item.value); };
        events.removed = [this](const std::string &key) { reported.push_back(key + " removed"); };
        store::prefix_watcher watcher(store.api(), kernel::monotonicNow, "w/", {}, std::move(events));
        store.beforeWatch = [&](int number) {
            beforeWatch(number);
            if (number == lastWatch)
                watcher.stop();
        };
        boost::asio::io_context context;
        tests::runToEnd(context, watcher.run());
    }
};

//! A worker that was registered anew while the list was read was reported with its present entry, then with
//! the earlier one, as if the earlier incarnation had returned.
TEST_F(listed_changes_test, EarlierValueIsNotReportedAfterTheListedOne)
{
    store.put("w/1", "a");
    store.put("w/2", "first");
    store.beforePage = [this](int number) {
        if (number == 2) {
            store.put("w/2", "second");
            store.put("w/2", "third");
        }
    };
    run();
    EXPECT_EQ(reported, (std::vector<std::string>{"w/1=a", "w/2=third"}));
}

//! The same for an entry that had lapsed meanwhile: the worker left the list and came back.
TEST_F(listed_changes_test, RemovalBeforeTheListedValueIsNotReported)
{
    store.put("w/1", "a");
    store.put("w/2", "first");
    store.beforePage = [this](int number) {
        if (number == 2) {
            store.erase("w/2");
            store.put("w/2", "second");
        }
    };
    store.changesPerWatch = 1;
    run();
    EXPECT_EQ(reported, (std::vector<std::string>{"w/1=a", "w/2=second"}));
}

//! A key that was written and removed before its page was read does not exist.
TEST_F(listed_changes_test, KeyThatWasRemovedBeforeItsPageIsNotReported)
{
    store.put("w/1", "a");
    store.put("w/3", "c");
    store.beforePage = [this](int number) {
        if (number == 2) {
            store.put("w/2", "short");
            store.erase("w/2");
        }
    };
    run();
    EXPECT_EQ(reported, (std::vector<std::string>{"w/1=a", "w/3=c"}));
}

//! What changes after its page was read is reported, in the order of the revisions.
TEST_F(listed_changes_test, ChangesAfterTheirPageAreReported)
{
    store.put("w/1", "a");
    store.put("w/2", "first");
    store.beforePage = [this](int number) {
        if (number == 2) {
            store.erase("w/1");
            store.put("w/1", "b");
        }
    };
    beforeWatch = [this](int number) {
        if (number == 1)
            store.put("w/2", "second");
        if (number == 3)
            store.erase("w/2");
    };
    run();
    EXPECT_EQ(reported,
              (std::vector<std::string>{"w/1=a", "w/2=first", "w/1 removed", "w/1=b", "w/2=second",
                                        "w/2 removed"}));
}

} // namespace
