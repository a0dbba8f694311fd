#include "jobs/wait_monitor.h"

#include "jobs/job_codec.h"
#include "tests/unit/observed_fleet.h"

#include <gtest/gtest.h>

//! What the owner tells of tasks that wait: since when, for what, and how often.
namespace {

using namespace almond;
using jobs::run_end;
using jobs::wait_cause;
using tests::at;
using tests::lastingStep;
using tests::observed_fleet;
using tests::onlyJob;
using tests::task;
using tests::termStartMs;

std::vector<jobs::log_line> named(const std::vector<jobs::log_line> &lines, std::string_view message)
{
    std::vector<jobs::log_line> found;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(found),
                 [&](const jobs::log_line &line) { return line.message == message; });
    return found;
}

constexpr const char *waitsLong = "lasting task waits long";
constexpr const char *runsAgain = "lasting task runs again";
constexpr const char *jobIdle = "job has nothing running though its turn has come";

TEST(WaitCause, ATaskWaitsForEarlierSteps)
{
    observed_fleet fleet;
    jobs::step_spec second = tests::step(1, 1000);
    second.after = {0};
    fleet.add({tests::step(1, 1000), second});
    fleet.addWorker("a");
    EXPECT_EQ(fleet.cause({onlyJob, 0, 1, 0}), wait_cause::earlierSteps);
    EXPECT_EQ(fleet.cause(), wait_cause::notPlaced);
}

TEST(WaitCause, TheStartIsUnderWayUntilAnOrderGoesUnanswered)
{
    observed_fleet fleet;
    fleet.add({tests::step(1, 1000)});
    jobs::worker_session &worker = fleet.addWorker("a");
    fleet.start(task, 1, worker);
    EXPECT_EQ(fleet.cause(), wait_cause::startUnderWay);
    jobs::recordMissingResponse(worker, at(fleet.nowMs));
    EXPECT_EQ(fleet.cause(), wait_cause::startUnanswered);
    fleet.accept(task, 1, worker);
    EXPECT_EQ(fleet.cause(), std::nullopt);
}

TEST(WaitCause, ARunOnASilentOrVanishedWorkerIsNotOver)
{
    observed_fleet fleet;
    fleet.add({tests::step(2, 1000)});
    jobs::worker_session &silent = fleet.addWorker("a");
    jobs::worker_session &vanished = fleet.addWorker("b");
    fleet.start(task, 1, silent);
    fleet.accept(task, 1, silent);
    fleet.start({onlyJob, 0, 0, 1}, 1, vanished);
    fleet.accept({onlyJob, 0, 0, 1}, 1, vanished);
    EXPECT_EQ(fleet.cause(), std::nullopt);
    jobs::recordMissingResponse(silent, at(fleet.nowMs));
    fleet.nowMs += fleet.sessions.unresponsiveAfter.count() + 1;
    EXPECT_EQ(fleet.cause(), wait_cause::runNotOver);
    vanished.info.address.clear();
    EXPECT_EQ(fleet.cause({onlyJob, 0, 0, 1}), wait_cause::runNotOver);
}

TEST(WaitCause, NamesWhatKeepsTheOnlyWorkerWithRoomFromBeingUsed)
{
    observed_fleet fleet;
    fleet.add({tests::step(1, 1000)});
    EXPECT_EQ(fleet.cause(), wait_cause::noRoom);
    jobs::worker_session &worker = fleet.addWorker("a");
    EXPECT_EQ(fleet.cause(), wait_cause::notPlaced);
    fleet.workers.front().quarantined = true;
    EXPECT_EQ(fleet.cause(), wait_cause::onlyQuarantined);
    fleet.workers.front() = {&worker, nullptr, false, true};
    EXPECT_EQ(fleet.cause(), wait_cause::onlyRefusing);
    fleet.workers.front().refusing = false;
    worker.info.leaving = true;
    EXPECT_EQ(fleet.cause(), wait_cause::onlyUnreachable);
    worker.info.leaving = false;
    fleet.config.withdrawnDomains.insert(worker.info.failureDomain);
    EXPECT_EQ(fleet.cause(), wait_cause::onlyWithdrawn);
    fleet.config.withdrawnDomains.clear();
    worker.info.service = "other";
    EXPECT_EQ(fleet.cause(), wait_cause::noRoom);
}

TEST(WaitCause, AnotherWorkerWithRoomThatIsUsableIsNamedFirst)
{
    observed_fleet fleet;
    fleet.add({tests::step(1, 1000)});
    fleet.addWorker("a");
    fleet.addWorker("b");
    fleet.workers.front().quarantined = true;
    EXPECT_EQ(fleet.cause(), wait_cause::notPlaced);
}

