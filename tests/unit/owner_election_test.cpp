#include "fleet/owner_election.h"
#include "store/fenced_journal.h"
#include "store/prefix_follower.h"
#include "tests/fakes/shared_store.h"
#include "tests/unit/loop.h"

#include <gtest/gtest.h>

//! Who may write: the election, the fence of the journal, and what a follower of keys sees.
namespace {

using namespace almond;
using kernel::task;
using store::append_status;

struct meeting
{
    boost::asio::io_context context;
    fakes::shared_store store;
    fleet::election_rules rules;

    std::optional<fleet::won_term> run(const std::string &address, const fleet::owner_view &view)
    {
        std::optional<fleet::won_term> won;
        tests::runToEnd(context,
                        [](meeting &self, std::string who, fleet::owner_view seen,
                           std::optional<fleet::won_term> &result) -> task<void> {
                            result = co_await fleet::tryAcquireOwnership(self.store.api(), who, seen,
                                                                         self.rules, kernel::time_point{});
                        }(*this, address, view, won));
        return won;
    }

    store::store_status clear(const fleet::owner_view &view)
    {
        store::store_status status = store::store_status::unavailable;
        tests::runToEnd(context,
                        [](meeting &self, fleet::owner_view seen, store::store_status &out) -> task<void> {
                            out = co_await fleet::clearOwnership(self.store.api(), std::move(seen));
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
                        [](meeting &self, store::journal_entry what, store::journal_fence held,
                           store::append_result &out) -> task<void> {
                            store::append_limits limits;
                            limits.retryDelay = kernel::milliseconds(1);
                            out = co_await store::appendFenced(self.store.api(), "j", std::move(what),
                                                               std::move(held), limits);
                        }(*this, entry, fence, result));
        return result;
    }
};

TEST(OwnerElection, OnlyOneOfTwoCandidatesWinsATerm)
{
    meeting all;
    const fleet::owner_view view;
    const auto first = all.run("a:1", view);
    ASSERT_TRUE(first);
    EXPECT_FALSE(all.run("b:1", view));
    EXPECT_EQ(first->term, 1U);
}

//! Pattern: all processes are killed and start again at once, long before the lease of the owner ends.
TEST(OwnerElection, AnOwnerThatStartedAgainClearsTheOfficeOfItsEarlierLife)
{
    meeting all;
    const auto first = all.run("a:1", {});
    ASSERT_TRUE(first);
    fleet::owner_view view{"a:1", 1, first->ownerRevision, all.store.revisionOf(fleet::election_key::term)};
    EXPECT_TRUE(fleet::isPreviousRun(view, "a:1"));
    EXPECT_FALSE(fleet::isPreviousRun(view, "b:1"));
    EXPECT_EQ(all.clear(view), store::store_status::ok);
    view.address.clear();
    view.ownerRevision = 0;
    const auto second = all.run("b:1", view);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->term, 2U);
}

TEST(OwnerElection, AnOldViewDoesNotClearTheOfficeOfALaterOwner)
{
    meeting all;
    const auto first = all.run("a:1", {});
    ASSERT_TRUE(first);
    const fleet::owner_view old{"a:1", 1, first->ownerRevision, 0};
    all.store.erase(fleet::election_key::owner);
    fleet::owner_view view;
    view.term = 1;
    view.termRevision = all.store.revisionOf(fleet::election_key::term);
    ASSERT_TRUE(all.run("b:1", view));
    EXPECT_EQ(all.clear(old), store::store_status::conflict);
    EXPECT_GT(all.store.revisionOf(fleet::election_key::owner), first->ownerRevision);
}

TEST(OwnerElection, AStrongerHostComesFirst)
{
    const fleet::election_rules rules;
    EXPECT_LT(fleet::candidacyDelay(rules, 0.5, 1.0), fleet::candidacyDelay(rules, 0.12, 0.5));
}

TEST(FencedJournal, AnOwnerThatWasReplacedWritesNothingHoweverLate)
{
    meeting all;
    const auto first = all.run("a:1", {});
    ASSERT_EQ(all.append(*first, 1, "a/1").status, append_status::committed);
    all.store.erase(fleet::election_key::owner);
    fleet::owner_view view;
    view.term = 1;
    view.termRevision = all.store.revisionOf(fleet::election_key::term);
    const auto second = all.run("b:1", view);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->term, 2U);
    EXPECT_EQ(all.append(*first, 2, "a/2").status, append_status::taken);
    EXPECT_EQ(all.append(*second, 2, "b/1").status, append_status::committed);
}

