#include "tests/unit/owner_fixture.h"

//! Start orders without a response, which are stopped before their task is started elsewhere.
namespace {

using namespace almond;
using kernel::milliseconds;

class unconfirmed_stop_test : public tests::owner_fixture
{
protected:
    static constexpr const char *longJob = "00000000000000bb";

    void listOtherWorker() { owner->updateWorker("v", tests::worker("v")); }

    //! The worker takes no more tasks, so that a start order without a response is not repeated but stopped.
    void announceLeaving()
    {
        jobs::worker_info leaving = tests::worker("w");
        leaving.leaving = true;
        owner->updateWorker("w", leaving);
    }

    //! Starts a task that keeps the worker busy, so that it is polled all the time.
    void startLongTask()
    {
        accept(tests::makeJob(longJob, {tests::step(1, 500)}));
        ASSERT_TRUE(runUntil([this] { return owner->counters().starts == 1; }));
        runFor(milliseconds(30));
    }

    //! Sends a start order that the worker executes late and without a response.
    void sendLateStart()
    {
        workers.lateStarts = 1;
        const int before = workers.startOrders;
        accept(tests::makeJob(tests::onlyJob, {tests::step(1, 500)}));
        ASSERT_TRUE(runUntil([this, before] { return workers.startOrders > before; }));
    }

    void expectNoOverlap()
    {
        runFor(milliseconds(1200));
        EXPECT_EQ(workers.overlappingStarts, 0);
        workers.endAll(jobs::run_end::done);
        EXPECT_TRUE(
            runUntil([this] { return owner->statusOf(tests::onlyJob) == jobs::job_status::completed; }));
        EXPECT_EQ(workers.overlappingStarts, 0);
    }
};

//! A stop order that an unhealthy worker turned away counted as carried out. The task was started elsewhere,
//! and the late start order of the run was executed beside it (TWICE).
TEST_F(unconfirmed_stop_test, TaskIsNotStartedElsewhereAfterARefusedStop)
{
    startLongTask();
    sendLateStart();
    workers.stopsToRefuse = 1;
    announceLeaving();
    listOtherWorker();
    expectNoOverlap();
}

//! A list of runs that the worker had made before the start order arrived, and whose response came after the
//! stop, showed the run as lost while it was still stopping (TWICE).
TEST_F(unconfirmed_stop_test, ListFromBeforeTheStopDoesNotDecide)
{
    startLongTask();
    workers.pollResponseDelay = milliseconds(600);
    runFor(milliseconds(30));
    workers.pollResponseDelay = milliseconds(0);
    workers.lateStartTime = milliseconds(100);
    workers.stopTime = milliseconds(1000);
    sendLateStart();
    announceLeaving();
    listOtherWorker();
    expectNoOverlap();
}

//! A worker that was stopping a run which no job has assigned to it was polled as fast as it responded, and
//! each poll ordered the stop again.
TEST_F(unconfirmed_stop_test, AWorkerThatIsStoppingItsLastRunIsNotPolledInABusyLoop)
{
    workers.stopTime = milliseconds(300);
    workers.workers["w"].runs["00000000000000cc.0.0.0"] = {1, false};
    workers.endImmediately = true;
    accept(tests::makeJob(tests::onlyJob, {tests::step(1, 500)}));
    ASSERT_TRUE(runUntil([this] { return owner->statusOf(tests::onlyJob) == jobs::job_status::completed; }));
    runFor(milliseconds(30));
    const int before = workers.pollsWithoutWait;
    runFor(milliseconds(200));
    EXPECT_LE(workers.pollsWithoutWait - before, 5);
}

} // namespace
