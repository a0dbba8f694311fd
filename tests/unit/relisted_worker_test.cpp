#include "tests/unit/owner_fixture.h"

//! Workers whose entry in the list of workers lapses and returns while they run on.
namespace {

using namespace almond;
using kernel::milliseconds;

class relisted_worker_test : public tests::owner_fixture
{
protected:
    static constexpr const char *firstJob = "00000000000000bb";

    void leaveList() { owner->updateWorker("w", std::nullopt); }
    void returnToList() { owner->updateWorker("w", tests::worker("w")); }

    //! Runs a task to its end on the worker. The response to the poll that acknowledges the end is under way
    //! for \a delay.
    void endTaskBeforeSlowPoll(milliseconds delay)
    {
        accept(tests::makeJob(firstJob, {tests::step(1, 500)}));
        ASSERT_TRUE(runUntil([this] { return owner->counters().starts == 1; }));
        workers.endAll(jobs::run_end::done);
        ASSERT_TRUE(runUntil([this] {
            return !workers.workers["w"].ended.empty()
                && owner->statusOf(firstJob) == jobs::job_status::completed;
        }));
        workers.pollResponseDelay = delay;
        ASSERT_TRUE(runUntil(
            [this] { return workers.pollsInFlight["w"] == 1 && workers.workers["w"].acknowledged == 1; }));
        workers.pollResponseDelay = milliseconds(0);
        workers.starts.clear();
    }
};

//! The worker got a second session and a second polling loop. The loop of the first session knew nothing of
//! the start orders of the second one, and recorded as lost what was just being started, so that the same
//! owner started it again while it ran (TWICE, issue 36).
TEST_F(relisted_worker_test, RunIsNotRepeatedWhenTheEntryLapsedDuringAPoll)
{
    endTaskBeforeSlowPoll(milliseconds(600));
    leaveList();
    runFor(milliseconds(250));
    returnToList();
    runFor(milliseconds(50));
    workers.startOrderDelays[1] = milliseconds(100);
    accept(tests::makeJob(tests::onlyJob, {tests::step(1, 500)}));
    ASSERT_TRUE(runUntil([this] { return !workers.starts.empty(); }));
    runFor(milliseconds(600));
    EXPECT_EQ(workers.starts.size(), 1U);
    EXPECT_EQ(workers.mostPollsInFlight, 1U);
    workers.endAll(jobs::run_end::done);
    EXPECT_TRUE(runUntil([this] { return owner->statusOf(tests::onlyJob) == jobs::job_status::completed; }));
    EXPECT_EQ(workers.starts.size(), 1U);
}

} // namespace
