#include "jobs/worker_evaluation.h"

#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

//! What the ends of runs tell of their workers. The patterns: a few workers that fail two runs in five and,
//! since they are soon free again, draw ever more tasks until jobs run out of attempts; and workers that
//! turn slow under steps of equal tasks.
namespace {

using namespace almond;
using jobs::run_end;
using tests::at;
using tests::onlyJob;

//! One worker that runs tasks of one step after the other.
struct watched_worker
{
    jobs::evaluation_rules rules;
    jobs::job_table table;
    jobs::step_durations durations;
    jobs::worker_evaluation evaluation;
    jobs::worker_session session;
    std::uint64_t ends = 0;

    explicit watched_worker(jobs::step_spec spec = tests::step(20, 100), std::uint32_t count = 20)
    {
        spec.count = count;
        jobs::addJob(table, tests::makeJob(onlyJob, {spec}));
        session = jobs::openSession(tests::worker("w"), at(0));
    }

    jobs::task_name task(std::uint32_t index) const { return {onlyJob, 0, 0, index}; }

    void start(std::uint32_t index, std::int64_t ms)
    {
        jobs::apply(table, tests::started(task(index), 1, "w@1"));
        session.acceptedRuns[task(index)] = {1, at(ms)};
    }

    void end(std::uint32_t index, run_end how, std::int64_t ms)
    {
        jobs::poll_response answer;
        answer.result.outcome = jobs::order_outcome::accepted;
        answer.bornMs = 1;
        answer.ended.push_back({++ends, task(index), 1, how, ""});
        take(answer, ms);
    }

    void showRunning(std::uint32_t index, std::int64_t ms)
    {
        jobs::poll_response answer;
        answer.result.outcome = jobs::order_outcome::accepted;
        answer.bornMs = 1;
        answer.running.push_back({task(index), 1, "", 50, 100});
        take(answer, ms);
    }

    void take(const jobs::poll_response &answer, std::int64_t ms)
    {
        jobs::evaluatePoll(evaluation, durations, rules, session, answer, table, at(ms));
        for (const auto &record : jobs::applyPoll(session, answer, table, at(ms), at(ms)))
            jobs::apply(table, record);
    }

    //! Three tasks end well after \a ms each.
    void learnDuration(std::int64_t ms)
    {
        for (std::uint32_t index = 0; index < 3; ++index) {
            start(index, 0);
            end(index, run_end::done, ms);
        }
    }

    //! Two tasks that began at 2000 are still at work.
    void showTwoLongRuns(std::int64_t ms)
    {
        for (std::uint32_t index = 5; index < 7; ++index)
            start(index, 2000);
        for (std::uint32_t index = 5; index < 7; ++index)
            showRunning(index, ms);
    }

