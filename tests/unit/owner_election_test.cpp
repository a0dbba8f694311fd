#include "fleet/owner_election.h"
#include "store/fenced_journal.h"
#include "store/prefix_watcher.h"
#include "tests/fakes/shared_store.h"
#include "tests/unit/loop.h"

#include <gtest/gtest.h>

//! The election of the owner, the fencing of journal writes, and watching the keys with a prefix.
namespace {

using namespace almond;
using kernel::task;
using store::append_status;

struct election_world
{
    boost::asio::io_context context;
    fakes::shared_store store;
    fleet::election_rules rules;

    std::optional<fleet::won_term> run(const std::string &address, const fleet::owner_view &view)
    {
        std::optional<fleet::won_term> won;
        tests::runToEnd(context,
                        [](election_world &world, std::string who, fleet::owner_view seen,
                           std::optional<fleet::won_term> &result) -> task<void> {
                            result = co_await fleet::tryAcquireOwnership(world.store.api(), who, seen,
                                                                         world.rules, kernel::time_point{});
                        }(*this, address, view, won));
        return won;
    }

    store::store_status clear(const fleet::owner_view &view)
    {
        store::store_status status = store::store_status::unavailable;
        tests::runToEnd(
            context,
            [](election_world &world, fleet::owner_view seen, store::store_status &out) -> task<void> {
                out = co_await fleet::clearOwnership(world.store.api(), std::move(seen));
            }(*this, view, status));
        return status;
    }

    store::append_result append(const fleet::won_term &term, std::uint64_t index,
                                const std::string &submission)
    {
        store::append_result result;
        store::journal_entry entry{index, "writer", submission, nlohmann::json::array()};
        store::journal_fence fence{fleet::election_key::owner, term.ownerRevision};
        tests::runToEnd(context,
                        [](election_world &world, store::journal_entry what, store::journal_fence held,
                           store::append_result &out) -> task<void> {
                            store::append_limits limits;
                            limits.retryDelay = kernel::milliseconds(1);
                            out = co_await store::appendFenced(world.store.api(), "j", std::move(what),
                                                               std::move(held), limits);
                        }(*this, entry, fence, result));
        return result;
    }
};

TEST(OwnerElection, OnlyOneOfTwoCandidatesWinsATerm)
{
    election_world world;
    const fleet::owner_view view;
    const auto first = world.run("a:1", view);
    ASSERT_TRUE(first);
    EXPECT_FALSE(world.run("b:1", view));
    EXPECT_EQ(first->term, 1U);
}

//! Guards against a long time without an owner: all processes are killed and restart at once, long before the
//! lease of the owner expires.
TEST(OwnerElection, RestartedOwnerDeletesTheOwnerKeyOfItsPreviousRun)
{
    election_world world;
    const auto first = world.run("a:1", {});
    ASSERT_TRUE(first);
    fleet::owner_view view{"a:1", 1, first->ownerRevision, world.store.revisionOf(fleet::election_key::term)};
    EXPECT_TRUE(fleet::isPreviousRun(view, "a:1"));
    EXPECT_FALSE(fleet::isPreviousRun(view, "b:1"));
    EXPECT_EQ(world.clear(view), store::store_status::ok);
    view.address.clear();
    view.ownerRevision = 0;
    const auto second = world.run("b:1", view);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->term, 2U);
}

TEST(OwnerElection, StaleViewDoesNotDeleteTheKeyOfALaterOwner)
{
    election_world world;
    const auto first = world.run("a:1", {});
    ASSERT_TRUE(first);
    const fleet::owner_view stale{"a:1", 1, first->ownerRevision, 0};
    world.store.erase(fleet::election_key::owner);
    fleet::owner_view view;
    view.term = 1;
    view.termRevision = world.store.revisionOf(fleet::election_key::term);
    ASSERT_TRUE(world.run("b:1", view));
    EXPECT_EQ(world.clear(stale), store::store_status::conflict);
    EXPECT_GT(world.store.revisionOf(fleet::election_key::owner), first->ownerRevision);
}

TEST(OwnerElection, StrongerHostWaitsLess)
{
    const fleet::election_rules rules;
    EXPECT_LT(fleet::candidacyDelay(rules, 0.5, 1.0), fleet::candidacyDelay(rules, 0.12, 0.5));
}

