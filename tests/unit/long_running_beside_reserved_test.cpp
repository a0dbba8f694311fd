#include "tests/unit/saturated_service.h"

#include <gtest/gtest.h>

//! Lasting tasks and the workers that are kept free for others.
namespace {

using namespace almond;

constexpr const char *largeJob = "00000000000000aa";
constexpr const char *lostJob = "00000000000000ab";

//! A short task that may not use the workers kept free for lasting ones says nothing about a lasting task of
//! its image: those stood half empty while it waited.
TEST(LastingBesideReserved, AShortTaskWithoutRoomDoesNotKeepALastingOneOffAWorkerKeptFree)
{
    constexpr std::uint32_t workers = 100;
    tests::full_service service(tests::equalWorkers(workers), 5000);
    jobs::addJob(service.table, tests::makeJob(largeJob, {tests::lastingStep(2, 30'000)}));
    tests::addLostJob(service, lostJob, tests::lastingStep(1, 6000));
    // Short tasks that do not end: 30 of 32 cores are taken, but on two workers only 20.
    std::uint32_t next = 0;
    for (std::uint32_t number = 0; number < workers; ++number) {
        const std::uint32_t runs = number < 2 ? 4 : 6;
        for (std::uint32_t run = 0; run < runs; ++run)
            jobs::apply(service.table,
                        tests::started({tests::full_service::shortJob, 0, 0, next++}, 1,
                                       "w" + std::to_string(number) + "@1"));
    }
    EXPECT_EQ(service.tasksLeftWaiting({lostJob}), 0U);
}

} // namespace
