#include "routing/outcome.h"
#include "routing/routing_state.h"

#include "tests/unit/draw.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

//! The choice of a minion for a request, and the effect of an attempt on the state of its minion.
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

void recordFailedAttempt(minion_state &minion, const routing_settings &settings)
{
    recordSend(minion);
    recordAttempt(minion, settings, {attempt_result::failed, milliseconds(1), std::nullopt}, start);
}

routing_policy anyPolicy()
{
    return *rc::gen::element(routing_policy::random, routing_policy::roundRobin, routing_policy::twoChoices,
                             routing_policy::leastLoaded);
}

//! Guards against requests to a minion that must refuse them, and against requests that wait although a
//! minion is free, for random sequences of requests and attempt results.
TEST(Routing, NoPolicyChoosesAFullOrLeavingMinion)
{
    EXPECT_TRUE(rc::check([] {
        routing_state state = stateWith(6, 2);
        routing_settings settings;
        settings.policy = anyPolicy();
        time_point now = start;
        for (int step = 0; step < 60; ++step) {
            now += milliseconds(tests::draw(0, 50));
            const auto index = chooseMinion(state, settings, {}, now);
            const bool anyFree
                = std::any_of(state.minions.begin(), state.minions.end(), [&](const minion_state &item) {
                      return !item.leaving && now >= item.leavingUntil && now >= item.backoffUntil
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
            const auto result = *rc::gen::element(attempt_result::answered, attempt_result::refusedFull,
                                                  attempt_result::refusedLeaving, attempt_result::failed);
            recordAttempt(chosen, settings, {result, milliseconds(5), std::nullopt}, now);
        }
    }));
}

//! A failing minion must get no requests, and after its ejection only one at a time until it answers one.
TEST(Routing, EjectedMinionReturnsByOneProbeRequest)
{
    routing_state state = stateWith(2, 8);
    const routing_settings settings;
    for (int failure = 0; failure < settings.ejectionThreshold; ++failure)
        recordFailedAttempt(state.minions[0], settings);
    for (int number = 0; number < 20; ++number)
        EXPECT_EQ(chooseMinion(state, settings, {}, start), 1U);
    const time_point later = start + settings.initialEjection;
    state.minions[1].inFlight = 1;
    EXPECT_EQ(chooseMinion(state, settings, {}, later), 0U);
    state.minions[0].inFlight = 1;
    EXPECT_EQ(chooseMinion(state, settings, {}, later), 1U);
    recordAttempt(state.minions[0], settings, {attempt_result::answered, milliseconds(1), std::nullopt},
                  later);
    EXPECT_EQ(state.minions[0].ejections, 0);
}

TEST(Routing, EjectedMinionIsChosenIfAllAreEjected)
{
    routing_state state = stateWith(2, 8);
    const routing_settings settings;
    for (minion_state &minion : state.minions) {
        for (int failure = 0; failure < settings.ejectionThreshold; ++failure)
            recordFailedAttempt(minion, settings);
    }
    EXPECT_TRUE(chooseMinion(state, settings, {}, start).has_value());
}

//! Guards against retries that multiply the load on minions that already fail.
TEST(Routing, RetriesStayWithinTheBudget)
{
    EXPECT_TRUE(rc::check([] {
        routing_state state;
        const routing_settings settings;
        const int requests = tests::draw(1, 5000);
        int retries = 0;
        for (int number = 0; number < requests; ++number) {
            addRetryTokens(state, settings);
            retries += takeRetryToken(state) ? 1 : 0;
        }
        RC_ASSERT(retries <= requests * settings.retryRatio + settings.maximumRetryTokens);
    }));
}

TEST(Routing, UnlistedMinionRemainsWhileItHasRequestsInFlight)
{
    routing_state state = stateWith(2, 8);
    state.minions[0].inFlight = 1;
    updateMinions(state, {});
    ASSERT_EQ(state.minions.size(), 1U);
    EXPECT_TRUE(state.minions.front().leaving);
    EXPECT_FALSE(chooseMinion(state, {}, {}, start).has_value());
}

//! The end of a request was counted for the state that had replaced the one it was sent with: the minion
//! seemed to have fewer than no requests, got more than it has slots for, and was never forgotten.
TEST(Routing, RequestsInFlightAreCountedAtTheirAddressWhileTheMinionMoves)
{
    routing_state state;
    const listed_minion first{"minion-0", "127.0.0.1:7000", "zone", false, 1};
    const listed_minion second{"minion-0", "127.0.0.1:7001", "zone", false, 1};
    updateMinions(state, {first});
    recordSend(state.minions[0]);
    updateMinions(state, {second});
    updateMinions(state, {first});
    ASSERT_EQ(state.minions.size(), 1U);
    EXPECT_EQ(state.minions[0].address, first.address);
    EXPECT_EQ(state.minions[0].inFlight, 1);
    EXPECT_FALSE(chooseMinion(state, {}, {}, start).has_value());
    recordAttempt(state.minions[0], {}, {attempt_result::answered, milliseconds(1), std::nullopt}, start);
    EXPECT_EQ(state.minions[0].inFlight, 0);
    updateMinions(state, {});
    EXPECT_TRUE(state.minions.empty());
}

//! A minion starts anew at another address; the requests that the earlier one has are not its own.
TEST(Routing, MinionAtANewAddressStartsWithoutRequests)
{
    routing_state state = stateWith(1, 1);
    recordSend(state.minions[0]);
    updateMinions(state, {{"minion-0", "127.0.0.1:7001", "zone", false, 1}});
    const auto chosen = chooseMinion(state, {}, {}, start);
    ASSERT_TRUE(chosen.has_value());
    EXPECT_EQ(state.minions[*chosen].address, "127.0.0.1:7001");
    EXPECT_EQ(state.minions[*chosen].inFlight, 0);
}

TEST(Routing, FullMinionGetsOneProbeRequestAfterItsBackoff)
{
    routing_state state = stateWith(1, 8);
    const routing_settings settings;
    recordSend(state.minions[0]);
    recordAttempt(state.minions[0], settings, {attempt_result::refusedFull, milliseconds(1), 8}, start);
    EXPECT_FALSE(chooseMinion(state, settings, {}, start).has_value());
    const time_point later = start + settings.refusalBackoff;
    EXPECT_TRUE(chooseMinion(state, settings, {}, later).has_value());
    recordSend(state.minions[0]);
    EXPECT_FALSE(chooseMinion(state, settings, {}, later).has_value());
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
