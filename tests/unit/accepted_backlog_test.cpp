#include "tests/unit/backlogged_service.h"

#include <gtest/gtest.h>

//! What becomes of accepted best-effort jobs while far more of them are handed in than can be run.
namespace {

using namespace almond;
using kernel::milliseconds;
using tests::backlogged_service;

//! Objective of a job of backlogged_service, and the time after which it is of no more use to its caller.
constexpr milliseconds objective = 2 * (2 * backlogged_service::taskDuration) + milliseconds(1000);
constexpr milliseconds longestUseful = 3 * objective;

//! Hands in \a jobsPerSecond jobs of 16 tasks for \a seconds. Returns how many were accepted.
std::size_t handIn(backlogged_service &service, int jobsPerSecond, int seconds)
{
    std::size_t accepted = 0;
    for (int second = 0; second < seconds; ++second) {
        for (int job = 0; job < jobsPerSecond; ++job) {
            accepted += service.offer(16, 9000) ? 1 : 0;
            service.playFor(milliseconds(1000 / jobsPerSecond));
        }
    }
    return accepted;
}

std::ptrdiff_t countWithin(const std::vector<milliseconds> &times, milliseconds limit)
{
    return std::count_if(times.begin(), times.end(), [limit](milliseconds time) { return time <= limit; });
}

//! Guards against accepted jobs that never run (LOST): 2.4 times the work that could be done was accepted for
//! 90 s, and over a thousand jobs were left when the arrivals had ended.
TEST(AcceptedBacklog, EachAcceptedJobCompletesWhileItIsOfUse)
{
    backlogged_service service(20);
    service.reserve(20'000);
    const std::size_t accepted = handIn(service, 5, 60);
    service.playFor(longestUseful);
    EXPECT_EQ(service.openJobs(), 0U);
    const std::vector<milliseconds> times = service.completionTimes();
    EXPECT_EQ(countWithin(times, longestUseful), static_cast<std::ptrdiff_t>(accepted));
}

//! Jobs that can't be in time must not take the place of others.
TEST(AcceptedBacklog, AlmostAllAcceptedJobsAreInTime)
{
    backlogged_service service(20);
    service.reserve(20'000);
    const std::size_t accepted = handIn(service, 5, 60);
    service.playFor(longestUseful);
    EXPECT_GE(countWithin(service.completionTimes(), objective) * 10,
              static_cast<std::ptrdiff_t>(accepted) * 9);
}

//! Rejecting what can't be in time costs no job that could be.
TEST(AcceptedBacklog, AFullServiceCompletesAsManyJobsInTimeAsItHasRoomFor)
{
    backlogged_service service(20);
    service.reserve(20'000);
    handIn(service, 5, 60);
    service.playFor(longestUseful);
    // 20 workers run 6 tasks each at a time; a job has 32 tasks of 1.7 s.
    constexpr int completableJobs = 20 * 6 * 60 * 1000 / (32 * 1700);
    EXPECT_GE(countWithin(service.completionTimes(), objective) * 10, completableJobs * 8);
}

//! Guards against jobs that are turned away although they could be served.
TEST(AcceptedBacklog, NothingIsRejectedBelowCapacity)
{
    backlogged_service service(20);
    service.reserve(20'000);
    EXPECT_EQ(handIn(service, 1, 20), 20U);
    std::size_t accepted = 0;
    for (int burst = 0; burst < 4; ++burst) {
        for (int job = 0; job < 6; ++job)
            accepted += service.offer(16, 9000) ? 1 : 0;
        service.playFor(milliseconds(6000));
    }
    EXPECT_EQ(accepted, 24U);
    EXPECT_EQ(service.openJobs(), 0U);
}

//! Guards against memory that grows with each name of an image that a caller makes up.
TEST(AcceptedBacklog, ImagesThatAreNoLongerUsedAreForgotten)
{
    const jobs::admission_rules rules;
    jobs::service_throughputs throughputs;
    throughputs["moderator"].byImage["old"].updatedAt = tests::at(1000);
    throughputs["moderator"].byImage["new"].updatedAt = tests::at(60'000);
    jobs::forgetIdleImages(throughputs, rules, tests::at(61'000));
    EXPECT_FALSE(throughputs["moderator"].byImage.contains("old"));
    EXPECT_TRUE(throughputs["moderator"].byImage.contains("new"));
}

} // namespace
