#include "tests/unit/saturated_service.h"

#include <gtest/gtest.h>

//! Long-running tasks that wait behind tasks for which no worker has enough free capacity.
namespace {

using namespace almond;

constexpr const char *unplaceableJob = "00000000000000aa";
constexpr const char *lostJob = "00000000000000ab";
constexpr std::int64_t batchMillicores = 5000;

//! Many long-running tasks require a label whose workers are full, while a lost task fits on every worker.
//! The unplaceable tasks used up all placements of long-running tasks in a round, so that batch tasks took
//! all other free capacity.
TEST(LongRunningBehindUnplaceable, UnplaceableTasksDoNotKeepLostTasksFromRestarting)
{
    tests::saturated_service service(tests::equalWorkers(20), batchMillicores);
    jobs::step_spec unplaceable = tests::longRunningStep(14, batchMillicores);
    unplaceable.requiredLabel = "hot";
    jobs::addJob(service.table, tests::makeJob(unplaceableJob, {unplaceable}));
    service.fill();
    tests::addLostJob(service, lostJob, tests::longRunningStep(1, batchMillicores));
    EXPECT_EQ(service.tasksLeftWaiting({lostJob}), 0U);
}

//! One long-running task demands more than any worker has; lost tasks are small.
TEST(LongRunningBehindUnplaceable, ATaskTooLargeForAnyWorkerDoesNotDelaySmallLostTasks)
{
    tests::saturated_service service(tests::equalWorkers(20), batchMillicores);
    jobs::addJob(service.table, tests::makeJob(unplaceableJob, {tests::longRunningStep(1, 33'000)}));
    service.fill();
    tests::addLostJob(service, lostJob, tests::longRunningStep(4, batchMillicores));
    EXPECT_EQ(service.tasksLeftWaiting({lostJob}), 0U);
}

} // namespace
