#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

//! Counting the failures of a gang.
namespace {

using namespace almond;

//! Several failed members of one run were counted as several failures of the gang, so that the job failed
//! before its attempts were used up.
TEST(GangFailures, SeveralFailedMembersOfOneRunCountAsOneFailure)
{
    constexpr std::uint32_t members = 3;
    auto gang = tests::step(members, 1000);
    gang.gang = true;
    jobs::job_table table;
    jobs::addJob(table, tests::makeJob(tests::onlyJob, {gang}));
    std::vector<jobs::task_name> touched;
    for (std::uint32_t index = 0; index < members; ++index)
        touched.push_back({tests::onlyJob, 0, 0, index});
    for (const jobs::task_name &member : touched)
        jobs::apply(table, tests::started(member, 1, "v@1"));
    for (const jobs::task_name &member : touched)
        jobs::apply(table, tests::ended(member, 1, jobs::run_end::failed));
    EXPECT_TRUE(jobs::jobsOutOfAttempts(table, tests::fleetConfig(), touched).empty());
}

//! Each failed run of a gang counts, whichever member failed.
TEST(GangFailures, FailedRunsOfDifferentMembersAddUp)
{
    auto gang = tests::step(3, 1000);
    gang.gang = true;
    jobs::job_table table;
    jobs::addJob(table, tests::makeJob(tests::onlyJob, {gang}));
    const std::vector<jobs::task_name> touched{{tests::onlyJob, 0, 0, 0}};
    for (std::uint32_t run = 1; run <= 3; ++run) {
        EXPECT_TRUE(jobs::jobsOutOfAttempts(table, tests::fleetConfig(), touched).empty());
        for (std::uint32_t index = 0; index < 3; ++index)
            jobs::apply(table, tests::started({tests::onlyJob, 0, 0, index}, run, "v@1"));
        for (std::uint32_t index = 0; index < 3; ++index) {
            const bool failing = index == run - 1;
            jobs::apply(table,
                        tests::ended({tests::onlyJob, 0, 0, index}, run,
                                     failing ? jobs::run_end::failed : jobs::run_end::stopped));
        }
    }
    EXPECT_EQ(jobs::jobsOutOfAttempts(table, tests::fleetConfig(), touched).size(), 1U);
}

} // namespace
