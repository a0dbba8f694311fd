#include "jobs/job_timing.h"

#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

//! The account of where a job's time went.
namespace {

using namespace almond;
using jobs::run_end;
using tests::at;
using tests::onlyJob;

struct kept_book
{
    jobs::job_table table;
    jobs::job_timings accounts;

    kept_book()
    {
        jobs::step_spec second = tests::step(1, 100);
        second.after = {0};
        jobs::addJob(table, tests::makeJob(onlyJob, {tests::step(2, 100), second}));
    }

    void take(const jobs::journal_record &record, std::int64_t ms)
    {
        ASSERT_TRUE(jobs::apply(table, record));
        jobs::recordTiming(accounts, table, record, at(ms));
    }
};

TEST(JobAccount, TellsWaitingStartingAndRunningApart)
{
    kept_book kept;
    const jobs::task_name first{onlyJob, 0, 0, 0};
    const jobs::task_name second{onlyJob, 0, 0, 1};
    const jobs::task_name last{onlyJob, 0, 1, 0};
    kept.take(tests::started(first, 1, "w@1"), 100);
    kept.take(tests::started(second, 1, "w@1"), 150);
    kept.take(tests::ended(first, 1, run_end::failed), 200);
    kept.take(tests::started(first, 2, "v@1"), 230);
    kept.take(tests::ended(second, 1, run_end::done), 400);
    kept.take(tests::ended(first, 2, run_end::done), 500);
    EXPECT_TRUE(jobs::takeEndedTimings(kept.accounts, kept.table, onlyJob).empty());
    kept.take(tests::started(last, 1, "w@1"), 700);
    kept.take(tests::ended(last, 1, run_end::done), 750);
    const auto closed = jobs::takeEndedTimings(kept.accounts, kept.table, onlyJob);
    ASSERT_EQ(closed.size(), 1U);
    const nlohmann::json steps
        = jobs::describeTiming(closed.front().second, kept.table.jobs.at(onlyJob).spec);
    EXPECT_EQ(steps[0]["waitMs"], 0);
    EXPECT_EQ(steps[0]["spreadMs"], 130);
    EXPECT_EQ(steps[0]["lastRunMs"], 270);
    EXPECT_EQ(steps[0]["failures"], 1);
    EXPECT_EQ(steps[1]["waitMs"], 200);
    EXPECT_EQ(steps[1]["lastRunMs"], 50);
    EXPECT_TRUE(kept.accounts.empty());
}

//! An earlier owner began the step; this one knows only that it has ended.
TEST(JobAccount, AStepOfAnEarlierOwnerCountsFromWhenItWasKnown)
{
    kept_book kept;
    const jobs::task_name first{onlyJob, 0, 0, 0};
    jobs::apply(kept.table, tests::started(first, 1, "w@1"));
    kept.take(tests::ended(first, 1, run_end::done), 700);
    const auto &times = kept.accounts.at({onlyJob, 0});
    const nlohmann::json steps = jobs::describeTiming(times, kept.table.jobs.at(onlyJob).spec);
    EXPECT_EQ(steps[0]["lastRunMs"], 0);
    EXPECT_EQ(steps[1]["lastRunMs"], 0);
}

TEST(JobAccount, ACancelledJobLeavesNothingBehind)
{
    kept_book kept;
    kept.take(tests::started({onlyJob, 0, 0, 0}, 1, "w@1"), 100);
    jobs::cancelJob(kept.table, onlyJob);
    EXPECT_EQ(jobs::takeEndedTimings(kept.accounts, kept.table, onlyJob).size(), 1U);
    kept.take(tests::ended({onlyJob, 0, 0, 0}, 1, run_end::stopped), 150);
    EXPECT_TRUE(kept.accounts.empty());
}

} // namespace
