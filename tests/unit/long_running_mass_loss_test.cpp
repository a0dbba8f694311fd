#include "tests/unit/saturated_service.h"

#include <gtest/gtest.h>

//! Many long-running tasks that are lost at once.
namespace {

using namespace almond;

//! A third of 490 workers is lost with its long-running tasks, while batch tasks keep the others full. Only a
//! few lost tasks were restarted per round, so that the others kept waiting although workers had free
//! capacity for them.
TEST(LongRunningMassLoss, AllTasksOfALostFailureDomainAreRestartedInTime)
{
    constexpr std::int64_t batchMillicores = 4000;
    tests::saturated_service service(tests::equalWorkers(326), batchMillicores);
    service.fill();
    std::vector<std::string> lost;
    for (int number = 10; number < 22; ++number) {
        lost.push_back("00000000000000" + std::to_string(number));
        tests::addLostJob(service, lost.back(), tests::longRunningStep(14, batchMillicores));
    }
    EXPECT_EQ(service.tasksLeftWaiting(lost), 0U);
}

} // namespace
