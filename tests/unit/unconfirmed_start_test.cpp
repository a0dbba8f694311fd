#include "tests/unit/owner_fixture.h"

//! The number of waiting jobs counts a job whose only starts had no response: it isn't known to have begun.
namespace {

using namespace almond;
using kernel::milliseconds;

const jobs::task_name onlyTask{tests::onlyJob, 0, 0, 0};

//! A session of "w", which has responded before, with a start order that has had no response.
jobs::worker_session unansweredSession()
{
    jobs::worker_session session = jobs::openSession(tests::worker("w"), {});
    session.fenced = true;
    jobs::recordUnansweredStart(session, onlyTask, 1);
    return session;
}

jobs::job_table tableWithAssignedRun()
{
    jobs::job_table table;
    jobs::addJob(table, tests::makeJob(tests::onlyJob, {tests::step(1, 500)}));
    jobs::apply(table, tests::started(onlyTask, 1, jobs::incarnationOf(tests::worker("w"))));
    return table;
}

//! Applies the end of the run on a worker whose address another one has, as the journal would return it.
jobs::job_state afterLoss(const jobs::worker_session &session)
{
    jobs::job_table table = tableWithAssignedRun();
    for (const jobs::journal_record &record : jobs::expiredRuns(session, {}, table, tests::at(20'000)))
        EXPECT_TRUE(jobs::apply(table, jobs::decodeRecord(jobs::encodeRecord(record))));
    return table.jobs.at(tests::onlyJob);
}

TEST(UnconfirmedStart, LostRunWithoutAResponseLeavesTheJobQueued)
{
    jobs::worker_session session = unansweredSession();
    session.dead = true;
    const jobs::job_state job = afterLoss(session);
    EXPECT_EQ(job.assigned, 0U);
    EXPECT_FALSE(job.hasBegun);
    EXPECT_EQ(job.status, jobs::job_status::queued);
}

TEST(UnconfirmedStart, LostRunThatWasAcceptedOrListedHasBegun)
{
    jobs::worker_session accepted = unansweredSession();
    jobs::recordAcceptedRun(accepted, onlyTask, 1, tests::at(100));
    accepted.dead = true;
    EXPECT_TRUE(afterLoss(accepted).hasBegun);
    jobs::worker_session listed = unansweredSession();
    listed.running.push_back({onlyTask, 1, "", 10, 0});
    listed.dead = true;
    EXPECT_TRUE(afterLoss(listed).hasBegun);
}

//! What an earlier owner has seen of a run isn't known: it counts as begun.
TEST(UnconfirmedStart, LostRunOfAnEarlierOwnerHasBegun)
{
    jobs::worker_session session = jobs::openSession(tests::worker("w"), {});
    session.dead = true;
    EXPECT_TRUE(afterLoss(session).hasBegun);
}

//! A record of an earlier version, which doesn't tell.
TEST(UnconfirmedStart, RecordWithoutTheMemberCountsAsBegun)
{
    const jobs::journal_record lost
        = jobs::decodeRecord(nlohmann::json::parse(R"(["ended", "00000000000000aa.0.0.0", 1, 3, ""])"));
    EXPECT_FALSE(lost.startUnconfirmed);
}

class unconfirmed_start_test : public tests::owner_fixture
{
};

//! Guards against a count of waiting jobs that leaves out a job of which no task has started: the worker that
//! it needs crashed, and its start orders were never answered (MIXED).
TEST_F(unconfirmed_start_test, JobOnACrashedWorkerIsCountedAsWaiting)
{
    ASSERT_TRUE(runUntil([this] { return workers.workers["w"].term > 0; }));
    workers.unresponsive.insert("w");
    accept(tests::makeJob(tests::onlyJob, {tests::step(1, 500)}));
    ASSERT_TRUE(runUntil([this] { return owner->statusOf(tests::onlyJob) == jobs::job_status::running; }));
    // Through the repetitions of the order and the wait for the end of the lease.
    bool isCounted = true;
    EXPECT_TRUE(runUntil([&] {
        isCounted = isCounted && owner->pendingJobCount("checks") == 1;
        return owner->statusOf(tests::onlyJob) == jobs::job_status::queued;
    }));
    EXPECT_TRUE(isCounted);
    EXPECT_EQ(owner->pendingJobCount("checks"), 1U);
}

} // namespace
