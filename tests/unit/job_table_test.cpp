#include "jobs/job_codec.h"
#include "tests/unit/draw.h"
#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

//! The job table: which records it accepts, and that a replay of the journal gives the same table.
namespace {

using namespace almond;
using jobs::job_status;
using jobs::run_end;
using jobs::task_phase;
using tests::ended;
using tests::started;

constexpr const char *firstId = "00000000000000aa";

jobs::job_table tableWith(jobs::job accepted)
{
    jobs::job_table table;
    jobs::addJob(table, std::move(accepted));
    return table;
}

TEST(JobTable, AJobIsCompletedOnlyWhenEveryTaskIsDone)
{
    jobs::job_table table = tableWith(tests::makeJob(firstId, {tests::step(2, 100)}));
    for (std::uint32_t index = 0; index < 2; ++index) {
        EXPECT_NE(table.jobs.at(firstId).status, job_status::completed);
        ASSERT_TRUE(jobs::apply(table, started({firstId, 0, 0, index}, 1, "w")));
        ASSERT_TRUE(jobs::apply(table, ended({firstId, 0, 0, index}, 1, run_end::done)));
    }
    EXPECT_EQ(table.jobs.at(firstId).status, job_status::completed);
    EXPECT_TRUE(table.loads.empty());
}

//! A run that was taken for lost had ended as done, and the task was started once more (TWICE).
TEST(JobTable, TheEndAsDoneOfAnEarlierRunCountsOnce)
{
    const jobs::task_name task{firstId, 0, 0, 0};
    const auto lostOnce = [&task](bool gang) {
        auto first = tests::step(2, 100);
        first.gang = gang;
        jobs::job_table table = tableWith(tests::makeJob(firstId, {first}));
        for (std::uint32_t index = 0; index < 2; ++index) {
            jobs::apply(table, started({firstId, 0, 0, index}, 1, "w"));
            jobs::apply(table, ended({firstId, 0, 0, index}, 1, run_end::lost));
        }
        EXPECT_TRUE(jobs::countsIfDone(table, task, 1));
        return table;
    };
    const auto expectDone = [&task](jobs::job_table &table, std::uint32_t waiting) {
        ASSERT_TRUE(jobs::apply(table, ended(task, 1, run_end::done)));
        EXPECT_FALSE(jobs::apply(table, ended(task, 1, run_end::done)));
        EXPECT_FALSE(jobs::countsIfDone(table, task, 1));
        EXPECT_EQ(jobs::findTask(table, task)->phase, task_phase::done);
        EXPECT_EQ(table.jobs.at(firstId).waiting, waiting);
        EXPECT_EQ(table.jobs.at(firstId).assigned, 0U);
        EXPECT_TRUE(table.loads.empty());
    };
    jobs::job_table waiting = lostOnce(false);
    expectDone(waiting, 1);
    jobs::job_table followed = lostOnce(false);
    jobs::apply(followed, started(task, 2, "v"));
    // The later run keeps its resources (LIMIT).
    EXPECT_FALSE(jobs::apply(followed, ended(task, 1, run_end::done)));
    EXPECT_EQ(jobs::assignedRun(followed, "v", task), 2U);
    jobs::job_table notStarted = lostOnce(false);
    jobs::apply(notStarted, started(task, 2, "v"));
    jobs::apply(notStarted, ended(task, 2, run_end::notStarted));
    expectDone(notStarted, 1);
    jobs::job_table gang = lostOnce(true);
    expectDone(gang, 0);
    EXPECT_EQ(gang.jobs.at(firstId).status, job_status::completed);
    jobs::job_table cancelled = lostOnce(false);
    jobs::cancelJob(cancelled, firstId);
    EXPECT_FALSE(jobs::apply(cancelled, ended(task, 1, run_end::done)));
}

TEST(JobTable, AStepWaitsForAllStepsThatItDependsOn)
{
    auto second = tests::step(1, 100);
    second.after = {0};
    jobs::job_table table = tableWith(tests::makeJob(firstId, {tests::step(1, 100), second}));
    const jobs::job_state &jobState = table.jobs.at(firstId);
    EXPECT_FALSE(jobs::isReady(jobState, jobState.occurrences.at(0), 1));
    jobs::apply(table, started({firstId, 0, 0, 0}, 1, "w"));
    jobs::apply(table, ended({firstId, 0, 0, 0}, 1, run_end::done));
    EXPECT_TRUE(jobs::isReady(jobState, jobState.occurrences.at(0), 1));
}

TEST(JobTable, ALongRunningTaskWaitsAgainHoweverItEnds)
{
    auto longRunning = tests::step(1, 100);
    longRunning.longRunning = true;
    jobs::job_table table = tableWith(tests::makeJob(firstId, {longRunning}));
    jobs::apply(table, started({firstId, 0, 0, 0}, 1, "w"));
    ASSERT_TRUE(jobs::apply(table, ended({firstId, 0, 0, 0}, 1, run_end::done)));
    EXPECT_EQ(table.jobs.at(firstId).status, job_status::running);
    EXPECT_TRUE(table.jobsWithWaitingTasks.contains(firstId));
}

TEST(JobTable, AGangIsDoneWhenOneMemberIsDone)
{
    auto gang = tests::step(3, 100);
    gang.gang = true;
    jobs::job_table table = tableWith(tests::makeJob(firstId, {gang}));
    for (std::uint32_t index = 0; index < 3; ++index)
        jobs::apply(table, started({firstId, 0, 0, index}, 1, "w"));
    ASSERT_TRUE(jobs::apply(table, ended({firstId, 0, 0, 1}, 1, run_end::done)));
    EXPECT_EQ(table.jobs.at(firstId).status, job_status::completed);
    EXPECT_TRUE(table.loads.empty());
}

TEST(JobTable, OccurrencesOpenWhenTheyAreDue)
{
    jobs::job scheduled = tests::makeJob(firstId, {tests::step(1, 100)});
    scheduled.repetitions = 3;
    scheduled.firstDueMs = 1000;
    scheduled.interval = kernel::milliseconds(500);
    jobs::job_table table = tableWith(scheduled);
    jobs::openDueOccurrences(table, kernel::fromMillis(999));
    EXPECT_TRUE(table.jobs.at(firstId).occurrences.empty());
    jobs::openDueOccurrences(table, kernel::fromMillis(1500));
    EXPECT_EQ(table.jobs.at(firstId).occurrences.size(), 2U);
    jobs::openDueOccurrences(table, kernel::fromMillis(9000));
    EXPECT_EQ(table.jobs.at(firstId).occurrences.size(), 3U);
}

TEST(JobTable, ACancelledJobHasNoWaitingTasksAndStaysCancelled)
{
    jobs::job_table table = tableWith(tests::makeJob(firstId, {tests::step(1, 100)}));
    jobs::apply(table, started({firstId, 0, 0, 0}, 1, "w"));
    EXPECT_TRUE(jobs::cancelJob(table, firstId));
    jobs::apply(table, ended({firstId, 0, 0, 0}, 1, run_end::stopped));
    EXPECT_EQ(table.jobs.at(firstId).status, job_status::cancelled);
    EXPECT_FALSE(table.jobsWithWaitingTasks.contains(firstId));
    EXPECT_FALSE(jobs::cancelJob(table, firstId));
}

TEST(JobTable, RecordsOfAnotherRunAreRejected)
{
    jobs::job_table table = tableWith(tests::makeJob(firstId, {tests::step(1, 100)}));
    EXPECT_FALSE(jobs::apply(table, ended({firstId, 0, 0, 0}, 1, run_end::done)));
    ASSERT_TRUE(jobs::apply(table, started({firstId, 0, 0, 0}, 2, "w")));
    EXPECT_FALSE(jobs::apply(table, started({firstId, 0, 0, 0}, 3, "v")));
    for (const run_end end : {run_end::failed, run_end::lost, run_end::stopped, run_end::notStarted})
        EXPECT_FALSE(jobs::apply(table, ended({firstId, 0, 0, 0}, 1, end)));
    EXPECT_FALSE(jobs::apply(table, ended({firstId, 0, 0, 0}, 3, run_end::done)));
    EXPECT_FALSE(jobs::apply(table, started({"unknown", 0, 0, 0}, 1, "w")));
}

//! Checks that the counters in the table match the states of its tasks.
void checkSums(const jobs::job_table &table)
{
    std::map<std::string, std::int64_t> millicores;
    for (const auto &[id, jobState] : table.jobs) {
        std::uint32_t waiting = 0;
        for (const auto &[number, occurrence] : jobState.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                for (const jobs::task_state &task : occurrence.steps[step].tasks) {
                    waiting += task.phase == task_phase::waiting ? 1 : 0;
                    if (task.phase == task_phase::assigned)
                        millicores[task.worker] += jobState.spec.steps[step].demand.millicores;
                }
            }
        }
        RC_ASSERT(waiting == jobState.waiting);
        RC_ASSERT(table.jobsWithWaitingTasks.contains(id)
                  == (waiting > 0 && !jobs::isFinal(jobState.status)));
    }
    RC_ASSERT(millicores.size() == table.loads.size());
    for (const auto &[worker, load] : table.loads)
        RC_ASSERT(load.guaranteed.millicores == millicores.at(worker));
}

