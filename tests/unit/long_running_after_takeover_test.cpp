#include "fleet/former_owners.h"
#include "fleet/owner_election.h"
#include "tests/unit/job_fixtures.h"
#include "tests/unit/loop.h"

#include <gtest/gtest.h>

//! Long-running tasks whose worker is lost together with the owner.
namespace {

using namespace almond;
using kernel::milliseconds;
using kernel::task;

constexpr const char *formerAddress = "127.0.0.1:21995";
constexpr const char *absentAddress = "127.0.0.1:21996";

//! Guards against long-running tasks that are down too long: a worker and the owner are killed at once, and
//! the successor treats the runs on the worker as ended so late that their tasks can't run again within the
//! users' limit, however early it became the owner (LOST on tichomer-ba).
TEST(LongRunningAfterTakeover, RunsOfAWorkerLostWithTheOwnerEndInTime)
{
    constexpr milliseconds limit{6000 + 3000};
    const fleet::election_rules election;
    const fleet::renewal_query_rules rules;
    const kernel::time_point killed = tests::at(100'000);
    const kernel::time_point termStart = killed + election.lease;
    // The killed process has restarted and responds to the second query.
    const kernel::time_point confirmed = termStart + rules.responseTimeout + rules.retryDelay;
    const milliseconds runsEnded = jobs::inheritedLeaseEndAfter(jobs::session_rules{}, confirmed) - killed;
    EXPECT_LT(runsEnded.count(), limit.count());
}

//! Without a confirmation of its predecessors a successor waits for the longest leases that they may grant.
TEST(LongRunningAfterTakeover, WithoutAResponseTheLongestRenewalsAreAwaited)
{
    const jobs::session_rules rules;
    const milliseconds longest(rules.lease.count() * 100 / (100 - rules.clockDriftPercent));
    EXPECT_GE(jobs::inheritedLeaseEnd(rules, tests::at(0)),
              tests::at(0) + fleet::election_rules{}.detachedLimit + longest);
}

struct renewal_query
{
    boost::asio::io_context context;
    wire::peer_link former{context};
    wire::peer_link successor{context};
    int queries = 0;

    bool ask(std::vector<std::string> owners, int maxQueries)
    {
        bool stopped = false;
        tests::runToEnd(
            context,
            [](renewal_query &world, std::vector<std::string> whom, int most, bool &result) -> task<void> {
                fleet::renewal_query_rules rules;
                rules.responseTimeout = milliseconds(100);
                rules.retryDelay = milliseconds(5);
                const auto keepWaiting = [&world, most] { return ++world.queries <= most; };
                result = co_await fleet::awaitFormerOwners(&world.successor, std::move(whom), 3, keepWaiting,
                                                           rules);
            }(*this, std::move(owners), maxQueries, stopped));
        return stopped;
    }
};

TEST(LongRunningAfterTakeover, FormerOwnerIsQueriedUntilItRenewsNothingMore)
{
    renewal_query query;
    int responses = 0;
    std::uint64_t laterTerm = 0;
    fleet::provideRenewalQuery(query.former, [&](std::uint64_t term) {
        laterTerm = term;
        return ++responses < 3;
    });
    query.former.listen(formerAddress);
    EXPECT_TRUE(query.ask({formerAddress}, 100));
    EXPECT_EQ(responses, 3);
    EXPECT_EQ(laterTerm, 3U);
    query.former.stop();
}

TEST(LongRunningAfterTakeover, FormerOwnerWithoutAResponseIsNotTreatedAsStopped)
{
    renewal_query query;
    EXPECT_FALSE(query.ask({absentAddress}, 3));
}

//! An owner before the newest one counts as a former owner until the newest has held ownership so long that
//! the earlier one can't renew any more.
TEST(LongRunningAfterTakeover, EarlierOwnersAreForgottenOnlyAfterTheDetachedLimit)
{
    const fleet::election_rules rules;
    fleet::owner_view view;
    fleet::applyOwnerKey(view, fleet::election_key::term, R"({"term":3,"holders":["a:1","b:1","c:1"]})", 7,
                         tests::at(1000));
    EXPECT_EQ(view.term, 3U);
    const std::vector<std::string> all{"a:1", "b:1"};
    EXPECT_EQ(fleet::formerOwners(view, "c:1", rules, tests::at(1000) + rules.detachedLimit / 2), all);
    const std::vector<std::string> newest{"c:1"};
    EXPECT_EQ(fleet::formerOwners(view, "d:1", rules, tests::at(1000) + rules.detachedLimit), newest);
    EXPECT_TRUE(fleet::formerOwners(view, "c:1", rules, tests::at(1000) + rules.detachedLimit).empty());
}

} // namespace