TEST(FencedJournal, ALostAnswerIsSettledByReadingBack)
{
    meeting all;
    const auto first = all.run("a:1", {});
    all.store.loseAnswers = 1;
    EXPECT_EQ(all.append(*first, 1, "a/1").status, append_status::committed);
    EXPECT_EQ(all.append(*first, 1, "a/other").status, append_status::taken);
}

TEST(PrefixFollower, AGapInTheHistoryIsFilledByListingAgain)
{
    meeting all;
    all.store.put("p/1", "one");
    std::map<std::string, std::string> seen;
    store::follow_events events;
    events.written = [&](const store::stored_item &item) { seen[item.key] = item.value; };
    events.removed = [&](const std::string &key) { seen.erase(key); };
    store::follow_rules rules;
    rules.retryPause = kernel::milliseconds(1);
    int step = 0;
    store::prefix_follower *running = nullptr;
    all.store.beforeWatch = [&] {
        // The first watch finds its history gone, with a key removed and one added meanwhile.
        if (step == 0) {
            all.store.erase("p/1");
            all.store.put("p/2", "two");
            all.store.forgetHistory();
        }
        if (++step == 3)
            running->stop();
    };
    store::prefix_follower follower(
        all.store.api(), [] { return kernel::fromMillis(1); }, "p/", rules, events);
    running = &follower;
    tests::runToEnd(all.context,
                    [](store::prefix_follower &target) -> task<void> { co_await target.run(); }(follower));
    EXPECT_EQ(seen, (std::map<std::string, std::string>{{"p/2", "two"}}));
}

//! Pattern: the store goes silent for seconds, the owner's lease ends meanwhile, and the store returns while
//! every follower still waits for the answer to a long watch that was lost.
TEST(PrefixFollower, AfterACallWithoutAnAnswerItAsksShortlyUntilTheStoreAnswers)
{
    meeting all;
    store::follow_rules rules;
    rules.retryPause = kernel::milliseconds(1);
    store::prefix_follower *running = nullptr;
    all.store.beforeWatch = [&] {
        const std::size_t number = all.store.watchWaits.size();
        all.store.down = number == 2 || number == 3;
        if (number == 5)
            running->stop();
    };
    store::prefix_follower follower(all.store.api(), [] { return kernel::fromMillis(1); }, "p/", rules, {});
    running = &follower;
    tests::runToEnd(all.context,
                    [](store::prefix_follower &target) -> task<void> { co_await target.run(); }(follower));
    const std::vector<kernel::milliseconds> expected{
        rules.watchTime, rules.watchTime, kernel::milliseconds(0), rules.probeTime, rules.watchTime};
    EXPECT_EQ(all.store.watchWaits, expected);
}

//! Pattern: a host with a slow link comes back to the store and has to read several large configurations.
//! Calls that always ended soon never got them.
TEST(PrefixFollower, AfterManyCallsWithoutAnAnswerItWaitsAsLongAsEver)
{
    const store::follow_rules rules;
    EXPECT_EQ(store::nextWatchTime(rules, 1), kernel::milliseconds(0));
    for (int failures = 2; failures < 100; ++failures)
        EXPECT_GE(store::nextWatchTime(rules, failures), store::nextWatchTime(rules, failures - 1));
    EXPECT_EQ(store::nextWatchTime(rules, 4), rules.watchTime);
    EXPECT_EQ(store::nextWatchTime(rules, 99), rules.watchTime);
}

} // namespace
