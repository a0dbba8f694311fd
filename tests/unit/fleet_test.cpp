#include "fleet/caller_service.h"
#include "fleet/job_owner.h"
#include "tests/fakes/fake_fleet.h"
#include "tests/fakes/shared_store.h"
#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

#include <set>

//! Jobs from acceptance to completion over one or more owners, with the store and the workers in memory.
namespace {

using namespace almond;
using jobs::job_status;
using kernel::task;

constexpr const char *jobId = "00000000000000aa";

class fleet_day : public testing::Test
{
protected:
    boost::asio::io_context context;
    fakes::shared_store store;
    fakes::fake_fleet workers;
    wire::peer_link peers{context};
    std::shared_ptr<const jobs::fleet_config> config
        = std::make_shared<const jobs::fleet_config>(tests::fleetConfig());
    std::shared_ptr<fleet::job_owner> owner;
    fleet::owner_view view;
    kernel::milliseconds workersAge{0};
    std::vector<std::string> listed{"v", "w"};
    jobs::session_rules sessions;

    void TearDown() override
    {
        if (owner)
            owner->resign("the test is over");
        context.restart();
        context.run_for(std::chrono::milliseconds(700));
    }

    //! Runs the loop until \a reached holds; false when it does not within the bound.
    bool runUntil(const std::function<bool()> &reached)
    {
        constexpr std::chrono::seconds bound{20};
        const auto end = std::chrono::steady_clock::now() + bound;
        while (!reached() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(20));
        }
        return reached();
    }

    template<typename T>
    T await(task<T> work)
    {
        std::optional<T> result;
        boost::asio::co_spawn(context, std::move(work),
                              [&result](const std::exception_ptr &, T value) { result = std::move(value); });
        runUntil([&result] { return result.has_value(); });
        return std::move(result.value());
    }

    fleet::caller_service callers()
    {
        fleet::caller_context needs;
        needs.store = store.api();
        needs.clock = kernel::monotonicNow;
        needs.unixClock = kernel::systemNow;
        needs.peers = &peers;
        needs.owner = [this] { return view; };
        needs.local = [this] { return owner; };
        return fleet::caller_service(std::move(needs));
    }

    //! Takes the office as a new process, which replaces whoever holds it.
    void takeOffice()
    {
        store.erase(fleet::election_key::owner);
        view.termRevision = store.revisionOf(fleet::election_key::term);
        const auto won = await(
            fleet::tryTakeOffice(store.api(), "a:1", view, fleet::election_rules{}, kernel::monotonicNow()));
        ASSERT_TRUE(won);
        view.term = won->term;
        fleet::owner_services services;
        services.processId = "process-" + std::to_string(won->term);
        services.store = store.api();
        services.workers = workers.port();
        services.clock = kernel::monotonicNow;
        services.unixClock = kernel::systemNow;
        services.config = [this] { return config; };
        services.configConfirmedAt = kernel::monotonicNow;
        services.workersConfirmedAt = [this] { return kernel::monotonicNow() - workersAge; };
        services.mayRenew = [] { return true; };
        services.rules.sessions = sessions;
        owner = std::make_shared<fleet::job_owner>(context, std::move(services), *won);
        for (const std::string &id : listed)
            owner->takeWorker(id, tests::worker(id));
        ASSERT_TRUE(await(owner->load()));
        owner->start();
    }

    //! A later configuration without the queue \a name comes into force.
    void dropQueue(const std::string &name)
    {
        auto next = std::make_shared<jobs::fleet_config>(*config);
        ++next->version;
        next->queues.erase(name);
        config = next;
    }

    bool isStatus(job_status wanted) const { return owner->statusOf(jobId) == wanted; }

    //! Every task must have been started once, with the run 1.
    void expectStartedOnce(std::size_t tasks) const
    {
        std::set<std::string> names;
        for (const fakes::fake_fleet::start_seen &start : workers.starts)
            EXPECT_TRUE(names.insert(start.task).second) << start.task << " started twice";
        EXPECT_EQ(names.size(), tasks);
    }
};

jobs::job twoSteps()
{
    auto second = tests::step(2, 500);
    second.after = {0};
    return tests::makeJob(jobId, {tests::step(3, 500), second});
}

//! \a made as a gateway accepts it under \a config.
jobs::job acceptedUnder(jobs::job made, const jobs::fleet_config &config)
{
    made.queueAtAcceptance = jobs::versionOf(config, config.queues.at(made.queue));
    return made;
}

