#include "tests/unit/owner_fixture.h"

//! Facts about one incarnation of a worker that decide about what the next one does.
namespace {

using namespace almond;
using kernel::milliseconds;

class next_incarnation_test : public tests::owner_fixture
{
protected:
    static constexpr const char *earlierJob = "00000000000000bb";

    void listOtherWorker() { owner->updateWorker("v", tests::worker("v")); }

    void listIncarnation(std::int64_t bornMs)
    {
        jobs::worker_info info = tests::worker("w");
        info.bornMs = bornMs;
        owner->updateWorker("w", info);
    }

    bool isCompleted(const char *job) { return owner->statusOf(job) == jobs::job_status::completed; }
};

//! The earlier incarnation confirmed the stop of a run whose start order was still under way. The new one
//! knew nothing of that stop and executed the start order, while the task had been started elsewhere (TWICE).
TEST_F(next_incarnation_test, StopConfirmedBeforeARestartDoesNotDecideAfterIt)
{
    workers.lateStarts = 1;
    workers.lateStartTime = milliseconds(900);
    accept(tests::makeJob(tests::onlyJob, {tests::step(1, 500)}));
    ASSERT_TRUE(runUntil([this] { return workers.startOrders == 1; }));
    const std::uint64_t stops = owner->counters().stops;
    jobs::worker_info leaving = tests::worker("w");
    leaving.leaving = true;
    owner->updateWorker("w", leaving);
    // The stop order is answered at once. The worker restarts before a list of runs confirms it.
    ASSERT_TRUE(runUntil([this, stops] { return owner->counters().stops > stops; }));
    workers.restart("w");
    listIncarnation(2);
    listOtherWorker();
    runFor(milliseconds(1500));
    EXPECT_EQ(workers.overlappingStarts, 0);
    EXPECT_EQ(workers.starts.size(), 1U);
    workers.endAll(jobs::run_end::done);
    EXPECT_TRUE(runUntil([this] { return isCompleted(tests::onlyJob); }));
}

//! A worker restarted between the response to a poll and the next poll, which acknowledged an end of the
//! earlier incarnation. The new one forgot the end that had the same number, and its run was repeated
//! (TWICE). The acknowledgement is meant for the earlier incarnation: the new one only returns its list.
TEST_F(next_incarnation_test, AcknowledgementForTheEarlierIncarnationDoesNotRepeatARunThatIsDone)
{
    accept(tests::makeJob(earlierJob, {tests::step(1, 500)}));
    ASSERT_TRUE(runUntil([this] { return owner->counters().starts == 1; }));
    workers.endAll(jobs::run_end::done);
    // The end has been read and committed, and is not acknowledged yet.
    ASSERT_TRUE(runUntil([this] { return isCompleted(earlierJob); }));
    ASSERT_EQ(workers.workers["w"].acknowledged, 0U);
    workers.starts.clear();
    workers.acknowledgementsForEarlier = 0;
    workers.restart("w");
    ASSERT_TRUE(runUntil([this] { return workers.acknowledgementsForEarlier > 0; }));
    EXPECT_EQ(workers.workers["w"].acknowledged, 0U);
    listIncarnation(2);
    workers.endImmediately = true;
    accept(tests::makeJob(tests::onlyJob, {tests::step(1, 500)}));
    ASSERT_TRUE(runUntil([this] { return !workers.starts.empty(); }));
    runFor(milliseconds(300));
    EXPECT_EQ(workers.starts.size(), 1U);
}

//! The record of the stop of an earlier run replaced that of a later run at the same worker.
TEST(StoppedStarts, EarlierRunDoesNotReplaceALaterOne)
{
    jobs::worker_session session;
    const jobs::task_name task{"00000000000000bb", 0, 0, 0};
    const kernel::time_point now = kernel::monotonicNow();
    jobs::recordStartStopped(session, task, 2, now);
    jobs::recordStartStopped(session, task, 1, now);
    EXPECT_EQ(session.stoppedStarts.at(task).first, 2U);
}

} // namespace
