#include "jobs/interference_codec.h"

#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

//! Hand-over of learned interference to the next owner. Without it, each new owner started with the same
//! prior for all pairs and learned the bad ones at the cost of callers.
namespace {

using namespace almond;

const jobs::learning_rules rules;

TEST(InterferenceCodec, TheNextOwnerStartsWithTheLearnedPairs)
{
    jobs::interference_model learned;
    tests::setSlackPerCore(learned, "frail", "heavy", 0.25);
    tests::setSlackPerCore(learned, "frail", "light", 0.0);
    jobs::interference_model next;
    // Image numbers differ between owners.
    jobs::numberOf(next, "other");
    EXPECT_GT(jobs::inheritPairs(next, jobs::encodePairs(learned)), 0U);
    const jobs::image_number frail = jobs::numberOf(next, "frail");
    EXPECT_DOUBLE_EQ(jobs::slackPerCore(next, rules, frail, jobs::numberOf(next, "heavy")), 0.25);
    EXPECT_DOUBLE_EQ(jobs::slackPerCore(next, rules, frail, jobs::numberOf(next, "light")), 0.0);
    EXPECT_DOUBLE_EQ(jobs::slackPerCore(next, rules, frail, jobs::numberOf(next, "unknown")),
                     rules.priorSlackPerCore);
}

TEST(InterferenceCodec, SamplesOverrideInheritedPairs)
{
    jobs::interference_model model;
    jobs::inheritPairs(model, {{"frail", {{"heavy", 0.0}}}});
    const jobs::image_number frail = jobs::numberOf(model, "frail");
    const jobs::image_number heavy = jobs::numberOf(model, "heavy");
    std::int64_t now = 0;
    for (int sample = 0; sample < 400; ++sample, now += 50) {
        const double cores = sample % 3 * 4.0;
        jobs::addSample(model, rules, "aa", frail, 2.4 - 0.2 * cores, {{heavy, cores}},
                        kernel::fromMillis(now));
    }
    jobs::refreshModel(model, rules, {});
    EXPECT_NEAR(jobs::slackPerCore(model, rules, frail, heavy), 0.2, 0.04);
}

TEST(InterferenceCodec, MalformedRowsAreSkipped)
{
    jobs::interference_model model;
    EXPECT_EQ(jobs::inheritPairs(model, nlohmann::json::parse("{broken", nullptr, false)), 0U);
    const auto pairs = nlohmann::json::parse(R"({"a": 7, "b": {"c": "x", "d": -1, "e": 0.1}})");
    EXPECT_EQ(jobs::inheritPairs(model, pairs), 1U);
}

} // namespace