TEST_F(fleet_day, AJobRunsStepByStepAndIsShownAsCompletedOnce)
{
    takeOffice();
    fleet::caller_service service = callers();
    ASSERT_EQ(await(service.submit(twoSteps(), kernel::milliseconds(1000))), fleet::call_outcome::ok);
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 3; }));
    EXPECT_TRUE(isStatus(job_status::running));
    workers.endAll(jobs::run_end::done);
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 5; }));
    workers.endAll(jobs::run_end::done);
    ASSERT_TRUE(runUntil([this] { return isStatus(job_status::completed); }));
    expectStartedOnce(5);
}

TEST_F(fleet_day, TheSameJobHandedInAgainStaysOneJob)
{
    takeOffice();
    fleet::caller_service service = callers();
    for (int time = 0; time < 3; ++time)
        EXPECT_EQ(await(service.submit(twoSteps(), kernel::milliseconds(1000))), fleet::call_outcome::ok);
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 3; }));
    expectStartedOnce(3);
}

TEST_F(fleet_day, ASuccessorGoesOnWithoutStartingAnythingTwice)
{
    takeOffice();
    fleet::caller_service service = callers();
    await(service.submit(twoSteps(), kernel::milliseconds(1000)));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 3; }));
    const auto first = owner;
    takeOffice();
    // The earlier owner learns from a worker or the journal that it was replaced.
    ASSERT_TRUE(runUntil([&first] { return first->isOver(); }));
    workers.endAll(jobs::run_end::done);
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 5; }));
    workers.endAll(jobs::run_end::done);
    ASSERT_TRUE(runUntil([this] { return isStatus(job_status::completed); }));
    expectStartedOnce(5);
}

//! LOST on tichomer-ba-grown: while hosts were restarted in turn, each new owner waited the longest time that
//! its predecessor might have renewed leases before it counted the runs of a worker that had left as over.
TEST_F(fleet_day, PlannedChangesOfTheOwnerDoNotBeginTheWaitForALostWorkerAnew)
{
    listed = {"v", "w", "x"};
    sessions.lease = kernel::milliseconds(1500);
    sessions.unresponsiveAfter = kernel::milliseconds(300);
    takeOffice();
    // There is none before the first owner.
    owner->noteFormerHoldersOver();
    fleet::caller_service service = callers();
    auto lasting = tests::step(2, 20'000);
    lasting.longRunning = true;
    await(service.submit(tests::makeJob(jobId, {lasting}), kernel::milliseconds(1000)));
    ASSERT_TRUE(runUntil([this] { return owner->counters().starts == 2; }));
    workers.silent.insert(workers.starts.back().worker);
    std::erase(listed, workers.starts.back().worker);
    owner->takeWorker(workers.starts.back().worker, std::nullopt);
    const auto lost = std::chrono::steady_clock::now();
    const auto restarted = [this] { return workers.starts.size() == 3; };
    const auto passed
        = [&lost](int ms) { return std::chrono::steady_clock::now() - lost > std::chrono::milliseconds(ms); };
    // Each owner is stopped before the lease is over.
    for (const int stopAt : {500, 900, 1300}) {
        runUntil([&] { return passed(stopAt); });
        ASSERT_TRUE(await([](std::shared_ptr<fleet::job_owner> present) -> task<bool> {
            co_await present->stop();
            co_return true;
        }(owner)));
        takeOffice();
    }
    constexpr int leaseAndMarginMs = 1500 * 100 / 98 + 300;
    constexpr int planningMs = 700;
    runUntil([&] { return restarted() || passed(leaseAndMarginMs + planningMs); });
    EXPECT_TRUE(restarted());
    EXPECT_EQ(workers.startsBesideARun, 1) << "the lost worker still shows its run";
}

//! A start beyond the attempts of a queue: an owner that ends between a failure and its judgement left the
//! task to a successor that looked only at new ends.
TEST_F(fleet_day, AFailureThatAnEarlierOwnerHasNotJudgedIsJudgedBeforeAnythingStarts)
{
    takeOffice();
    fleet::caller_service service = callers();
    await(service.submit(tests::makeJob(jobId, {tests::step(1, 500)}), kernel::milliseconds(1000)));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 1; }));
    // Nothing starts by an old list of workers, so that the task waits when the office changes.
    workersAge = kernel::milliseconds(2000);
    const std::uint64_t before = owner->counters().commits;
    workers.endAll(jobs::run_end::failed);
    ASSERT_TRUE(runUntil([this, before] { return owner->counters().commits > before; }));
    await([](std::shared_ptr<fleet::job_owner> present) -> task<bool> {
        co_await present->stop();
        co_return true;
    }(owner));
    // With one attempt the failure in the journal is one too many.
    auto strict = tests::fleetConfig();
    strict.queues["checks"].attempts = 1;
    strict.version = 2;
    config = std::make_shared<const jobs::fleet_config>(strict);
    workersAge = kernel::milliseconds(0);
    takeOffice();
    EXPECT_TRUE(runUntil([this] { return isStatus(job_status::failed) || workers.starts.size() > 1; }));
    EXPECT_EQ(workers.starts.size(), 1U);
}