    bool quarantined(std::int64_t ms) const { return placement::isQuarantined(evaluation.health, at(ms)); }
};

TEST(WorkerConduct, TwoFailuresAmongFewRunsQuarantineTheWorker)
{
    watched_worker world;
    const std::vector<run_end> ends{run_end::failed, run_end::done, run_end::failed};
    for (std::uint32_t index = 0; index < ends.size(); ++index) {
        EXPECT_FALSE(world.quarantined(100 + index));
        world.start(index, 0);
        world.end(index, ends[index], 100 + index);
    }
    EXPECT_TRUE(world.quarantined(120));
}

TEST(WorkerConduct, AStepThatFailsEverywhereSpeaksAgainstNoWorker)
{
    watched_worker world;
    // Elsewhere two tasks have failed and none has succeeded.
    for (std::uint32_t index = 10; index < 12; ++index) {
        jobs::apply(world.table, tests::started(world.task(index), 1, "other@1"));
        jobs::apply(world.table, tests::ended(world.task(index), 1, run_end::failed));
    }
    for (std::uint32_t index = 0; index < 6; ++index) {
        world.start(index, 0);
        world.end(index, run_end::failed, 100);
    }
    EXPECT_FALSE(world.quarantined(100));
}

TEST(WorkerConduct, AnEndThatIsListedAgainCountsOnce)
{
    watched_worker world;
    world.start(0, 0);
    jobs::poll_response answer;
    answer.result.outcome = jobs::order_outcome::accepted;
    answer.bornMs = 1;
    answer.ended.push_back({1, world.task(0), 1, run_end::failed, ""});
    for (int look = 0; look < 5; ++look)
        world.take(answer, 100 + look);
    EXPECT_FALSE(world.quarantined(105));
}

TEST(WorkerConduct, ARunThatOutlastsItsKinIsSlowAndCountsOnce)
{
    watched_worker world;
    world.learnDuration(1000);
    const double trusted = world.evaluation.health.doubt;
    world.start(5, 2000);
    world.showRunning(5, 3900);
    EXPECT_EQ(world.evaluation.health.doubt, trusted);
    world.showRunning(5, 4100);
    world.showRunning(5, 4600);
    EXPECT_EQ(world.evaluation.health.doubt, trusted + 1.0);
}

TEST(WorkerConduct, AWorkerWithTwoSlowRunsGetsNoNewWork)
{
    watched_worker world;
    world.learnDuration(1000);
    world.showTwoLongRuns(4100);
    EXPECT_TRUE(world.quarantined(4100));
}

TEST(WorkerConduct, ASlowRunThatEndsWellDoesNotRestoreTrust)
{
    watched_worker world;
    world.learnDuration(1000);
    world.start(5, 2000);
    world.showRunning(5, 4100);
    const double doubt = world.evaluation.health.doubt;
    world.end(5, run_end::done, 6000);
    EXPECT_EQ(world.evaluation.health.doubt, doubt);
}

TEST(WorkerConduct, TasksThatFillOrRunAwayFromTheirDataAreNotCompared)
{
    jobs::step_spec fills = tests::step(20, 100);
    fills.bestEffort = true;
    jobs::step_spec away = tests::step(20, 100);
    away.dataRack = "r9";
    for (const jobs::step_spec &spec : {fills, away}) {
        watched_worker world(spec);
        world.learnDuration(1000);
        world.showTwoLongRuns(9000);
        EXPECT_FALSE(world.quarantined(9000));
    }
}

//! Fails every run for \a lasts, as often as it gets work, and tells when its last quarantine ends.
std::int64_t quarantineAfterTrouble(watched_worker &world, std::int64_t lasts)
{
    constexpr std::int64_t pauseBetweenFailures = 200;
    for (std::int64_t now = 0; now <= lasts; now += pauseBetweenFailures) {
        if (world.quarantined(now))
            continue;
        placement::recordEvidence(world.evaluation.health, world.rules.quarantine,
                                  jobs::run_evidence::failure, tests::at(now));
    }
    return kernel::toMillis(world.evaluation.health.quarantinedUntil);
}

//! Workers that had turned sound again were kept out for many seconds, longer after each further trouble,
//! while lost lasting tasks waited for room in a service that was full otherwise.
TEST(WorkerConduct, AWorkerThatTurnedSoundIsUsedAgainBeforeALastingTaskWaitsTooLong)
{
    constexpr std::int64_t longestTrouble = 6500;
    constexpr std::int64_t bound = 3000;
    watched_worker world;
    EXPECT_LT(quarantineAfterTrouble(world, longestTrouble) - longestTrouble, bound);
    world.evaluation.health.quarantinedUntil = {};
    EXPECT_LT(quarantineAfterTrouble(world, longestTrouble) - longestTrouble, bound);
}

//! The same of sound workers whose tasks take unequally long: each long one doubled the pause, up to 60 s.
TEST(WorkerConduct, ASoundWorkerWithUnevenTasksIsNeverKeptOutForLong)
{
    constexpr std::int64_t bound = 3000;
    constexpr std::uint32_t tasks = 60;
    watched_worker world(tests::step(tasks, 100), tasks);
    world.learnDuration(1000);
    std::int64_t now = 2000;
    std::int64_t longest = 0;
    for (std::uint32_t index = 3; index < tasks; ++index) {
        world.start(index, now);
        now += index % 4 == 0 ? 5000 : 1000;
        world.end(index, run_end::done, now);
        const std::int64_t until = kernel::toMillis(world.evaluation.health.quarantinedUntil);
        longest = std::max(longest, until - now);
        now = std::max(now, until);
    }
    EXPECT_GT(longest, 0);
    EXPECT_LT(longest, bound);
}

TEST(WorkerConduct, DurationsOfEndedJobsAreForgotten)
{
    watched_worker world;
    world.learnDuration(1000);
    EXPECT_EQ(world.durations.size(), 1U);
    jobs::cancelJob(world.table, onlyJob);
    jobs::pruneStepDurations(world.durations, world.table);
    EXPECT_TRUE(world.durations.empty());
}

} // namespace
