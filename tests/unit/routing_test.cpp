#include "routing/outcome.h"
#include "routing/routing_state.h"

#include "tests/unit/draw.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

//! Which minion gets a request, and what is learned from the end of an attempt.
namespace {

using namespace almond;
using namespace almond::routing;

routing_state stateWith(std::size_t count, std::int64_t slots)
{
    std::vector<listed_minion> listed;
    for (std::size_t number = 0; number < count; ++number) {
        const std::string id = "minion-" + std::to_string(number);
        listed.push_back({id, "127.0.0.1:" + std::to_string(7000 + number), "zone", false, slots});
    }
    routing_state state;
    updateMinions(state, listed);
    return state;
}

const time_point start = kernel::fromMillis(1'000'000);

void fail(minion_state &minion, const routing_rules &rules)
{
    recordSend(minion);
    recordAttempt(minion, rules, {attempt_result::failed, milliseconds(1), std::nullopt}, start);
}

routing_policy anyPolicy()
{
    return *rc::gen::element(routing_policy::random, routing_policy::roundRobin, routing_policy::twoChoices,
                             routing_policy::leastLoaded);
}

TEST(Routing, NoPolicyPicksAFullOrLeavingMinion)
{
    EXPECT_TRUE(rc::check([] {
        routing_state state = stateWith(6, 2);
        routing_rules rules;
        rules.policy = anyPolicy();
        time_point now = start;
        for (int step = 0; step < 60; ++step) {
            now += milliseconds(tests::draw(0, 50));
            const auto index = chooseMinion(state, rules, {}, now);
            const bool anyFree
                = std::any_of(state.minions.begin(), state.minions.end(), [&](const minion_state &item) {
                      return !item.leaving && now >= item.leavingUntil && now >= item.pausedUntil
                          && item.inFlight < item.slots;
                  });
            RC_ASSERT(index.has_value() == anyFree);
            if (!index)
                break;
            minion_state &chosen = state.minions[*index];
            RC_ASSERT(!chosen.leaving && now >= chosen.leavingUntil && chosen.inFlight < chosen.slots);
            recordSend(chosen);
            if (tests::draw(0, 2) == 0)
                continue;
            const auto result = *rc::gen::element(attempt_result::answered, attempt_result::refusedSlots,
                                                  attempt_result::refusedLeaving, attempt_result::failed);
            recordAttempt(chosen, rules, {result, milliseconds(5), std::nullopt}, now);
        }
    }));
}

TEST(Routing, FailingMinionIsLeftOutAndComesBackByOneRequest)
{
    routing_state state = stateWith(2, 8);
    const routing_rules rules;
    for (int failure = 0; failure < rules.ejectAfter; ++failure)
        fail(state.minions[0], rules);
    for (int number = 0; number < 20; ++number)
        EXPECT_EQ(chooseMinion(state, rules, {}, start), 1U);
    const time_point later = start + rules.firstEjection;
    state.minions[1].inFlight = 1;
    EXPECT_EQ(chooseMinion(state, rules, {}, later), 0U);
    state.minions[0].inFlight = 1;
    EXPECT_EQ(chooseMinion(state, rules, {}, later), 1U);
    recordAttempt(state.minions[0], rules, {attempt_result::answered, milliseconds(1), std::nullopt}, later);
    EXPECT_EQ(state.minions[0].ejections, 0);
}

TEST(Routing, AllMinionsEjectedStillLeavesAChoice)
{
    routing_state state = stateWith(2, 8);
    const routing_rules rules;
    for (minion_state &minion : state.minions) {
        for (int failure = 0; failure < rules.ejectAfter; ++failure)
            fail(minion, rules);
    }
    EXPECT_TRUE(chooseMinion(state, rules, {}, start).has_value());
}

TEST(Routing, RetriesStayWithinTheirShare)
{
    EXPECT_TRUE(rc::check([] {
        routing_state state;
        const routing_rules rules;
        const int requests = tests::draw(1, 5000);
        int retries = 0;
        for (int number = 0; number < requests; ++number) {
            earnRetry(state, rules);
            retries += spendRetry(state) ? 1 : 0;
        }
        RC_ASSERT(retries <= requests * rules.retryShare + rules.retryBurst);
    }));
}

TEST(Routing, MinionThatIsNoLongerListedStaysWhileItHasRequests)
{
    routing_state state = stateWith(2, 8);
    state.minions[0].inFlight = 1;
    updateMinions(state, {});
    ASSERT_EQ(state.minions.size(), 1U);
    EXPECT_TRUE(state.minions.front().leaving);
    EXPECT_FALSE(chooseMinion(state, {}, {}, start).has_value());
}

TEST(Routing, FullMinionIsAskedAgainByOneRequestAfterItsPause)
{
    routing_state state = stateWith(1, 8);
    const routing_rules rules;
    recordSend(state.minions[0]);
    recordAttempt(state.minions[0], rules, {attempt_result::refusedSlots, milliseconds(1), 8}, start);
    EXPECT_FALSE(chooseMinion(state, rules, {}, start).has_value());
    const time_point later = start + rules.refusalPause;
    EXPECT_TRUE(chooseMinion(state, rules, {}, later).has_value());
    recordSend(state.minions[0]);
    EXPECT_FALSE(chooseMinion(state, rules, {}, later).has_value());
}

TEST(Outcome, MethodAndHeaderDecideWhetherARequestIsIdempotent)
{
    http::request get(http::verb::get, "/", 11);
    http::request post(http::verb::post, "/", 11);
    EXPECT_TRUE(isIdempotent(get));
    EXPECT_FALSE(isIdempotent(post));
    get.set("Almond-Idempotent", "false");
    post.set("Almond-Idempotent", "true");
    EXPECT_FALSE(isIdempotent(get));
    EXPECT_TRUE(isIdempotent(post));
}

} // namespace
