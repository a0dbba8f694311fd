#include "relay/transit_delay.h"

#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

//! How much longer than usual a message was under way, between hosts whose clocks differ.
namespace {

using namespace almond;
using kernel::milliseconds;
using relay::recordTransit;
using tests::at;

constexpr std::uint64_t sender = 7;
constexpr std::int64_t clockDifference = -500'000;
constexpr std::int64_t fastest = 3;

//! Records a message that is sent at \a sentMs on the receiver's clock and is \a tookMs under way.
milliseconds record(relay::transit_delay &delay, std::int64_t sentMs, std::int64_t tookMs)
{
    return recordTransit(delay, sender, at(sentMs + clockDifference), at(sentMs + tookMs));
}

TEST(TransitDelay, FirstMessageCountsAsUndelayed)
{
    relay::transit_delay delay;
    EXPECT_EQ(record(delay, 600'000, 2000), milliseconds(0));
}

TEST(TransitDelay, DelayIsTheTimeBeyondTheFastestMessage)
{
    relay::transit_delay delay;
    record(delay, 600'000, fastest);
    EXPECT_EQ(record(delay, 601'000, 2000), milliseconds(2000 - fastest));
    EXPECT_EQ(record(delay, 602'000, fastest), milliseconds(0));
}

//! The clocks of two hosts drift by up to 100 parts in a million.
TEST(TransitDelay, DriftOfTheClocksDoesNotBecomeADelay)
{
    relay::transit_delay delay;
    for (std::int64_t second = 0; second < 24L * 3600; ++second) {
        const std::int64_t sentMs = second * 1000;
        const std::int64_t driftMs = second / 10;
        EXPECT_LE(record(delay, sentMs, fastest + driftMs), milliseconds(13));
    }
}

TEST(TransitDelay, AnotherProcessOfTheSenderMayHaveAnotherClock)
{
    relay::transit_delay delay;
    record(delay, 600'000, fastest);
    EXPECT_EQ(recordTransit(delay, sender + 1, at(100), at(601'000)), milliseconds(0));
    EXPECT_EQ(recordTransit(delay, sender + 1, at(200), at(601'150)), milliseconds(50));
}

TEST(TransitDelay, DelayThatLastsIsSeenForAWindow)
{
    relay::transit_delay delay;
    record(delay, 0, fastest);
    const std::int64_t windowMs = relay::transitWindow.count();
    for (std::int64_t sentMs = 1000; sentMs < windowMs; sentMs += 1000)
        EXPECT_EQ(record(delay, sentMs, 1500), milliseconds(1500 - fastest));
}

} // namespace
