#include "tests/unit/interference_fixture.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

//! What is learned of tasks that disturb one another, and when it is acted on.
namespace {

using namespace almond;

using tests::fillingJob;
using tests::neighbours;
using tests::servingJob;

//! Load pattern: a serving task whose own load strays by half, beside a changing mix of two images.
TEST(Interference, PairsAreToldApartDespiteTheLoadOfTheServingTask)
{
    jobs::interference_model model;
    const jobs::learning_rules rules;
    const jobs::image_number frail = jobs::numberOf(model, "frail");
    const jobs::image_number heavyImage = jobs::numberOf(model, "heavy");
    const jobs::image_number lightImage = jobs::numberOf(model, "light");
    std::mt19937 random(7);
    std::uniform_real_distribution<double> cores(0.0, 8.0);
    std::normal_distribution<double> load(0.0, 0.5);
    std::int64_t now = 0;
    for (int sample = 0; sample < 2000; ++sample, now += 50) {
        const double heavy = cores(random);
        const double light = cores(random);
        const double slack = 2.4 - 0.2 * heavy - 0.02 * light + load(random);
        jobs::addSample(model, rules, servingJob, frail, slack, {{heavyImage, heavy}, {lightImage, light}},
                        kernel::fromMillis(now));
        if (sample % 200 == 0)
            jobs::refreshModel(model, rules, {});
    }
    jobs::refreshModel(model, rules, {});
    EXPECT_NEAR(jobs::slackPerCore(model, rules, frail, heavyImage), 0.2, 0.04);
    EXPECT_NEAR(jobs::slackPerCore(model, rules, frail, lightImage), 0.02, 0.03);
    EXPECT_NEAR(
        jobs::baselineSlack(model, rules, servingJob, kernel::fromMillis(now), kernel::milliseconds(0)), 2.4,
        0.2);
}

//! Load pattern: the users of a serving job come and go in waves, and all of its tasks feel them together. A
//! fit that takes each task by itself mistakes the wave for its neighbours.
TEST(Interference, PairsAreToldApartWithinSecondsWhileTheLoadOfAJobSwings)
{
    jobs::interference_model model;
    const jobs::learning_rules rules;
    const jobs::image_number frail = jobs::numberOf(model, "frail");
    const jobs::image_number heavyImage = jobs::numberOf(model, "heavy");
    const jobs::image_number lightImage = jobs::numberOf(model, "light");
    std::mt19937 random(11);
    std::uniform_real_distribution<double> cores(0.0, 6.0);
    std::normal_distribution<double> stray(0.0, 0.25);
    const auto freeAt
        = [](std::int64_t now) { return 2.5 + 1.1 * std::sin(static_cast<double>(now) / 3200.0); };
    constexpr std::int64_t endMs = 12'000;
    for (std::int64_t now = 0; now < endMs; now += 500) {
        for (int task = 0; task < 8; ++task) {
            const double heavy = cores(random);
            const double light = cores(random);
            const double slack = freeAt(now) - 0.2 * heavy + stray(random);
            jobs::addSample(model, rules, servingJob, frail, slack,
                            {{heavyImage, heavy}, {lightImage, light}}, kernel::fromMillis(now));
        }
        jobs::refreshModel(model, rules, {});
    }
    EXPECT_NEAR(jobs::slackPerCore(model, rules, frail, heavyImage), 0.2, 0.05);
    EXPECT_NEAR(jobs::slackPerCore(model, rules, frail, lightImage), 0.0, 0.04);
    const kernel::time_point now = kernel::fromMillis(endMs);
    EXPECT_NEAR(jobs::baselineSlack(model, rules, servingJob, now, kernel::milliseconds(0)), freeAt(endMs),
                0.5);
}

TEST(Interference, ALoadThatGrowsIsForeseen)
{
    jobs::interference_model model;
    const jobs::learning_rules rules;
    const jobs::image_number frail = jobs::numberOf(model, "frail");
    std::int64_t now = 0;
    for (; now < 4000; now += 100)
        jobs::addSample(model, rules, servingJob, frail, 3.5 - 0.3 * static_cast<double>(now) / 1000.0, {},
                        kernel::fromMillis(now));
    const double soon
        = jobs::baselineSlack(model, rules, servingJob, kernel::fromMillis(now), kernel::milliseconds(2000));
    EXPECT_NEAR(soon, 3.5 - 0.3 * 6.0, 0.3);
}

TEST(Interference, AnUnknownPairHasThePrior)
{
    jobs::interference_model model;
    const jobs::learning_rules rules;
    const jobs::image_number serving = jobs::numberOf(model, "a");
    EXPECT_DOUBLE_EQ(jobs::slackPerCore(model, rules, serving, jobs::numberOf(model, "b")),
                     rules.priorSlackPerCore);
}

//! Load pattern: several tasks that fill start at a worker between two figures of its serving tasks. The
//! figures don't show them yet.
TEST(Interference, TasksThatWereAssignedButNotSeenYetCount)
{
    neighbours world;
    jobs::apply(world.table, tests::started({servingJob, 0, 0, 0}, 1, "v@1"));
    jobs::apply(world.table, tests::started({fillingJob, 0, 0, 0}, 1, "v@1"));
    const auto views = jobs::servingViews(world.model, world.rules, world.table.loads.find("v@1")->second,
                                          world.capacity, world.pace, {});
    ASSERT_EQ(views.size(), 1U);
    EXPECT_NEAR(views.front().slack, world.rules.learning.priorBaselineSlack - 0.25 * 4.0, 1e-9);
}

//! Load pattern: short filling tasks that are gone before a serving task has been too slow for long. Slowing
//! them at the first sign kept them, and their room, for far longer.
TEST(Interference, AShortExcessSlowsNobody)
{
    neighbours world;
    EXPECT_TRUE(world.decide(1000, 80).empty());
    EXPECT_TRUE(world.decide(1500, 80).empty());
    EXPECT_TRUE(world.decide(2000, 30).empty());
    EXPECT_TRUE(world.decide(2500, 80).empty());
}

TEST(Interference, TheNeighbourThatCostsMostIsSlowedAndTheHarmlessOneIsNot)
{
    neighbours world;
    world.decide(1000, 60);
    const auto orders = world.decide(2300, 60);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().task.step, 0U);
    EXPECT_LT(orders.front().percent, 100);
}