RC_GTEST_PROP(JobTableProperty, SumsMatchTasksAndAReplayGivesTheSameTable, ())
{
    const std::vector<std::string> ids{"00000000000000aa", "00000000000000ab"};
    jobs::job_table table;
    jobs::job_table replayed;
    for (const std::string &id : ids) {
        auto second = tests::step(2, 200);
        second.after = {0};
        jobs::addJob(table, tests::makeJob(id, {tests::step(3, 100), second}));
        jobs::addJob(replayed, tests::makeJob(id, {tests::step(3, 100), second}));
    }
    for (int round = 0; round < 60; ++round) {
        const jobs::task_name task{ids[tests::draw<std::size_t>(0, 2)], 0, tests::draw(0U, 2U),
                                   tests::draw(0U, 3U)};
        const std::uint32_t run = tests::draw(1U, 4U);
        const std::string worker = tests::draw(0, 2) == 0 ? "v" : "w";
        jobs::journal_record record = tests::draw(0, 2) == 0
            ? started(task, run, worker)
            : ended(task, run, static_cast<run_end>(tests::draw(0, 5)));
        if (tests::draw(0, 3) == 0)
            record = tests::moved(task, run, worker);
        if (!jobs::apply(table, record))
            continue;
        checkSums(table);
        RC_ASSERT(jobs::apply(replayed, jobs::decodeRecord(jobs::encodeRecord(record))));
    }
    for (const std::string &id : ids)
        RC_ASSERT(table.jobs.at(id).status == replayed.jobs.at(id).status);
    RC_ASSERT(table.jobsWithWaitingTasks == replayed.jobsWithWaitingTasks);
}

