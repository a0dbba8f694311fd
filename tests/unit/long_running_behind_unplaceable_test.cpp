#include "tests/unit/saturated_service.h"

#include <gtest/gtest.h>

//! Lasting tasks that wait behind others for which there is no room.
namespace {

using namespace almond;

constexpr const char *misfitJob = "00000000000000aa";
constexpr const char *lostJob = "00000000000000ab";
constexpr std::int64_t shortMillicores = 5000;

//! Load pattern: many lasting tasks want a label whose workers are full, others were lost and fit everywhere.
//! The first took every place that lasting tasks have in a round, so that short tasks took all other room.
TEST(LastingBehindMisfits, TasksThatFitNowhereDoNotKeepLostOnesFromTheRoomThatTheyFit)
{
    tests::full_service service(tests::equalWorkers(20), shortMillicores);
    jobs::step_spec misfits = tests::lastingStep(14, shortMillicores);
    misfits.requiredLabel = "hot";
    jobs::addJob(service.table, tests::makeJob(misfitJob, {misfits}));
    service.fill();
    tests::addLostJob(service, lostJob, tests::lastingStep(1, shortMillicores));
    EXPECT_EQ(service.tasksLeftWaiting({lostJob}), 0U);
}

//! Load pattern: one lasting job asks for more than any worker will have free, others were lost and are
//! small.
TEST(LastingBehindMisfits, ATaskTooLargeForAnyWorkerDoesNotKeepSmallLostOnesWaiting)
{
    tests::full_service service(tests::equalWorkers(20), shortMillicores);
    jobs::addJob(service.table, tests::makeJob(misfitJob, {tests::lastingStep(1, 33'000)}));
    service.fill();
    tests::addLostJob(service, lostJob, tests::lastingStep(4, shortMillicores));
    EXPECT_EQ(service.tasksLeftWaiting({lostJob}), 0U);
}

} // namespace