TEST(WaitCause, OldKnowledgeStartsNothing)
{
    observed_fleet fleet;
    fleet.add({tests::step(1, 1000)});
    fleet.addWorker("a");
    fleet.workerListStale = true;
    EXPECT_EQ(fleet.cause(), wait_cause::staleWorkerList);
    fleet.configStale = true;
    EXPECT_EQ(fleet.cause(), wait_cause::staleConfig);
    fleet.workerListStale = fleet.configStale = false;
    fleet.config.queues.clear();
    EXPECT_EQ(fleet.cause(), wait_cause::noQueue);
}

TEST(WaitCause, RoomMindsLabelsLimitsAndWhatIsAssigned)
{
    observed_fleet fleet;
    jobs::step_spec spec = tests::step(3, 1000);
    spec.perWorkerLimit = 1;
    fleet.add({spec});
    jobs::worker_session &worker = fleet.addWorker("a", 2500);
    fleet.start(task, 1, worker);
    EXPECT_EQ(fleet.cause({onlyJob, 0, 0, 1}), wait_cause::noRoom);
    spec.perWorkerLimit = 0;
    const jobs::fitting_workers one = jobs::countRoom(fleet.view(), "moderator", spec, task, fleet.rooms);
    EXPECT_EQ(one.usable, 1U);
    EXPECT_EQ(one.servicePercent, 40);
    spec.demand.millicores = 2000;
    EXPECT_EQ(jobs::countRoom(fleet.view(), "moderator", spec, task, fleet.rooms).usable, 0U);
    spec.demand.millicores = 1000;
    spec.requiredLabel = "gpu";
    EXPECT_EQ(jobs::countRoom(fleet.view(), "moderator", spec, task, fleet.rooms).usable, 0U);
}

TEST(WaitCause, ATaskThatFillsNeedsSpareProcessorTime)
{
    observed_fleet fleet;
    jobs::step_spec fill = tests::step(1, 2000);
    fill.bestEffort = true;
    fleet.add({tests::step(1, 1500), fill});
    jobs::worker_session &worker = fleet.addWorker("a", 2000);
    const jobs::task_name filling{onlyJob, 0, 1, 0};
    EXPECT_EQ(fleet.cause(filling), wait_cause::notPlaced);
    fleet.start(task, 1, worker);
    EXPECT_EQ(fleet.cause(filling), wait_cause::noRoom);
}

TEST(WaitCause, EachCauseHasAName)
{
    for (std::size_t index = 0; index < jobs::waitCauseCount; ++index)
        EXPECT_FALSE(jobs::causeName(static_cast<wait_cause>(index)).empty());
}

TEST(WaitingWatch, AFirstStartIsCountedFromTheAcceptance)
{
    observed_fleet fleet;
    fleet.add({lastingStep()}, termStartMs - 5000);
    fleet.addWorker("a", 500);
    const auto early = fleet.walkAt(termStartMs + 900);
    EXPECT_TRUE(named(early, waitsLong).empty());
    const auto lines = named(fleet.walkAt(termStartMs + 1400), waitsLong);
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines.front().fields["waitedMs"], 6400);
    EXPECT_EQ(lines.front().fields["cause"], "no room");
    EXPECT_EQ(lines.front().fields["lastRun"], 0);
}

