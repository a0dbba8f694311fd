#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

//! How soon the runs of a worker that is gone for good are counted as over. Users of a lasting task are
//! without it until then.
namespace {

using namespace almond;
using tests::at;

const jobs::task_name task{tests::onlyJob, 0, 0, 0};

//! A worker with one run that has answered for the last time at 1000.
struct last_heard
{
    static constexpr std::int64_t lastResponseAt = 1000;
    static constexpr std::int64_t workerClock = 50'000;

    jobs::session_rules rules;
    jobs::job_table table;
    jobs::worker_session session = jobs::openSession(tests::worker("w"), at(0));

    last_heard()
    {
        jobs::addJob(table, tests::makeJob(tests::onlyJob, {tests::step(1, 100)}));
        jobs::apply(table, tests::started(task, 1, "w@1"));
        session.acceptedRuns[task] = {1, at(100)};
        noteAnswerAt(lastResponseAt);
    }

    void noteAnswerAt(std::int64_t now)
    {
        jobs::order_response answer;
        answer.outcome = jobs::order_outcome::accepted;
        answer.workerClockMs = workerClock + now;
        jobs::recordResponse(session, answer, at(now));
    }

    //! An order that leaves at \a sentAt and extends the lease as far as it may.
    void order(std::int64_t sentAt)
    {
        jobs::recordGrantedLease(session, *jobs::nextLeaseEnd(session, rules, at(sentAt)), rules);
    }

    std::int64_t longestLease() const
    {
        return rules.lease.count() * 100 / (100 - rules.clockDriftPercent) + rules.leaseMargin.count();
    }

    bool isOver(std::int64_t now) const { return !jobs::expiredRuns(session, rules, table, at(now)).empty(); }
};

//! LOST on tichomer-ba-grown: start orders that were given again moved the end of a lost worker's lease.
TEST(SilentWorker, OrdersThatAreGivenAgainGrantItNoMoreTime)
{
    last_heard world;
    constexpr std::int64_t first = 1100;
    world.order(first);
    for (std::int64_t sentAt = first; sentAt < first + 4000; sentAt += 950) {
        world.order(sentAt);
        jobs::recordMissingResponse(world.session, at(sentAt));
    }
    EXPECT_FALSE(world.isOver(first + world.rules.lease.count()));
    EXPECT_TRUE(world.isOver(first + world.longestLease()));
}

//! Late restart of a lost worker's tasks: a look that failed counted for nothing if another order had been
//! answered after it left, and the next look granted a whole lease more.
TEST(SilentWorker, ALookThatWasDueAfterTheLastAnswerBeginsTheSilence)
{
    last_heard world;
    constexpr std::int64_t sentAt = last_heard::lastResponseAt - 100;
    world.order(sentAt);
    jobs::recordMissingResponse(world.session, at(sentAt), kernel::milliseconds(500));
    world.order(last_heard::lastResponseAt + 1450);
    jobs::recordMissingResponse(world.session, at(last_heard::lastResponseAt + 1450));
    EXPECT_TRUE(world.isOver(last_heard::lastResponseAt + world.longestLease()));
}

//! A look that was answered late by no fault of the worker's begins no silence.
TEST(SilentWorker, ALookThatWasDueBeforeTheLastAnswerBeginsNoSilence)
{
    last_heard world;
    jobs::recordMissingResponse(world.session, at(last_heard::lastResponseAt - 600),
                                kernel::milliseconds(500));
    EXPECT_FALSE(jobs::isUnresponsive(world.session, world.rules, at(last_heard::lastResponseAt + 60'000)));
}

//! An answer ends the silence: a worker that only lost answers is granted time as before.
TEST(SilentWorker, AfterAnAnswerItIsGrantedTimeAgain)
{
    last_heard world;
    world.order(1100);
    jobs::recordMissingResponse(world.session, at(1100));
    world.noteAnswerAt(2500);
    const std::int64_t granted = *jobs::nextLeaseEnd(world.session, world.rules, at(2600));
    EXPECT_GE(granted, last_heard::workerClock + 2500 + world.rules.lease.count());
}

} // namespace