TEST(Interference, EveryNeighbourIsHaltedBeforeTheHarmBoundEvenIfTheModelIsWrong)
{
    neighbours world;
    tests::setSlackPerCore(world.model, "frail", "heavy", 0.0);
    constexpr std::int64_t harmMs = 4000;
    constexpr std::int64_t lookMs = 500;
    std::int64_t haltedAt = 0;
    for (std::int64_t now = 1000; now < 1000 + harmMs && haltedAt == 0; now += lookMs) {
        if (world.decide(now, 200).size() == 2)
            haltedAt = now;
    }
    ASSERT_GT(haltedAt, 0);
    // The excess began up to a look and the age of a figure before it was first seen.
    EXPECT_LT(haltedAt - 1000 + lookMs + 500, harmMs);
    EXPECT_EQ(jobs::throttlePercent(world.pace, {fillingJob, 0, 0, 0}, 1), 0);
}

//! Load pattern: a neighbour is slowed late in an excess that another one causes. The halt before the harm
//! bound does not wait for the slowing to show.
TEST(Interference, TheHaltDoesNotWaitForAnEarlierChangeToShow)
{
    neighbours world;
    world.decide(1000, 200);
    world.decide(2100, 200);
    ASSERT_FALSE(world.decide(3200, 200).empty());
    world.decide(3400, 200);
    EXPECT_EQ(jobs::throttlePercent(world.pace, {fillingJob, 0, 0, 0}, 1), 0);
    EXPECT_EQ(jobs::throttlePercent(world.pace, {fillingJob, 0, 1, 0}, 1), 0);
}

//! Load pattern: tasks of a wide step begin beside a serving task whose users grow in number. Halted ones
//! held their whole step back until the users went; they are done sooner elsewhere.
TEST(Interference, ANeighbourThatHasJustBegunIsMovedAndTheHarmlessOneStays)
{
    neighbours world;
    world.session.acceptedRuns[{fillingJob, 0, 0, 0}] = {1, kernel::fromMillis(1500)};
    world.session.acceptedRuns[{fillingJob, 0, 1, 0}] = {1, kernel::fromMillis(1500)};
    world.decide(1000, 60);
    EXPECT_TRUE(world.decide(2300, 60).empty());
    ASSERT_EQ(world.moves.size(), 1U);
    EXPECT_EQ(world.moves.front().task.step, 0U);
}

TEST(Interference, ANeighbourThatIsNearlyDoneOrWasStartedOftenIsNotMoved)
{
    neighbours nearlyDone;
    nearlyDone.session.acceptedRuns[{fillingJob, 0, 0, 0}] = {1, kernel::fromMillis(200)};
    nearlyDone.decide(1000, 60);
    EXPECT_EQ(nearlyDone.decide(2300, 60).size(), 1U);
    EXPECT_TRUE(nearlyDone.moves.empty());
    neighbours startedOften;
    startedOften.running[1].run = startedOften.rules.maxRunsToMove;
    startedOften.session.acceptedRuns[{fillingJob, 0, 0, 0}]
        = {startedOften.running[1].run, kernel::fromMillis(1500)};
    startedOften.decide(1000, 60);
    EXPECT_EQ(startedOften.decide(2300, 60).size(), 1U);
    EXPECT_TRUE(startedOften.moves.empty());
}

TEST(Interference, AWorkerIsStrainedWhileAServingTaskStaysTooSlow)
{
    neighbours world;
    world.decide(1000, 60);
    EXPECT_FALSE(jobs::isBestEffortBlocked(world.pace, world.rules, kernel::fromMillis(1500)));
    world.decide(2300, 60);
    EXPECT_TRUE(jobs::isBestEffortBlocked(world.pace, world.rules, kernel::fromMillis(2300)));
    world.decide(2500, 20);
    EXPECT_FALSE(jobs::isBestEffortBlocked(world.pace, world.rules, kernel::fromMillis(2500)));
}

TEST(Interference, NeighboursAreQuickenedWhenThereIsSlackAgain)
{
    neighbours world;
    world.decide(1000, 200);
    world.decide(3400, 200);
    ASSERT_EQ(jobs::throttlePercent(world.pace, {fillingJob, 0, 1, 0}, 1), 0);
    world.decide(4100, 20);
    EXPECT_EQ(jobs::throttlePercent(world.pace, {fillingJob, 0, 1, 0}, 1), 100);
}

} // namespace
