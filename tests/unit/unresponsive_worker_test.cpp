#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

//! How soon the runs on a worker that is gone expire. Until then the users of a long-running task are without
//! it.
namespace {

using namespace almond;
using tests::at;

const jobs::task_name task{tests::onlyJob, 0, 0, 0};

//! A worker with one run whose last response arrived at 1000 ms.
struct unresponsive_fixture
{
    static constexpr std::int64_t lastResponseAt = 1000;
    static constexpr std::int64_t workerClock = 50'000;

    jobs::session_rules rules;
    jobs::job_table table;
    jobs::worker_session session = jobs::openSession(tests::worker("w"), at(0));

    unresponsive_fixture()
    {
        jobs::addJob(table, tests::makeJob(tests::onlyJob, {tests::step(1, 100)}));
        jobs::apply(table, tests::started(task, 1, "w@1"));
        session.acceptedRuns[task] = {1, at(100)};
        respondAt(lastResponseAt);
    }

    void respondAt(std::int64_t now)
    {
        jobs::order_response response;
        response.outcome = jobs::order_outcome::accepted;
        response.workerClockMs = workerClock + now;
        jobs::recordResponse(session, response, at(now));
    }

    //! Sends an order at \a sentAt that extends the lease as far as allowed.
    void sendOrder(std::int64_t sentAt)
    {
        jobs::recordGrantedLease(session, *jobs::nextLeaseEnd(session, rules, at(sentAt)), rules);
    }

    std::int64_t maximumLease() const
    {
        return rules.lease.count() * 100 / (100 - rules.clockDriftPercent) + rules.leaseMargin.count();
    }

    bool hasExpired(std::int64_t now) const
    {
        return !jobs::expiredRuns(session, rules, table, at(now)).empty();
    }
};

//! Start orders that were sent again postponed the end of the lease of a lost worker, which delayed the
//! restart of its tasks.
TEST(UnresponsiveWorker, RepeatedOrdersDoNotExtendTheLease)
{
    unresponsive_fixture fixture;
    constexpr std::int64_t first = 1100;
    fixture.sendOrder(first);
    for (std::int64_t sentAt = first; sentAt < first + 4000; sentAt += 950) {
        fixture.sendOrder(sentAt);
        jobs::recordMissingResponse(fixture.session, at(sentAt));
    }
    EXPECT_FALSE(fixture.hasExpired(first + fixture.rules.lease.count()));
    EXPECT_TRUE(fixture.hasExpired(first + fixture.maximumLease()));
}

//! A failed poll was ignored if another order had a response after the poll was sent. The next poll then
//! granted a complete lease once more, and the tasks of the lost worker were restarted late.
TEST(UnresponsiveWorker, AFailedPollThatWasDueAfterTheLastResponseCounts)
{
    unresponsive_fixture fixture;
    constexpr std::int64_t sentAt = unresponsive_fixture::lastResponseAt - 100;
    fixture.sendOrder(sentAt);
    jobs::recordMissingResponse(fixture.session, at(sentAt), kernel::milliseconds(500));
    fixture.sendOrder(unresponsive_fixture::lastResponseAt + 1450);
    jobs::recordMissingResponse(fixture.session, at(unresponsive_fixture::lastResponseAt + 1450));
    EXPECT_TRUE(fixture.hasExpired(unresponsive_fixture::lastResponseAt + fixture.maximumLease()));
}

//! A poll whose response is delayed through no fault of the worker does not make the worker unresponsive.
TEST(UnresponsiveWorker, AFailedPollThatWasDueBeforeTheLastResponseDoesNotCount)
{
    unresponsive_fixture fixture;
    jobs::recordMissingResponse(fixture.session, at(unresponsive_fixture::lastResponseAt - 600),
                                kernel::milliseconds(500));
    EXPECT_FALSE(jobs::isUnresponsive(fixture.session, fixture.rules,
                                      at(unresponsive_fixture::lastResponseAt + 60'000)));
}

//! A worker that has only lost responses gets new leases as before once it responds.
TEST(UnresponsiveWorker, AfterAResponseLeasesAreExtendedAgain)
{
    unresponsive_fixture fixture;
    fixture.sendOrder(1100);
    jobs::recordMissingResponse(fixture.session, at(1100));
    fixture.respondAt(2500);
    const std::int64_t granted = *jobs::nextLeaseEnd(fixture.session, fixture.rules, at(2600));
    EXPECT_GE(granted, unresponsive_fixture::workerClock + 2500 + fixture.rules.lease.count());
}

} // namespace