TEST_F(fleet_day, AnEndIsAcknowledgedOnlyOnceItIsInTheJournal)
{
    takeOffice();
    fleet::caller_service service = callers();
    await(service.submit(twoSteps(), kernel::milliseconds(1000)));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 3; }));
    store.down = true;
    workers.endAll(jobs::run_end::done);
    runUntil([this] { return owner->counters().looks >= 8; });
    for (const auto &[id, state] : workers.workers)
        EXPECT_EQ(state.acknowledged, 0U);
    EXPECT_EQ(workers.starts.size(), 3U);
    store.down = false;
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 5; }));
}

TEST_F(fleet_day, AStartWhoseAnswerIsLostIsNotRepeatedElsewhere)
{
    workers.loseStartAnswers = 3;
    takeOffice();
    fleet::caller_service service = callers();
    await(service.submit(twoSteps(), kernel::milliseconds(1000)));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 3 && owner->counters().starts >= 3; }));
    expectStartedOnce(3);
}

//! The repeated order is refused as obsolete, which says that the run was there, not that it never began.
TEST_F(fleet_day, AStartWhoseAnswerIsLostAndWhoseRunHasEndedIsNotRepeated)
{
    workers.loseStartAnswers = 3;
    workers.endAtOnce = true;
    takeOffice();
    fleet::caller_service service = callers();
    await(service.submit(twoSteps(), kernel::milliseconds(1000)));
    ASSERT_TRUE(runUntil([this] { return isStatus(job_status::completed); }));
    expectStartedOnce(5);
}

//! What a worker says of the repeated order holds for that one only: the first may have been carried out.
TEST_F(fleet_day, ARunWhoseStartWasNotAnsweredIsStoppedBeforeItsTaskStartsElsewhere)
{
    workers.loseStartAnswers = 3;
    workers.refuseRepeats = true;
    takeOffice();
    fleet::caller_service service = callers();
    await(service.submit(twoSteps(), kernel::milliseconds(1000)));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 6; }));
    EXPECT_EQ(workers.startsBesideARun, 0);
}

TEST_F(fleet_day, ACancelledJobIsStoppedAndStartsNothingMore)
{
    takeOffice();
    fleet::caller_service service = callers();
    await(service.submit(twoSteps(), kernel::milliseconds(1000)));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 3; }));
    EXPECT_EQ(await(service.cancel(jobId, kernel::milliseconds(1000))), fleet::call_outcome::ok);
    ASSERT_TRUE(runUntil([this] {
        std::size_t ended = 0;
        for (const auto &[id, state] : workers.workers)
            ended += state.ended.size();
        return ended == 3;
    }));
    EXPECT_TRUE(isStatus(job_status::cancelled));
    EXPECT_EQ(workers.starts.size(), 3U);
}

TEST_F(fleet_day, StatusQuestionsThatTheOwnerLeavesUnansweredAreCounted)
{
    fleet::caller_service service = callers();
    await(service.submit(twoSteps(), kernel::milliseconds(1000)));
    await(service.status(jobId, kernel::milliseconds(1000)));
    EXPECT_EQ(service.counters().statusUnanswered, 1U);
    takeOffice();
    ASSERT_TRUE(runUntil([this] { return owner->statusOf(jobId).has_value(); }));
    await(service.status(jobId, kernel::milliseconds(1000)));
    EXPECT_EQ(service.counters().statusUnanswered, 1U);
}

TEST_F(fleet_day, CallersAreToldTheTruthWhenTheStoreTurnsThemAway)
{
    takeOffice();
    fleet::caller_service service = callers();
    store.down = true;
    EXPECT_EQ(await(service.submit(twoSteps(), kernel::milliseconds(1000))), fleet::call_outcome::refused);
    store.down = false;
    store.loseAnswers = 1;
    EXPECT_EQ(await(service.submit(twoSteps(), kernel::milliseconds(1000))), fleet::call_outcome::ok);
    EXPECT_EQ(await(service.cancel("00000000000000ff", kernel::milliseconds(1000))),
              fleet::call_outcome::absent);
}

