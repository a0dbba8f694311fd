#include "jobs/job_timing.h"

#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

//! Timing of the steps of a job.
namespace {

using namespace almond;
using jobs::run_end;
using tests::at;
using tests::onlyJob;

struct timing_fixture
{
    jobs::job_table table;
    jobs::job_timings timings;

    timing_fixture()
    {
        jobs::step_spec second = tests::step(1, 100);
        second.after = {0};
        jobs::addJob(table, tests::makeJob(onlyJob, {tests::step(2, 100), second}));
    }

    void apply(const jobs::journal_record &record, std::int64_t ms)
    {
        ASSERT_TRUE(jobs::apply(table, record));
        jobs::recordTiming(timings, table, record, at(ms));
    }
};

TEST(JobTiming, SeparatesWaitingStartingAndRunning)
{
    timing_fixture fixture;
    const jobs::task_name first{onlyJob, 0, 0, 0};
    const jobs::task_name second{onlyJob, 0, 0, 1};
    const jobs::task_name last{onlyJob, 0, 1, 0};
    fixture.apply(tests::started(first, 1, "w@1"), 100);
    fixture.apply(tests::started(second, 1, "w@1"), 150);
    fixture.apply(tests::ended(first, 1, run_end::failed), 200);
    fixture.apply(tests::started(first, 2, "v@1"), 230);
    fixture.apply(tests::ended(second, 1, run_end::done), 400);
    fixture.apply(tests::ended(first, 2, run_end::done), 500);
    EXPECT_TRUE(jobs::takeEndedTimings(fixture.timings, fixture.table, onlyJob).empty());
    fixture.apply(tests::started(last, 1, "w@1"), 700);
    fixture.apply(tests::ended(last, 1, run_end::done), 750);
    const auto ended = jobs::takeEndedTimings(fixture.timings, fixture.table, onlyJob);
    ASSERT_EQ(ended.size(), 1U);
    const nlohmann::json steps
        = jobs::describeTiming(ended.front().second, fixture.table.jobs.at(onlyJob).spec);
    EXPECT_EQ(steps[0]["waitMs"], 0);
    EXPECT_EQ(steps[0]["spreadMs"], 130);
    EXPECT_EQ(steps[0]["lastRunMs"], 270);
    EXPECT_EQ(steps[0]["failures"], 1);
    EXPECT_EQ(steps[1]["waitMs"], 200);
    EXPECT_EQ(steps[1]["lastRunMs"], 50);
    EXPECT_TRUE(fixture.timings.empty());
}

//! An earlier owner started the step; this owner only has the record of its end.
TEST(JobTiming, AStepStartedByAnEarlierOwnerIsTimedFromItsFirstRecord)
{
    timing_fixture fixture;
    const jobs::task_name first{onlyJob, 0, 0, 0};
    jobs::apply(fixture.table, tests::started(first, 1, "w@1"));
    fixture.apply(tests::ended(first, 1, run_end::done), 700);
    const auto &times = fixture.timings.at({onlyJob, 0});
    const nlohmann::json steps = jobs::describeTiming(times, fixture.table.jobs.at(onlyJob).spec);
    EXPECT_EQ(steps[0]["lastRunMs"], 0);
    EXPECT_EQ(steps[1]["lastRunMs"], 0);
}

//! The wait for the first start is no part of the times of the steps.
TEST(JobTiming, TheFirstStartIsThatOfAnyStep)
{
    timing_fixture fixture;
    fixture.apply(tests::started({onlyJob, 0, 0, 0}, 1, "w@1"), 100);
    fixture.apply(tests::started({onlyJob, 0, 0, 1}, 1, "w@1"), 150);
    EXPECT_EQ(jobs::sinceFirstStart(fixture.timings.at({onlyJob, 0}), at(400)), kernel::milliseconds(300));
    EXPECT_FALSE(jobs::sinceFirstStart({}, at(400)));
}

TEST(JobTiming, ACancelledJobLeavesNoTimings)
{
    timing_fixture fixture;
    fixture.apply(tests::started({onlyJob, 0, 0, 0}, 1, "w@1"), 100);
    jobs::cancelJob(fixture.table, onlyJob);
    EXPECT_EQ(jobs::takeEndedTimings(fixture.timings, fixture.table, onlyJob).size(), 1U);
    fixture.apply(tests::ended({onlyJob, 0, 0, 0}, 1, run_end::stopped), 150);
    EXPECT_TRUE(fixture.timings.empty());
}

} // namespace
