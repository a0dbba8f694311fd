#include "tests/unit/saturated_service.h"

#include <gtest/gtest.h>

//! Long-running tasks and workers that are reserved for other long-running tasks.
namespace {

using namespace almond;

constexpr const char *largeJob = "00000000000000aa";
constexpr const char *lostJob = "00000000000000ab";

//! A batch task finds no worker because it may not use reserved ones. From this the planner concluded that a
//! long-running task of the same image does not fit either, which then waited while reserved workers were
//! half empty.
TEST(LongRunningBesideReserved, AnUnplacedBatchTaskDoesNotKeepALongRunningTaskOffReservedWorkers)
{
    constexpr std::uint32_t workers = 100;
    tests::saturated_service service(tests::equalWorkers(workers), 5000);
    jobs::addJob(service.table, tests::makeJob(largeJob, {tests::longRunningStep(2, 30'000)}));
    tests::addLostJob(service, lostJob, tests::longRunningStep(1, 6000));
    // Batch tasks that do not end use 30 of 32 cores, but only 20 on two workers.
    std::uint32_t next = 0;
    for (std::uint32_t number = 0; number < workers; ++number) {
        const std::uint32_t runs = number < 2 ? 4 : 6;
        for (std::uint32_t run = 0; run < runs; ++run)
            jobs::apply(service.table,
                        tests::started({tests::saturated_service::batchJob, 0, 0, next++}, 1,
                                       "w" + std::to_string(number) + "@1"));
    }
    EXPECT_EQ(service.tasksLeftWaiting({lostJob}), 0U);
}

} // namespace