TEST(WaitingWatch, AnInheritedWaitIsCountedFromTheOffice)
{
    observed_fleet fleet;
    fleet.add({lastingStep()}, termStartMs - 50'000);
    jobs::apply(fleet.table, tests::started(task, 1, "old@1"));
    jobs::apply(fleet.table, tests::ended(task, 1, run_end::lost));
    EXPECT_EQ(jobs::waitingSince(fleet.watch, fleet.view(), task, 1), at(termStartMs));
    EXPECT_TRUE(named(fleet.walkAt(termStartMs + 5900), waitsLong).empty());
    EXPECT_EQ(named(fleet.walkAt(termStartMs + 6000), waitsLong).size(), 1U);
}

TEST(WaitingWatch, ALostWorkersTaskIsCountedFromTheWorkersLastAnswer)
{
    observed_fleet fleet;
    fleet.add({lastingStep()});
    jobs::worker_session &lost = fleet.addWorker("a");
    fleet.start(task, 1, lost);
    fleet.accept(task, 1, lost);
    fleet.walkAt(2000);
    jobs::recordGrantedLease(lost, *jobs::nextLeaseEnd(lost, fleet.sessions, at(2000)), fleet.sessions);
    fleet.answer(lost);
    jobs::recordMissingResponse(lost, at(2010));
    EXPECT_TRUE(named(fleet.walkUntil(7500), waitsLong).empty());
    const auto line = named(fleet.walkAt(8000), waitsLong);
    ASSERT_EQ(line.size(), 1U);
    EXPECT_EQ(line.front().fields["cause"], "run not over");
    EXPECT_EQ(line.front().fields["worker"], "a@1");
    EXPECT_EQ(line.front().fields["answeredBeforeMs"], 6000);
    EXPECT_EQ(line.front().fields["spentMs"]["run not over"], 6000);
    EXPECT_EQ(line.front().fields["leaseInherited"], true);
    fleet.nowMs = 11'000;
    ASSERT_EQ(fleet.lapse(lost), 1U);
    fleet.walkAt(11'000);
    jobs::worker_session &next = fleet.addWorker("b");
    fleet.start(task, 2, next);
    fleet.walkAt(11'500);
    fleet.nowMs = 11'700;
    fleet.accept(task, 2, next);
    const auto again = named(fleet.walkAt(12'000), runsAgain);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again.front().fields["gapMs"], 9700);
    EXPECT_EQ(again.front().fields["spentMs"]["start under way"], 500);
}

TEST(WaitingWatch, ATaskThatRanAllAlongIsOnlyInSightAgain)
{
    observed_fleet fleet;
    fleet.add({lastingStep()});
    jobs::worker_session &worker = fleet.addWorker("a");
    fleet.start(task, 1, worker);
    fleet.accept(task, 1, worker);
    jobs::recordMissingResponse(worker, at(fleet.nowMs));
    EXPECT_EQ(named(fleet.walkUntil(7500), waitsLong).size(), 1U);
    fleet.answer(worker);
    const auto lines = fleet.walkAt(8000);
    EXPECT_TRUE(named(lines, runsAgain).empty());
    EXPECT_EQ(named(lines, "lasting task is in sight again").size(), 1U);
}

TEST(WaitingWatch, AStartThatWasGivenBackDoesNotEndTheWait)
{
    observed_fleet fleet;
    fleet.add({lastingStep()});
    jobs::worker_session &worker = fleet.addWorker("a");
    fleet.walkAt(2000);
    fleet.start(task, 1, worker);
    fleet.walkAt(2500);
    // The refusal has come, its record is not applied yet.
    worker.pendingStarts.erase(task);
    fleet.walkAt(3000);
    ASSERT_EQ(fleet.watch.downtimes.size(), 1U);
    fleet.end(task, 1, run_end::notStarted);
    fleet.walkAt(3500);
    ASSERT_EQ(fleet.watch.downtimes.size(), 1U);
    EXPECT_EQ(fleet.watch.downtimes.front().since, at(termStartMs));
    EXPECT_EQ(jobs::waitingSince(fleet.watch, fleet.view(), task, 1), at(termStartMs));
}

TEST(WaitingWatch, ARunBetweenTwoWalksBeginsTheWaitAnew)
{
    observed_fleet fleet;
    fleet.add({lastingStep()});
    jobs::worker_session &worker = fleet.addWorker("a");
    fleet.walkAt(2000);
    fleet.start(task, 1, worker);
    fleet.accept(task, 1, worker);
    fleet.nowMs = 2300;
    fleet.end(task, 1, run_end::failed);
    fleet.walkAt(2500);
    ASSERT_EQ(fleet.watch.downtimes.size(), 1U);
    EXPECT_EQ(fleet.watch.downtimes.front().since, at(2300));
    EXPECT_EQ(fleet.watch.downtimes.front().lastRun, 1U);
}

TEST(WaitingWatch, ATaskIsNamedAtEachLimitOnce)
{
    observed_fleet fleet;
    fleet.add({lastingStep()});
    fleet.addWorker("a", 500);
    const auto lines = named(fleet.walkUntil(20'000), waitsLong);
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_EQ(lines[0].fields["waitedMs"], 6000);
    EXPECT_EQ(lines[1].fields["waitedMs"], 9000);
    jobs::cancelJob(fleet.table, onlyJob);
    EXPECT_TRUE(fleet.walkAt(20'500).empty());
    EXPECT_TRUE(fleet.watch.downtimes.empty());
}

TEST(WaitingWatch, LinesAreBoundedAndTheRestIsCounted)
{
    observed_fleet fleet;
    fleet.add({lastingStep(50)});
    fleet.addWorker("a", 500);
    fleet.watch.rules.linesPerSecond = 7;
    const auto lines = fleet.walkUntil(termStartMs + 6000);
    EXPECT_EQ(named(lines, waitsLong).size(), 7U);
    const auto later = named(fleet.walkUntil(termStartMs + 9000), "lines on what waits left out");
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later.front().fields["count"], 43);
}

TEST(WaitingWatch, AJobWithNothingRunningAndRoomIsNamed)
{
    observed_fleet fleet;
    fleet.add({tests::step(1, 1000)});
    fleet.addWorker("a");
    fleet.workers.front().quarantined = true;
    const auto lines = named(fleet.walkUntil(10'000), jobIdle);
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines.front().fields["job"], onlyJob);
    EXPECT_EQ(lines.front().fields["idleMs"], 3000);
    EXPECT_EQ(lines.front().fields["cause"], "only quarantined workers have room");
    EXPECT_EQ(lines.front().fields["workersWithRoom"]["quarantined"], 1);
}

TEST(WaitingWatch, AJobWithoutRoomOrBeforeItsTurnIsNotNamed)
{
    observed_fleet fleet;
    jobs::step_spec second = tests::step(1, 100);
    second.after = {0};
    fleet.add({tests::step(1, 1000), second});
    fleet.addWorker("a", 500);
    EXPECT_TRUE(named(fleet.walkUntil(10'000), jobIdle).empty());
}

TEST(WaitingWatch, AJobWhoseOnlyRunIsOnAVanishedWorkerIsNamed)
{
    observed_fleet fleet;
    fleet.add({tests::step(1, 1000)});
    jobs::worker_session &lost = fleet.addWorker("a");
    fleet.addWorker("b");
    fleet.start(task, 1, lost);
    fleet.accept(task, 1, lost);
    EXPECT_TRUE(fleet.walkUntil(6000).empty());
    lost.info.address.clear();
    const auto lines = named(fleet.walkUntil(10'000), jobIdle);
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines.front().fields["cause"], "run not over");
    EXPECT_EQ(lines.front().fields["listed"], true);
}

TEST(WaitingWatch, ALapseNamesItsInputsOnce)
{
    observed_fleet fleet;
    fleet.add({tests::step(1, 1000), lastingStep(2)});
    jobs::worker_session &lost = fleet.addWorker("a");
    fleet.start(task, 1, lost);
    fleet.start({onlyJob, 0, 1, 0}, 1, lost);
    fleet.accept(task, 1, lost);
    fleet.accept({onlyJob, 0, 1, 0}, 1, lost);
    jobs::recordGrantedLease(lost, *jobs::nextLeaseEnd(lost, fleet.sessions, at(fleet.nowMs)),
                             fleet.sessions);
    lost.listed = false;
    jobs::recordMissingResponse(lost, at(1500));
    fleet.nowMs = 12'000;
    const auto lapsed = jobs::expiredRuns(lost, fleet.sessions, fleet.table, at(fleet.nowMs));
    ASSERT_EQ(lapsed.size(), 2U);
    const nlohmann::json line = jobs::describeExpiry(lost, fleet.view(), lapsed);
    EXPECT_EQ(line["worker"], "a@1");
    EXPECT_EQ(line["silentForMs"], 10'500);
    EXPECT_FALSE(line.contains("leaseGrantedInSilenceMs"));
    EXPECT_EQ(line["answeredBeforeMs"], 11'000);
    EXPECT_EQ(line["officeMs"], 11'000);
    EXPECT_EQ(line["listed"], false);
    EXPECT_EQ(line["runs"], 2);
    EXPECT_EQ(line["lastingRuns"], 1);
    EXPECT_TRUE(jobs::recordExpiredRuns(fleet.watch, fleet.view(), lost, lapsed));
    EXPECT_FALSE(jobs::recordExpiredRuns(fleet.watch, fleet.view(), lost, lapsed));
    EXPECT_EQ(jobs::waitingSince(fleet.watch, fleet.view(), task, 1), at(termStartMs));
}

TEST(WaitingWatch, ALeaseThatWasGrantedInSilenceIsNamed)
{
    observed_fleet fleet;
    jobs::worker_session &worker = fleet.addWorker("a");
    fleet.sessions.formerOwnerRenewals = kernel::milliseconds(0);
    worker.inheritedLeaseUntil = at(0);
    jobs::recordMissingResponse(worker, at(termStartMs + 500));
    const std::int64_t later = termStartMs + 3500;
    const std::int64_t elapsed = (at(later) - worker.clock->at).count() * 98 / 100;
    jobs::recordGrantedLease(worker, worker.clock->workerMs + elapsed + fleet.sessions.lease.count(),
                             fleet.sessions);
    fleet.nowMs = later;
    const nlohmann::json line = jobs::describeExpiry(worker, fleet.view(), {});
    EXPECT_NEAR(line["leaseGrantedInSilenceMs"].get<double>(), 3000.0, 20.0);
    EXPECT_EQ(line["leaseInherited"], false);
}

TEST(WaitingWatch, WhatIsKnownOfEndedJobsIsForgotten)
{
    observed_fleet fleet;
    fleet.add({lastingStep()});
    jobs::worker_session &worker = fleet.addWorker("a");
    fleet.start(task, 1, worker);
    fleet.accept(task, 1, worker);
    fleet.end(task, 1, run_end::failed);
    EXPECT_EQ(fleet.watch.ends.size(), 1U);
    jobs::cancelJob(fleet.table, onlyJob);
    fleet.walkUntil(termStartMs + 21'000);
    EXPECT_TRUE(fleet.watch.ends.empty());
}

} // namespace