TEST(JobCodec, AJobSurvivesEncodingAndDecoding)
{
    jobs::job value = tests::makeJob(firstId, {tests::step(4, 500)});
    value.payload = "text";
    value.steps[0].after = {};
    value.steps[0].image = "i";
    value.steps[0].bestEffort = true;
    value.steps[0].perWorkerLimit = 2;
    const jobs::fleet_config config = tests::fleetConfig();
    value.queueAtAcceptance = jobs::versionOf(config, config.queues.at("checks"));
    const jobs::job back = jobs::decodeJob(jobs::encodeJob(value));
    EXPECT_EQ(back.payload, value.payload);
    EXPECT_EQ(back.steps[0].perWorkerLimit, 2U);
    EXPECT_TRUE(back.steps[0].bestEffort);
    ASSERT_TRUE(back.queueAtAcceptance);
    EXPECT_EQ(back.queueAtAcceptance->version, config.version);
    EXPECT_EQ(back.queueAtAcceptance->rules.name, "checks");
    EXPECT_EQ(back.queueAtAcceptance->rules.service, "moderator");
    EXPECT_EQ(back.queueAtAcceptance->rules.attempts, 3U);
}

TEST(JobCodec, TaskNamesSurviveFormattingAndMalformedOnesAreRejected)
{
    const jobs::task_name name{firstId, 1, 2, 17};
    EXPECT_EQ(jobs::parseTask(jobs::formatTask(name)), name);
    for (const char *text : {"", "a", "a.1", "a.1.2", "a.1.2.x", "a.1.2.3.4", "a.1.2.-3"})
        EXPECT_FALSE(jobs::parseTask(text)) << text;
}

} // namespace
