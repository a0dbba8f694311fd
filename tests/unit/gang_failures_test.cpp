#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

//! Failures and checkpoints of a gang.
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

class gang_checkpoint_test : public testing::Test
{
protected:
    static constexpr std::uint32_t members = 4;
    jobs::job_table table;

    void SetUp() override
    {
        auto gang = tests::step(members, 1000);
        gang.gang = true;
        gang.checkpointing = true;
        jobs::addJob(table, tests::makeJob(tests::onlyJob, {gang}));
    }

    static jobs::task_name member(std::uint32_t index) { return {tests::onlyJob, 0, 0, index}; }

    void startAll(std::uint32_t run)
    {
        for (std::uint32_t index = 0; index < members; ++index)
            ASSERT_TRUE(jobs::apply(table, tests::started(member(index), run, "w" + std::to_string(index))));
    }

    void end(std::uint32_t index, std::uint32_t run, jobs::run_end how, const std::string &checkpoint)
    {
        jobs::journal_record record = tests::ended(member(index), run, how);
        record.checkpoint = checkpoint;
        ASSERT_TRUE(jobs::apply(table, record));
    }

    void expectAllResumeFrom(const std::string &checkpoint)
    {
        for (std::uint32_t index = 0; index < members; ++index)
            EXPECT_EQ(jobs::checkpointOf(table, member(index)), checkpoint) << index;
    }
};

//! Guards against a gang whose members carry different checkpoints after one of them was lost: none of its
//! runs works, and the job never completes (GANG).
TEST_F(gang_checkpoint_test, MembersResumeFromTheNewestCheckpointAfterALoss)
{
    startAll(1);
    for (std::uint32_t index = 1; index < members; ++index)
        end(index, 1, jobs::run_end::stopped, "newest");
    end(0, 1, jobs::run_end::lost, "older");
    startAll(2);
    expectAllResumeFrom("newest");
    // A run that didn't work reports what it began with.
    for (std::uint32_t index = 0; index < members; ++index)
        end(index, 2, jobs::run_end::stopped, "newest");
    startAll(3);
    expectAllResumeFrom("newest");
}

//! The same where the loss is recorded first.
TEST_F(gang_checkpoint_test, CheckpointOfALostMemberGivesWay)
{
    startAll(1);
    end(0, 1, jobs::run_end::lost, "older");
    end(1, 1, jobs::run_end::stopped, "newest");
    end(2, 1, jobs::run_end::stopped, "newest");
    end(3, 1, jobs::run_end::lost, "older");
    startAll(2);
    expectAllResumeFrom("newest");
}

//! Guards against members of one run that are sent different checkpoints since one of them ends while the
//! start orders of others are repeated.
TEST_F(gang_checkpoint_test, CheckpointOfARunIsFixedWhenItIsPlanned)
{
    startAll(1);
    for (std::uint32_t index = 0; index < members; ++index)
        end(index, 1, jobs::run_end::stopped, "first");
    startAll(2);
    end(0, 2, jobs::run_end::stopped, "second");
    expectAllResumeFrom("first");
}

} // namespace
