#include "tests/unit/saturated_service.h"

#include <gtest/gtest.h>

//! Many lasting tasks that are lost at once.
namespace {

using namespace almond;

//! Load pattern: a third of 490 workers is lost with the lasting tasks there while short ones keep the rest
//! full. A few of the lost ones a round were too few: the others waited on beside room for them.
TEST(LastingManyLost, TheTasksOfALostFailureDomainAllRunAgainInTime)
{
    constexpr std::int64_t shortMillicores = 4000;
    tests::full_service service(tests::equalWorkers(326), shortMillicores);
    service.fill();
    std::vector<std::string> lost;
    for (int number = 10; number < 22; ++number) {
        lost.push_back("00000000000000" + std::to_string(number));
        tests::addLostJob(service, lost.back(), tests::lastingStep(14, shortMillicores));
    }
    EXPECT_EQ(service.tasksLeftWaiting(lost), 0U);
}

} // namespace