TEST(FencedJournal, ReplacedOwnerCanNeverWrite)
{
    election_world world;
    const auto first = world.run("a:1", {});
    ASSERT_EQ(world.append(*first, 1, "a/1").status, append_status::committed);
    world.store.erase(fleet::election_key::owner);
    fleet::owner_view view;
    view.term = 1;
    view.termRevision = world.store.revisionOf(fleet::election_key::term);
    const auto second = world.run("b:1", view);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->term, 2U);
    EXPECT_EQ(world.append(*first, 2, "a/2").status, append_status::conflict);
    EXPECT_EQ(world.append(*second, 2, "b/1").status, append_status::committed);
}

TEST(FencedJournal, OutcomeOfAWriteWithoutAResponseIsReadBack)
{
    election_world world;
    const auto first = world.run("a:1", {});
    world.store.loseAnswers = 1;
    EXPECT_EQ(world.append(*first, 1, "a/1").status, append_status::committed);
    EXPECT_EQ(world.append(*first, 1, "a/other").status, append_status::conflict);
}

TEST(PrefixWatcher, GapInTheHistoryIsFilledByListingAgain)
{
    election_world world;
    world.store.put("p/1", "one");
    std::map<std::string, std::string> seen;
    store::watcher_events events;
    events.written = [&](const store::stored_item &item) { seen[item.key] = item.value; };
    events.removed = [&](const std::string &key) { seen.erase(key); };
    store::watcher_settings rules;
    rules.retryDelay = kernel::milliseconds(1);
    int step = 0;
    store::prefix_watcher *running = nullptr;
    world.store.beforeWatch = [&] {
        // At the first watch the history is compacted; meanwhile one key was removed and one added.
        if (step == 0) {
            world.store.erase("p/1");
            world.store.put("p/2", "two");
            world.store.compactHistory();
        }
        if (++step == 3)
            running->stop();
    };
    store::prefix_watcher watcher(
        world.store.api(), [] { return kernel::fromMillis(1); }, "p/", rules, events);
    running = &watcher;
    tests::runToEnd(world.context,
                    [](store::prefix_watcher &target) -> task<void> { co_await target.run(); }(watcher));
    EXPECT_EQ(seen, (std::map<std::string, std::string>{{"p/2", "two"}}));
}

//! Guards against a late reaction after an outage of the store: it does not respond for seconds, the owner's
//! lease expires, and when the store returns, every watcher still waits for the response to a long watch
//! that was lost.
TEST(PrefixWatcher, AfterACallWithoutAResponseItUsesShortWatchesUntilTheStoreResponds)
{
    election_world world;
    store::watcher_settings rules;
    rules.retryDelay = kernel::milliseconds(1);
    store::prefix_watcher *running = nullptr;
    world.store.beforeWatch = [&] {
        const std::size_t number = world.store.watchTimeouts.size();
        world.store.down = number == 2 || number == 3;
        if (number == 5)
            running->stop();
    };
    store::prefix_watcher watcher(world.store.api(), [] { return kernel::fromMillis(1); }, "p/", rules, {});
    running = &watcher;
    tests::runToEnd(world.context,
                    [](store::prefix_watcher &target) -> task<void> { co_await target.run(); }(watcher));
    const std::vector<kernel::milliseconds> expected{rules.watchTimeout, rules.watchTimeout,
                                                     kernel::milliseconds(0), rules.probeTimeout,
                                                     rules.watchTimeout};
    EXPECT_EQ(world.store.watchTimeouts, expected);
}

//! Guards against short watches that never succeed: a host with a slow link reconnects to the store and has
//! to read several large configurations, which takes longer than a short watch.
TEST(PrefixWatcher, AfterManyCallsWithoutAResponseItUsesFullWatchesAgain)
{
    const store::watcher_settings rules;
    EXPECT_EQ(store::nextWatchTimeout(rules, 1), kernel::milliseconds(0));
    for (int failures = 2; failures < 100; ++failures)
        EXPECT_GE(store::nextWatchTimeout(rules, failures), store::nextWatchTimeout(rules, failures - 1));
    EXPECT_EQ(store::nextWatchTimeout(rules, 4), rules.watchTimeout);
    EXPECT_EQ(store::nextWatchTimeout(rules, 99), rules.watchTimeout);
}

} // namespace
