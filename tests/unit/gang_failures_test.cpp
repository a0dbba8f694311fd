#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

//! How often a gang has failed.
namespace {

using namespace almond;

//! Several members of one run that ended in failure counted as several failures of the gang, so that its job
//! was shown as failed before its attempts were used up.
TEST(GangFailures, ARunOfAGangInWhichSeveralMembersFailIsOneFailure)
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

//! Each run of a gang that failed counts, whichever member it was.
TEST(GangFailures, RunsInWhichDifferentMembersFailAddUp)
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
