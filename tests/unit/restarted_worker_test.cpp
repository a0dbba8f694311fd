#include "tests/unit/owner_fixture.h"

//! Workers that restart while a start order is under way to them, and the new incarnation accepts it all the
//! same.
namespace {

using namespace almond;
using kernel::milliseconds;

class restarted_worker_test : public tests::owner_fixture
{
protected:
    static jobs::worker_info incarnation(std::int64_t bornMs)
    {
        jobs::worker_info info = tests::worker("w");
        info.bornMs = bornMs;
        return info;
    }

    void SetUp() override
    {
        owner_fixture::SetUp();
        workers.checksIncarnation = false;
        // Until the worker has responded, nothing is placed on it.
        ASSERT_TRUE(runUntil([this] { return owner->counters().polls >= 1; }));
        runFor(milliseconds(50));
    }

    void listOtherWorker() { owner->updateWorker("v", tests::worker("v")); }

    //! Runs a task to its end, so that a run end with the number 1 is acknowledged to the worker.
    void runOneTask()
    {
        workers.endImmediately = true;
        accept(tests::makeJob("00000000000000bb", {tests::step(1, 500)}));
        ASSERT_TRUE(runUntil([this] { return workers.workers["w"].acknowledged == 1; }));
        workers.endImmediately = false;
        workers.starts.clear();
    }

    bool isCompleted() const { return owner->statusOf(tests::onlyJob) == jobs::job_status::completed; }

    //! Checks that the only run of the job goes on to its end.
    void expectOneRun()
    {
        runFor(milliseconds(600));
        EXPECT_EQ(workers.starts.size(), 1U);
        EXPECT_EQ(workers.overlappingStarts, 0);
        workers.endAll(jobs::run_end::done);
        EXPECT_TRUE(runUntil([this] { return isCompleted(); }));
        EXPECT_EQ(workers.starts.size(), 1U);
    }
};

//! A run that the new incarnation had accepted was recorded as lost when a poll showed the restart, and was
//! started again elsewhere (TWICE, review/4).
TEST_F(restarted_worker_test, RunAcceptedByTheNewIncarnationIsNotRepeatedWhenAPollShowsTheRestart)
{
    workers.restart("w");
    accept(tests::makeJob(tests::onlyJob, {tests::step(1, 500)}));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 1; }));
    listOtherWorker();
    expectOneRun();
}

//! The same if the list of workers shows the restart first.
TEST_F(restarted_worker_test, RunAcceptedByTheNewIncarnationIsNotRepeatedWhenTheListShowsTheRestart)
{
    listOtherWorker();
    runFor(milliseconds(50));
    owner->updateWorker("v", std::nullopt);
    workers.startResponseDelays[1] = milliseconds(200);
    workers.restart("w");
    accept(tests::makeJob(tests::onlyJob, {tests::step(1, 500)}));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 1; }));
    owner->updateWorker("w", incarnation(2));
    listOtherWorker();
    expectOneRun();
}

//! The same if the run ends before the restart is known. The numbers of run ends start anew, so that an
//! acknowledgement meant for the earlier incarnation made the worker forget the end.
TEST_F(restarted_worker_test, RunDoneByTheNewIncarnationIsNotRepeated)
{
    runOneTask();
    workers.restart("w");
    workers.endImmediately = true;
    accept(tests::makeJob(tests::onlyJob, {tests::step(1, 500)}));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 1; }));
    listOtherWorker();
    owner->updateWorker("w", incarnation(2));
    EXPECT_TRUE(runUntil([this] { return isCompleted(); }));
    EXPECT_EQ(workers.starts.size(), 1U);
}

//! An order that was sent before the restart and arrives after it is carried out. Its run was started
//! elsewhere meanwhile.
TEST_F(restarted_worker_test, OrderThatArrivesAfterTheRestartIsNotRepeatedElsewhere)
{
    workers.startOrderDelays[1] = milliseconds(300);
    accept(tests::makeJob(tests::onlyJob, {tests::step(1, 500)}));
    runFor(milliseconds(150));
    ASSERT_TRUE(workers.starts.empty());
    workers.restart("w");
    owner->updateWorker("w", incarnation(2));
    listOtherWorker();
    ASSERT_TRUE(runUntil([this] { return !workers.starts.empty(); }));
    expectOneRun();
}

//! If the response to such an order is lost as well, the run is stopped before it is started again.
TEST_F(restarted_worker_test, OrderWithoutAResponseIsStoppedAtTheNewIncarnation)
{
    workers.startOrderDelays[1] = milliseconds(300);
    workers.startResponsesToLose = 1;
    accept(tests::makeJob(tests::onlyJob, {tests::step(1, 500)}));
    runFor(milliseconds(150));
    workers.restart("w");
    owner->updateWorker("w", incarnation(2));
    listOtherWorker();
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 2; }));
    runFor(milliseconds(400));
    EXPECT_EQ(workers.starts.size(), 2U);
    EXPECT_EQ(workers.overlappingStarts, 0);
    workers.endAll(jobs::run_end::done);
    EXPECT_TRUE(runUntil([this] { return isCompleted(); }));
}

//! A worker that really has lost its runs restarts them soon.
TEST_F(restarted_worker_test, RunsOfTheEarlierIncarnationAreStartedAgain)
{
    accept(tests::makeJob(tests::onlyJob, {tests::step(2, 500)}));
    ASSERT_TRUE(runUntil([this] { return owner->counters().starts == 2; }));
    workers.restart("w");
    owner->updateWorker("w", incarnation(2));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 4; }));
    workers.endAll(jobs::run_end::done);
    EXPECT_TRUE(runUntil([this] { return isCompleted(); }));
    EXPECT_EQ(workers.starts.size(), 4U);
}

//! A wrong entry of another writer names an incarnation that does not exist. The worker's own list decides.
TEST_F(restarted_worker_test, RunsGoOnWhenTheListNamesAnIncarnationThatDoesNotExist)
{
    accept(tests::makeJob(tests::onlyJob, {tests::step(1, 500)}));
    ASSERT_TRUE(runUntil([this] { return owner->counters().starts == 1; }));
    listOtherWorker();
    owner->updateWorker("w", incarnation(0));
    runFor(milliseconds(200));
    owner->updateWorker("w", incarnation(1));
    expectOneRun();
}

//! A successor reads in the journal that the earlier incarnation has the run, and in the list of workers that
//! there is a new one.
TEST_F(restarted_worker_test, SuccessorDoesNotRepeatARunThatTheNewIncarnationHasAccepted)
{
    workers.restart("w");
    accept(tests::makeJob(tests::onlyJob, {tests::step(1, 500)}));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 1; }));
    owner->resign("replaced");
    runFor(milliseconds(200));
    startOwner(2, [this] {
        owner->updateWorker("w", incarnation(2));
        listOtherWorker();
    });
    expectOneRun();
}

} // namespace
