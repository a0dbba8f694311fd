#include "fleet/owner_metrics.h"

#include "tests/unit/observed_fleet.h"

#include <gtest/gtest.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

//! The metrics of waiting tasks.
namespace {

using namespace almond;
using jobs::run_end;
using tests::longRunningStep;
using tests::observed_fleet;
using tests::task;
using tests::termStartMs;

struct collected_fleet : observed_fleet
{
    prometheus::Registry registry;
    fleet::owner_metrics metrics = fleet::addOwnerMetrics(registry, monitor.rules);

    void collectUntil(std::int64_t ms)
    {
        while (nowMs + 500 <= ms) {
            scanAt(nowMs + 500);
            fleet::recordFindings(metrics, monitor.found);
        }
    }

    //! Whether the metrics in text format contain \a line, such as "name 1".
    bool shows(const std::string &line) const
    {
        const std::string page = "\n" + prometheus::TextSerializer().Serialize(registry.Collect());
        return page.find("\n" + line + "\n") != std::string::npos;
    }
};

TEST(OwnerMetrics, AllAreExportedBeforeAnythingWaits)
{
    collected_fleet fleet;
    EXPECT_TRUE(fleet.shows("almond_lasting_task_gap_seconds_count 0"));
    EXPECT_TRUE(fleet.shows("almond_jobs_idle_with_room_total 0"));
    EXPECT_TRUE(fleet.shows("almond_lasting_tasks_waiting 0"));
    EXPECT_TRUE(fleet.shows("almond_lasting_task_longest_wait_seconds 0"));
    EXPECT_TRUE(fleet.shows("almond_jobs_load_seconds_count 0"));
    EXPECT_TRUE(fleet.shows("almond_worker_sessions_reopened_total 0"));
    EXPECT_TRUE(fleet.shows("almond_worker_polls_overlapping_total 0"));
    EXPECT_TRUE(fleet.shows("almond_stops_refused_total 0"));
    for (const std::string evidence : {"not_listed", "lease_expired", "address_reused"})
        EXPECT_TRUE(fleet.shows("almond_runs_lost_total{evidence=\"" + evidence + "\"} 0")) << evidence;
    for (const std::string limit : {"6", "9"}) {
        for (std::size_t cause = 0; cause < jobs::waitCauseCount; ++cause) {
            std::string line = "almond_lasting_tasks_over_limit_total{cause=\"";
            line += jobs::causeName(static_cast<jobs::wait_cause>(cause));
            line += "\",limit_seconds=\"" + limit + "\"} 0";
            EXPECT_TRUE(fleet.shows(line)) << line;
        }
    }
}

TEST(OwnerMetrics, LostRunsAreCountedByEvidence)
{
    collected_fleet fleet;
    fleet::recordLostRuns(fleet.metrics, fleet::loss_evidence::notListed, 2);
    fleet::recordLostRuns(fleet.metrics, fleet::loss_evidence::addressReused, 1);
    EXPECT_TRUE(fleet.shows("almond_runs_lost_total{evidence=\"not_listed\"} 2"));
    EXPECT_TRUE(fleet.shows("almond_runs_lost_total{evidence=\"lease_expired\"} 0"));
    EXPECT_TRUE(fleet.shows("almond_runs_lost_total{evidence=\"address_reused\"} 1"));
}

TEST(OwnerMetrics, InterruptedTaskIsCountedAtEachLimitAndItsGapOnce)
{
    collected_fleet fleet;
    fleet.add({longRunningStep()});
    jobs::worker_session &worker = fleet.addWorker("a", 1500);
    fleet.start(task, 1, worker);
    fleet.accept(task, 1, worker);
    fleet.nowMs = 2000;
    fleet.end(task, 1, run_end::failed);
    worker.info.capacity.millicores = 500;
    fleet.collectUntil(7500);
    EXPECT_TRUE(fleet.shows("almond_lasting_tasks_waiting 1"));
    EXPECT_TRUE(fleet.shows("almond_lasting_task_longest_wait_seconds 5.5"));
    EXPECT_TRUE(
        fleet.shows("almond_lasting_tasks_over_limit_total{cause=\"no room\",limit_seconds=\"6\"} 0"));
    fleet.collectUntil(8000);
    EXPECT_TRUE(
        fleet.shows("almond_lasting_tasks_over_limit_total{cause=\"no room\",limit_seconds=\"6\"} 1"));
    EXPECT_TRUE(
        fleet.shows("almond_lasting_tasks_over_limit_total{cause=\"no room\",limit_seconds=\"9\"} 0"));
    fleet.collectUntil(11'500);
    EXPECT_TRUE(
        fleet.shows("almond_lasting_tasks_over_limit_total{cause=\"no room\",limit_seconds=\"6\"} 1"));
    EXPECT_TRUE(
        fleet.shows("almond_lasting_tasks_over_limit_total{cause=\"no room\",limit_seconds=\"9\"} 1"));
    EXPECT_TRUE(fleet.shows("almond_lasting_task_gap_seconds_count 0"));
    fleet.start(task, 2, worker);
    fleet.accept(task, 2, worker);
    fleet.collectUntil(13'000);
    EXPECT_TRUE(fleet.shows("almond_lasting_task_gap_seconds_count 1"));
    EXPECT_TRUE(fleet.shows("almond_lasting_task_gap_seconds_sum 9.5"));
    EXPECT_TRUE(fleet.shows("almond_lasting_task_gap_seconds_bucket{le=\"9\"} 0"));
    EXPECT_TRUE(fleet.shows("almond_lasting_task_gap_seconds_bucket{le=\"10\"} 1"));
    EXPECT_TRUE(fleet.shows("almond_lasting_tasks_waiting 0"));
    EXPECT_TRUE(fleet.shows("almond_lasting_task_longest_wait_seconds 0"));
    EXPECT_EQ(fleet.monitor.longestGap, jobs::milliseconds(9500));
}

TEST(OwnerMetrics, WaitBeforeTheFirstRunIsNotAGap)
{
    collected_fleet fleet;
    fleet.add({longRunningStep()});
    jobs::worker_session &worker = fleet.addWorker("a");
    fleet.collectUntil(3000);
    EXPECT_TRUE(fleet.shows("almond_lasting_tasks_waiting 1"));
    fleet.start(task, 1, worker);
    fleet.accept(task, 1, worker);
    fleet.collectUntil(4000);
    EXPECT_TRUE(fleet.shows("almond_lasting_tasks_waiting 0"));
    EXPECT_TRUE(fleet.shows("almond_lasting_task_gap_seconds_count 0"));
}

TEST(OwnerMetrics, TaskThatRanOnAnUnresponsiveWorkerHasNoGap)
{
    collected_fleet fleet;
    fleet.add({longRunningStep()});
    jobs::worker_session &worker = fleet.addWorker("a");
    fleet.start(task, 1, worker);
    fleet.accept(task, 1, worker);
    jobs::recordMissingResponse(worker, tests::at(fleet.nowMs));
    fleet.collectUntil(7500);
    EXPECT_TRUE(
        fleet.shows("almond_lasting_tasks_over_limit_total{cause=\"run not over\",limit_seconds=\"6\"} 1"));
    fleet.respond(worker);
    fleet.collectUntil(8000);
    EXPECT_TRUE(fleet.shows("almond_lasting_tasks_waiting 0"));
    EXPECT_TRUE(fleet.shows("almond_lasting_task_gap_seconds_count 0"));
}

TEST(OwnerMetrics, TasksWithoutALogLineAreCounted)
{
    collected_fleet fleet;
    fleet.add({longRunningStep(50)});
    fleet.addWorker("a", 500);
    fleet.monitor.rules.linesPerSecond = 7;
    fleet.collectUntil(termStartMs + 6000);
    EXPECT_TRUE(
        fleet.shows("almond_lasting_tasks_over_limit_total{cause=\"no room\",limit_seconds=\"6\"} 50"));
    EXPECT_TRUE(fleet.shows("almond_lasting_tasks_waiting 50"));
}

TEST(OwnerMetrics, IdleJobIsCountedOnceEvenWithoutALogLine)
{
    for (const std::size_t lines : {0U, 20U}) {
        collected_fleet fleet;
        fleet.monitor.rules.linesPerSecond = lines;
        fleet.add({tests::step(1, 1000)});
        fleet.addWorker("a");
        fleet.collectUntil(4000);
        EXPECT_TRUE(fleet.shows("almond_jobs_idle_with_room_total 0"));
        fleet.collectUntil(10'000);
        EXPECT_TRUE(fleet.shows("almond_jobs_idle_with_room_total 1"));
    }
}

TEST(OwnerMetrics, EmptyFindingsResetTheGaugesAndKeepTheCounters)
{
    collected_fleet fleet;
    fleet.add({longRunningStep()});
    fleet.addWorker("a", 500);
    fleet.collectUntil(termStartMs + 6000);
    fleet::recordFindings(fleet.metrics, {});
    EXPECT_TRUE(fleet.shows("almond_lasting_tasks_waiting 0"));
    EXPECT_TRUE(fleet.shows("almond_lasting_task_longest_wait_seconds 0"));
    EXPECT_TRUE(
        fleet.shows("almond_lasting_tasks_over_limit_total{cause=\"no room\",limit_seconds=\"6\"} 1"));
}

TEST(OwnerMetrics, EachLoadOfTheJobsIsRecorded)
{
    collected_fleet fleet;
    fleet::recordLoadTime(fleet.metrics, jobs::milliseconds(300));
    EXPECT_TRUE(fleet.shows("almond_jobs_load_seconds_count 1"));
    EXPECT_TRUE(fleet.shows("almond_jobs_load_seconds_bucket{le=\"0.25\"} 0"));
    EXPECT_TRUE(fleet.shows("almond_jobs_load_seconds_bucket{le=\"0.5\"} 1"));
}

} // namespace
