#include "jobs/interference.h"
#include "tests/unit/draw.h"
#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

#include <random>

//! What is learned of tasks that disturb one another, and when it is acted on.
namespace {

using namespace almond;

constexpr const char *servingJob = "00000000000000aa";
constexpr const char *fillingJob = "00000000000000ab";
constexpr std::int64_t targetMs = 50;

struct neighbours
{
    jobs::ledger book;
    jobs::interference_model model;
    jobs::interference_rules rules;
    jobs::pace_state pace;
    jobs::resources capacity{32'000, 128'000, 0};
    std::vector<jobs::running_report> running;

    neighbours()
    {
        auto serving = tests::step(1, 6000);
        serving.lasting = true;
        serving.image = "frail";
        serving.tailTarget = kernel::milliseconds(targetMs);
        jobs::addJob(book, tests::makeJob(servingJob, {serving}));
        auto heavy = tests::step(1, 4000);
        heavy.fills = true;
        heavy.image = "heavy";
        auto light = heavy;
        light.image = "light";
        jobs::addJob(book, tests::makeJob(fillingJob, {heavy, light}));
        running.push_back({{servingJob, 0, 0, 0}, 1, "", 100, 20});
        running.push_back({{fillingJob, 0, 0, 0}, 1, "", 50, 4000});
        running.push_back({{fillingJob, 0, 1, 0}, 1, "", 50, 4000});
        model.slackPerCore[{"frail", "heavy"}] = 0.25;
        model.slackPerCore[{"frail", "light"}] = 0.001;
    }

    std::vector<jobs::pace_order> decide(std::int64_t now, std::int64_t tailMs)
    {
        running[0].figure = tailMs;
        return jobs::decidePaces(pace, model, rules, book, capacity, running, kernel::fromMillis(now));
    }
};

//! Load pattern: serving tasks whose own load swings by half, beside a changing mix of two images.
TEST(Interference, PairsAreToldApartDespiteTheLoadOfTheServingTask)
{
    jobs::interference_model model;
    const jobs::learning_rules rules;
    std::mt19937 random(7);
    std::uniform_real_distribution<double> cores(0.0, 8.0);
    std::normal_distribution<double> load(0.0, 0.5);
    for (int sample = 0; sample < 2000; ++sample) {
        const double heavy = cores(random);
        const double light = cores(random);
        const double slack = 2.4 - 0.2 * heavy - 0.02 * light + load(random);
        jobs::addSample(model, "frail", slack, {{"heavy", heavy}, {"light", light}});
        if (sample % 200 == 0)
            jobs::refreshModel(model, rules);
    }
    jobs::refreshModel(model, rules);
    EXPECT_NEAR(jobs::slackPerCore(model, rules, "frail", "heavy"), 0.2, 0.04);
    EXPECT_NEAR(jobs::slackPerCore(model, rules, "frail", "light"), 0.02, 0.03);
    EXPECT_NEAR(jobs::freeSlack(model, rules, "frail"), 2.4, 0.2);
}

TEST(Interference, AnUnknownPairHasThePrior)
{
    const jobs::interference_model model;
    const jobs::learning_rules rules;
    EXPECT_DOUBLE_EQ(jobs::slackPerCore(model, rules, "a", "b"), rules.priorSlackPerCore);
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
    world.model.slackPerCore[{"frail", "heavy"}] = 0.0;
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
    EXPECT_EQ(jobs::pacePercent(world.pace, {fillingJob, 0, 0, 0}, 1), 0);
}

TEST(Interference, NeighboursAreQuickenedWhenThereIsSlackAgain)
{
    neighbours world;
    world.decide(1000, 200);
    world.decide(3200, 200);
    ASSERT_EQ(jobs::pacePercent(world.pace, {fillingJob, 0, 1, 0}, 1), 0);
    world.decide(4000, 20);
    EXPECT_EQ(jobs::pacePercent(world.pace, {fillingJob, 0, 1, 0}, 1), 100);
}

} // namespace
