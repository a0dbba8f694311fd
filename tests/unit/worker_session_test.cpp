#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

//! What an owner may conclude from a worker's answers and silences. Each test but the first ones is a fault
//! that a day on the users' bench has shown.
namespace {

using namespace almond;
using jobs::order_outcome;
using jobs::run_end;
using tests::at;

constexpr const char *jobId = "00000000000000aa";
const jobs::task_name task{jobId, 0, 0, 0};

jobs::poll_response answered(std::int64_t clockMs)
{
    jobs::poll_response answer;
    answer.result.outcome = order_outcome::accepted;
    answer.result.workerClockMs = clockMs;
    answer.bornMs = 1;
    return answer;
}

struct met
{
    jobs::session_rules rules;
    jobs::job_table table;
    jobs::worker_session session = jobs::openSession(tests::worker("w"), at(0));

    met()
    {
        jobs::addJob(table, tests::makeJob(jobId, {tests::step(1, 100)}));
        jobs::applyPoll(session, answered(1000), table, at(100), at(110));
    }

    void plan(std::uint32_t run) { jobs::apply(table, tests::started(task, run, "w@1")); }
};

TEST(WorkerSession, ARunThatTheWorkerAcceptedAndNoLongerShowsIsLost)
{
    met world;
    world.plan(1);
    world.session.acceptedRuns[task] = {1, at(200)};
    const auto records = jobs::applyPoll(world.session, answered(1200), world.table, at(300), at(310));
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records.front().end, run_end::lost);
}

TEST(WorkerSession, ARunThatIsPlannedButNotOrderedYetIsNotLost)
{
    met world;
    world.plan(1);
    world.session.pendingStarts[task] = 1;
    EXPECT_TRUE(jobs::applyPoll(world.session, answered(1200), world.table, at(300), at(310)).empty());
    EXPECT_TRUE(jobs::expiredRuns(world.session, world.rules, world.table, at(900'000)).empty());
}

TEST(WorkerSession, AnEarlierRunsEndThatIsListedAgainLosesNoLaterRun)
{
    met world;
    world.plan(2);
    world.session.acceptedRuns[task] = {2, at(400)};
    jobs::poll_response answer = answered(1300);
    answer.ended.push_back({1, task, 1, run_end::failed, ""});
    // The look was sent before the second run was accepted, so that it can't show it.
    EXPECT_TRUE(jobs::applyPoll(world.session, answer, world.table, at(390), at(410)).empty());
    EXPECT_TRUE(world.session.acceptedRuns.contains(task));
}

TEST(WorkerSession, ASilentWorkersLeaseEndsAndItsRunsAreLost)
{
    met world;
    world.plan(1);
    world.session.acceptedRuns[task] = {1, at(200)};
    std::int64_t lastGrant = 0;
    for (std::int64_t now = 300; now < 20'000; now += 500) {
        const std::int64_t leaseEnd = *jobs::nextLeaseEnd(world.session, world.rules, at(now));
        jobs::recordGrantedLease(world.session, leaseEnd, world.rules);
        lastGrant = std::max(lastGrant, leaseEnd);
        jobs::recordMissingResponse(world.session, at(now));
    }
    // The worker's clock showed 1000 at 110 and runs 2 percent slow.
    const std::int64_t over = 110 + (lastGrant - 1000) * 100 / 98;
    EXPECT_TRUE(jobs::expiredRuns(world.session, world.rules, world.table, at(over)).empty());
    EXPECT_EQ(jobs::expiredRuns(world.session, world.rules, world.table, at(over + 400)).size(), 1U);
    const std::int64_t bound = 300 + world.rules.lease.count() * 102 / 98 + 500;
    EXPECT_LE(over + 400, bound);
}

TEST(WorkerSession, TheLeaseCountsAsOverOnlyAfterTheSlowestClockHasPassedIt)
{
    met world;
    world.plan(1);
    const std::int64_t leaseEnd = *jobs::nextLeaseEnd(world.session, world.rules, at(110));
    jobs::recordGrantedLease(world.session, leaseEnd, world.rules);
    // The worker's clock showed 1000 at 110 and runs 2 percent slow.
    const std::int64_t over = 110 + (leaseEnd - 1000) * 100 / 98;
    jobs::recordMissingResponse(world.session, at(120));
    EXPECT_TRUE(jobs::expiredRuns(world.session, world.rules, world.table, at(over)).empty());
    EXPECT_FALSE(jobs::expiredRuns(world.session, world.rules, world.table, at(over + 400)).empty());
}

//! An owner that is slow to reach its workers would else start their tasks a second time.
TEST(WorkerSession, TheClockAloneEndsNoRunOfAWorkerThatHasNotBeenFoundSilent)
{
    met world;
    world.plan(1);
    EXPECT_TRUE(jobs::expiredRuns(world.session, world.rules, world.table, at(900'000)).empty());
}

TEST(WorkerSession, AnotherLifeEndsEveryRunAtOnce)
{
    met world;
    world.plan(1);
    jobs::poll_response answer = answered(10);
    answer.bornMs = 2;
    jobs::applyPoll(world.session, answer, world.table, at(300), at(310));
    EXPECT_TRUE(world.session.dead);
    EXPECT_EQ(jobs::expiredRuns(world.session, world.rules, world.table, at(311)).size(), 1U);
}

TEST(WorkerSession, ALostRunResumesAtTheNewestCheckpointThatWasSeen)
{
    met world;
    world.plan(1);
    jobs::poll_response answer = answered(1200);
    answer.running.push_back({task, 1, "c7", 40, 0});
    jobs::applyPoll(world.session, answer, world.table, at(300), at(310));
    world.session.dead = true;
    const auto records = jobs::expiredRuns(world.session, world.rules, world.table, at(320));
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records.front().checkpoint, "c7");
}

TEST(WorkerSession, WhatRunsWithoutAnOpenJobIsUnwanted)
{
    met world;
    world.plan(1);
    jobs::poll_response answer = answered(1200);
    answer.running.push_back({task, 1, "", 100, 0});
    answer.running.push_back({{jobId, 0, 0, 7}, 3, "", 100, 0});
    jobs::applyPoll(world.session, answer, world.table, at(300), at(310));
    EXPECT_EQ(jobs::unwantedRuns(world.session, world.table).size(), 1U);
    jobs::cancelJob(world.table, jobId);
    EXPECT_EQ(jobs::unwantedRuns(world.session, world.table).size(), 2U);
}

TEST(WorkerSession, NothingGoesToAWorkerThatLeavesIsSilentOrHasNotAnswered)
{
    met world;
    EXPECT_TRUE(jobs::acceptsNewTasks(world.session, world.rules, at(200)));
    EXPECT_FALSE(jobs::acceptsNewTasks(jobs::openSession(tests::worker("x"), at(0)), world.rules, at(200)));
    world.session.info.leaving = true;
    EXPECT_FALSE(jobs::acceptsNewTasks(world.session, world.rules, at(200)));
    world.session.info.leaving = false;
    jobs::recordMissingResponse(world.session, at(300));
    EXPECT_FALSE(jobs::acceptsNewTasks(world.session, world.rules, at(300 + 1201)));
}

} // namespace
