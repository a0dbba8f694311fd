#include "tests/unit/owner_fixture.h"

//! A worker that was silent for longer than its lease, and is back.
namespace {

using namespace almond;
using kernel::milliseconds;

class returned_worker_test : public tests::owner_fixture
{
protected:
    //! Starts a task of \a step and lets its worker be silent until the run counts as lost.
    void loseTheWorker(const jobs::step_spec &step)
    {
        accept(tests::makeJob(tests::onlyJob, {step}));
        ASSERT_TRUE(runUntil([this] { return owner->counters().starts == 1; }));
        workers.unresponsive.insert("w");
        ASSERT_TRUE(runUntil([this] {
            const auto tasks = owner->explain(tests::onlyJob).at("openTasks");
            return !tasks.empty() && tasks.front().at("waitsFor") == "room";
        }));
    }

    bool isCompleted() { return owner->statusOf(tests::onlyJob) == jobs::job_status::completed; }
};

//! Guards against a run that ended as done while its worker was silent: its end was acknowledged but not
//! counted, and the task ran once more (TWICE).
TEST_F(returned_worker_test, RunThatWasDoneInTheSilenceIsNotRepeated)
{
    loseTheWorker(tests::step(1, 500));
    workers.endAll(jobs::run_end::done);
    workers.unresponsive.clear();
    EXPECT_TRUE(runUntil([this] { return isCompleted(); }));
    EXPECT_EQ(workers.starts.size(), 1U);
}

//! Guards against a worker that is back and gets no tasks for seconds, since it is not polled while nothing
//! is assigned to it: what is to last did not run although there was room (LOST).
TEST_F(returned_worker_test, WorkerIsUsedAgainWithinASecondOfItsReturn)
{
    jobs::step_spec step = tests::step(1, 500);
    step.longRunning = true;
    loseTheWorker(step);
    runFor(milliseconds(600));
    workers.endAll(jobs::run_end::lost);
    workers.unresponsive.clear();
    const kernel::time_point returnedAt = kernel::monotonicNow();
    EXPECT_TRUE(runUntil([this] { return workers.starts.size() == 2; }));
    EXPECT_LT(kernel::monotonicNow() - returnedAt, milliseconds(1000));
}

} // namespace