//! A worker may have said that it leaves since the list was last known to be complete.
TEST_F(fleet_day, NothingStartsByAListOfWorkersThatIsOld)
{
    workersAge = kernel::milliseconds(2000);
    takeOffice();
    fleet::caller_service service = callers();
    await(service.submit(twoSteps(), kernel::milliseconds(1000)));
    runUntil([this] { return owner->counters().looks >= 2 && owner->pendingIn("checks") == 1; });
    EXPECT_TRUE(workers.starts.empty());
    workersAge = kernel::milliseconds(0);
    EXPECT_TRUE(runUntil([this] { return workers.starts.size() == 3; }));
}

TEST_F(fleet_day, NothingStartsInAWithdrawnFailureDomain)
{
    auto closed = tests::fleetConfig();
    closed.withdrawnDomains.insert("west-a");
    config = std::make_shared<const jobs::fleet_config>(closed);
    takeOffice();
    fleet::caller_service service = callers();
    await(service.submit(twoSteps(), kernel::milliseconds(1000)));
    runUntil([this] { return owner->counters().looks >= 2 && owner->pendingIn("checks") == 1; });
    EXPECT_TRUE(workers.starts.empty());
    config = std::make_shared<const jobs::fleet_config>(tests::fleetConfig());
    owner->wake();
    EXPECT_TRUE(runUntil([this] { return workers.starts.size() == 3; }));
}

//! Late starts on calm days: the configuration and the list of workers counted as old for the last part of
//! each watch in which nothing changed, and nothing started then.
TEST(WatchTimes, WhatIsWatchedDoesNotGrowTooOldToStartByWhileNothingChanges)
{
    constexpr kernel::milliseconds answerTime{300};
    const fleet::owner_rules rules;
    EXPECT_LE(2 * rules.configWatch + answerTime, rules.configValidity);
    EXPECT_LE(2 * rules.workersWatch + answerTime, rules.workersValidity);
}

//! Load pattern: many hundred workers and waiting tasks on a weak host. A plan each 20 ms took most of its
//! processor, so that answers of workers and orders to them queued behind it.
//! An accepted job of a queue that a later configuration dropped started nothing more, and a task of it that
//! was lost never ran again.
TEST_F(fleet_day, AnAcceptedJobOfADroppedQueueGoesOn)
{
    takeOffice();
    fleet::caller_service service = callers();
    await(service.submit(acceptedUnder(twoSteps(), *config), kernel::milliseconds(1000)));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 3; }));
    dropQueue("checks");
    workers.endAll(jobs::run_end::done);
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 5; }));
    workers.endAll(jobs::run_end::done);
    EXPECT_TRUE(runUntil([this] { return isStatus(job_status::completed); }));
}

//! The same under an owner that began after the queue was dropped and knows its rules from the job alone.
TEST_F(fleet_day, AnAcceptedJobOfADroppedQueueGoesOnUnderALaterOwner)
{
    fleet::caller_service service = callers();
    await(service.submit(acceptedUnder(twoSteps(), *config), kernel::milliseconds(1000)));
    dropQueue("checks");
    takeOffice();
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 3; }));
}

//! A job of a dropped queue whose tasks fail too often was never given up.
TEST_F(fleet_day, AJobOfADroppedQueueIsGivenUpByTheRulesOfItsQueue)
{
    takeOffice();
    fleet::caller_service service = callers();
    await(service.submit(acceptedUnder(tests::makeJob(jobId, {tests::step(1, 500)}), *config),
                         kernel::milliseconds(1000)));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 1; }));
    dropQueue("checks");
    for (std::size_t run = 1; run <= config->queues.at("reviews").attempts; ++run) {
        ASSERT_TRUE(runUntil([this, run] { return workers.starts.size() == run; }));
        workers.endAll(jobs::run_end::failed);
    }
    EXPECT_TRUE(runUntil([this] { return isStatus(job_status::failed); }));
}

TEST(CommitInterval, PlanningLeavesMostOfTheTimeToLooksAndOrders)
{
    const fleet::owner_rules rules;
    EXPECT_EQ(fleet::commitIntervalAfter(rules, kernel::milliseconds(1)), rules.commitInterval);
    for (int tookMs = 5; tookMs <= 30; tookMs += 5) {
        const kernel::milliseconds planning(tookMs);
        EXPECT_LE(planning * 4, fleet::commitIntervalAfter(rules, planning));
    }
    EXPECT_EQ(fleet::commitIntervalAfter(rules, kernel::milliseconds(2000)), rules.longestCommitInterval);
}

} // namespace
