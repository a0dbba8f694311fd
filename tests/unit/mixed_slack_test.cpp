#include "tests/unit/interference_fixture.h"

#include <gtest/gtest.h>

//! Excesses that rough figures hide now and then.
namespace {

using namespace almond;
using tests::neighbours;

//! Load pattern: a serving task a little over its target for seconds, of which a rough figure now and then
//! shows just enough slack.
TEST(StrayFigures, AnExcessWithStrayFiguresIsHaltedBeforeTheHarmBoundToo)
{
    neighbours world;
    tests::setSlackPerCore(world.model, "frail", "heavy", 0.0);
    constexpr std::int64_t harmMs = 4000;
    constexpr std::int64_t lookMs = 500;
    std::int64_t haltedAt = 0;
    int look = 0;
    for (std::int64_t now = 1000; now < 1000 + harmMs && haltedAt == 0; now += lookMs) {
        const std::int64_t tailMs = look++ % 3 == 2 ? 46 : 55;
        if (world.decide(now, tailMs).size() == 2)
            haltedAt = now;
    }
    ASSERT_GT(haltedAt, 0);
    EXPECT_LT(haltedAt - 1000 + lookMs + 500, harmMs);
}

} // namespace
