#include "tests/unit/interference_fixture.h"

#include <gtest/gtest.h>

//! Target misses that are interrupted by noisy measurements.
namespace {

using namespace almond;
using tests::interference_fixture;

//! A serving task is slightly above its target latency for seconds, but every third measurement is noisy and
//! meets the target. Its neighbours must be suspended nevertheless.
TEST(MixedSlack, NoisyMeasurementsDoNotDelaySuspensionBeyondTheHarmBound)
{
    interference_fixture fixture;
    tests::setSlackPerCore(fixture.model, "frail", "heavy", 0.0);
    constexpr std::int64_t harmMs = 4000;
    constexpr std::int64_t pollMs = 500;
    std::int64_t suspendedAt = 0;
    int polls = 0;
    for (std::int64_t now = 1000; now < 1000 + harmMs && suspendedAt == 0; now += pollMs) {
        const std::int64_t tailMs = polls++ % 3 == 2 ? 46 : 55;
        if (fixture.decide(now, tailMs).size() == 2)
            suspendedAt = now;
    }
    ASSERT_GT(suspendedAt, 0);
    EXPECT_LT(suspendedAt - 1000 + pollMs + 500, harmMs);
}

} // namespace
