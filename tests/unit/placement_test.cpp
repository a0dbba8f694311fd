#include "placement/cell_directory.h"
#include "placement/cell_state.h"
#include "placement/ownership.h"
#include "placement/plan.h"
#include "placement/preemption.h"
#include "placement/record_filter.h"
#include "placement/worker_health.h"

#include "tests/unit/draw.h"
#include <boost/leaf/handle_errors.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

//! Cells as folds of their journals, planning and ownership.
namespace {

using namespace almond;
using namespace almond::placement;

bool applies(cell_state &state, const cell_record &record)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_CHECK(apply(state, record, state.index + 1));
            return true;
        },
        [](const record_error &) { return false; }, [] { return false; });
}

job_spec jobOf(const std::string &id, std::int64_t millicores)
{
    job_spec spec;
    spec.id = id;
    spec.team = "team";
    spec.kind = "kind";
    spec.demand = {millicores, 100, 0};
    return spec;
}

cell_state cellWithWorker(std::int64_t millicores)
{
    cell_state cell;
    applies(cell, owner_record{"owner", 0});
    applies(cell, worker_record{"worker", "one", "", "", {millicores, 10'000, 0}});
    return cell;
}

cell_record anyRecord()
{
    const std::string job = "job-" + std::to_string(tests::draw(0, 6));
    const std::string worker = "worker-" + std::to_string(tests::draw(0, 2));
    const auto attempt = tests::draw<std::uint32_t>(1, 4);
    switch (tests::draw(0, 7)) {
    case 0:
        return admitted_record{jobOf(job, tests::draw(100, 900)), 1, 0, 0, "", 0};
    case 1:
        return worker_record{worker, *rc::gen::element<std::string>("one", "two"), "", "", {1000, 1000, 0}};
    case 2:
        return cancelled_record{job, 2};
    case 3:
        return ended_record{{job, attempt},
                            *rc::gen::element(attempt_outcome::done, attempt_outcome::evicted,
                                              attempt_outcome::lost, attempt_outcome::failed),
                            "10",
                            3};
    case 4:
        return move_started_record{job, "elsewhere", 4};
    case 5:
        return move_finished_record{job, 5};
    default:
        return assigned_record{job, worker, 6};
    }
}

void checkCommitments(const cell_state &cell)
{
    for (const auto &[id, worker] : cell.workers) {
        resources sum;
        for (const std::string &job : worker.jobs)
            sum = sum + cell.jobs.at(job).spec.demand;
        RC_ASSERT(sum == worker.committed);
        RC_ASSERT(fits(worker.committed, worker.capacity));
    }
    for (const auto &[id, job] : cell.jobs) {
        RC_ASSERT((job.phase == job_phase::assigned) == !job.worker.empty());
        const queue_key key{!job.spec.urgent, job.admittedAtMs, id};
        RC_ASSERT((job.phase == job_phase::queued) == cell.queue.contains(key));
    }
}

TEST(CellState, NeverOvercommitsWhateverTheRecords)
{
    EXPECT_TRUE(rc::check([] {
        cell_state cell;
        const int count = tests::draw(1, 80);
        for (int number = 0; number < count; ++number) {
            applies(cell, anyRecord());
            checkCommitments(cell);
        }
    }));
}

TEST(CellState, SnapshotIsTheSameCell)
{
    EXPECT_TRUE(rc::check([] {
        cell_state cell;
        for (int number = 0; number < 40; ++number)
            applies(cell, anyRecord());
        const cell_state restored = decodeSnapshot(encodeSnapshot(cell));
        checkCommitments(restored);
        RC_ASSERT(encodeSnapshot(restored) == encodeSnapshot(cell));
    }));
}

TEST(CellState, RecordsSurviveTheirEncoding)
{
    EXPECT_TRUE(rc::check([] {
        std::vector<cell_record> records;
        for (int number = 0; number < 10; ++number)
            records.push_back(anyRecord());
        const json encoded = encodeRecords(records);
        RC_ASSERT(encodeRecords(decodeRecords(encoded)) == encoded);
    }));
}

TEST(CellState, JobAdmittedTwiceIsOneJob)
{
    cell_state cell = cellWithWorker(1000);
    EXPECT_TRUE(applies(cell, admitted_record{jobOf("a", 500), 1, 0, 0, "", 0}));
    EXPECT_TRUE(applies(cell, assigned_record{"a", "worker", 2}));
    EXPECT_TRUE(applies(cell, ended_record{{"a", 1}, attempt_outcome::done, "", 3}));
    EXPECT_TRUE(applies(cell, admitted_record{jobOf("a", 500), 4, 0, 0, "", 0}));
    EXPECT_EQ(cell.jobs.at("a").phase, job_phase::done);
}

TEST(CellState, JobThatFailsEverywhereIsGivenUpWithItsReason)
{
    cell_state cell = cellWithWorker(1000);
    applies(cell, admitted_record{jobOf("a", 500), 1, 0, 0, "", 0});
    for (std::uint32_t attempt = 1; attempt <= maximumFailures; ++attempt) {
        EXPECT_TRUE(applies(cell, assigned_record{"a", "worker", 2}));
        EXPECT_TRUE(applies(cell, ended_record{{"a", attempt}, attempt_outcome::failed, "", 3}));
    }
    EXPECT_EQ(cell.jobs.at("a").phase, job_phase::failed);
    EXPECT_FALSE(cell.jobs.at("a").reason.empty());
}

TEST(BatchFilter, RepeatedEndIsKeptOnce)
{
    cell_state cell = cellWithWorker(1000);
    applies(cell, admitted_record{jobOf("a", 500), 1, 0, 0, "", 0});
    applies(cell, assigned_record{"a", "worker", 2});
    const ended_record ended{{"a", 1}, attempt_outcome::done, "", 3};
    EXPECT_EQ(filterRecords(cell, {ended, ended}).size(), 1U);
}

TEST(BatchFilter, NewIncarnationEndsEveryAttemptOfTheOldOne)
{
    cell_state cell = cellWithWorker(1000);
    applies(cell, admitted_record{jobOf("a", 500), 1, 0, 0, "", 0});
    applies(cell, assigned_record{"a", "worker", 2});
    const auto records = filterRecords(cell, {worker_record{"worker", "two", "", "", {1000, 10'000, 0}}});
    for (const cell_record &record : records)
        EXPECT_TRUE(applies(cell, record));
    EXPECT_EQ(cell.workers.at("worker").incarnation, "two");
    EXPECT_EQ(cell.jobs.at("a").phase, job_phase::queued);
}

config::config_document twoDomains()
{
    config::config_document document;
    document.failureDomains["a"] = {"region", false};
    document.failureDomains["b"] = {"region", false};
    document.cellsPerFailureDomain = 2;
    document.teams["team"] = {2000, 100'000, 0};
    return document;
}

plan_inputs openInputs(const cell_state &cell)
{
    plan_inputs inputs;
    inputs.candidates = candidateWorkers(cell, {"worker"});
    inputs.mayStart = true;
    return inputs;
}

TEST(Plan, LargeJobBlocksNobody)
{
    cell_state cell = cellWithWorker(1000);
    applies(cell, admitted_record{jobOf("large", 5000), 1, 0, 0, "", 0});
    applies(cell, admitted_record{jobOf("small", 500), 2, 0, 0, "", 0});
    config::config_document document;
    const auto records = planStarts(cell, document, openInputs(cell), kernel::time_point{});
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(std::get<assigned_record>(records.front()).job, "small");
}

TEST(Plan, UrgentWorkGoesFirst)
{
    cell_state cell = cellWithWorker(1000);
    applies(cell, admitted_record{jobOf("first", 800), 1, 0, 0, "", 0});
    job_spec urgent = jobOf("urgent", 800);
    urgent.urgent = true;
    applies(cell, admitted_record{urgent, 2, 0, 0, "", 0});
    const auto records = planStarts(cell, {}, openInputs(cell), kernel::time_point{});
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(std::get<assigned_record>(records.front()).job, "urgent");
}

TEST(Plan, TeamKeepsToItsShareOfTheQuota)
{
    cell_state cell = cellWithWorker(10'000);
    for (int number = 0; number < 8; ++number)
        applies(cell, admitted_record{jobOf("job-" + std::to_string(number), 300), number, 0, 0, "", 0});
    plan_inputs inputs = openInputs(cell);
    inputs.cellCount = 2;
    // 2000 millicores over two cells leave 1000 here: three jobs of 300.
    EXPECT_EQ(planStarts(cell, twoDomains(), inputs, kernel::time_point{}).size(), 3U);
}

TEST(Plan, NothingStartsWithoutAFreshConfiguration)
{
    cell_state cell = cellWithWorker(1000);
    applies(cell, admitted_record{jobOf("a", 500), 1, 0, 0, "", 0});
    plan_inputs inputs = openInputs(cell);
    inputs.mayStart = false;
    EXPECT_TRUE(planStarts(cell, {}, inputs, kernel::time_point{}).empty());
}

TEST(Plan, ImpossibleJobIsNamedWithItsReason)
{
    const std::vector<resources> capacities = {{1000, 1000, 0}};
    EXPECT_NE(impossibleReason(jobOf("a", 5000), capacities, {}), "");
    EXPECT_EQ(impossibleReason(jobOf("a", 500), capacities, {}), "");
    EXPECT_NE(impossibleReason(jobOf("a", 2500), capacities, twoDomains()).find("quota"), std::string::npos);
}

TEST(Plan, JobsLeaveAWithdrawnFailureDomain)
{
    cell_state cell = cellWithWorker(1000);
    applies(cell, admitted_record{jobOf("a", 500), 1, 0, 0, "", 0});
    plan_inputs inputs = openInputs(cell);
    EXPECT_TRUE(jobsToMove(cell, inputs, 10).empty());
    inputs.domainOpen = false;
    EXPECT_EQ(jobsToMove(cell, inputs, 10).size(), 1U);
    config::config_document document = twoDomains();
    document.failureDomains["a"].withdrawn = true;
    EXPECT_EQ(domainOfCell(*chooseMoveTarget(document, "a", "a.0", 0)), "b");
}

TEST(Preemption, UrgentJobTakesTheRoomOfBatchWorkOnly)
{
    cell_state cell = cellWithWorker(1000);
    applies(cell, admitted_record{jobOf("batch", 600), 1, 0, 0, "", 0});
    job_spec kept = jobOf("register", 300);
    kept.jobClass = job_class::registerTask;
    applies(cell, admitted_record{kept, 1, 0, 0, "", 0});
    applies(cell, assigned_record{"batch", "worker", 2});
    applies(cell, assigned_record{"register", "worker", 2});
    job_spec urgent = jobOf("urgent", 700);
    urgent.urgent = true;
    applies(cell, admitted_record{urgent, 3, 0, 0, "", 0});
    const attempt_id batch{"batch", 1};
    EXPECT_EQ(planPreemption(cell, {}, openInputs(cell), {}), std::vector<attempt_id>{batch});
    EXPECT_TRUE(planPreemption(cell, {}, openInputs(cell), {batch}).empty());
    job_spec larger = jobOf("larger", 800);
    larger.urgent = true;
    applies(cell, admitted_record{larger, 4, 0, 0, "", 0});
    applies(cell, cancelled_record{"urgent", 5});
    EXPECT_TRUE(planPreemption(cell, {}, openInputs(cell), {}).empty());
}

TEST(Preemption, RoutineWorkEvictsNobody)
{
    cell_state cell = cellWithWorker(1000);
    applies(cell, admitted_record{jobOf("batch", 600), 1, 0, 0, "", 0});
    applies(cell, assigned_record{"batch", "worker", 2});
    applies(cell, admitted_record{jobOf("other", 700), 3, 0, 0, "", 0});
    EXPECT_TRUE(planPreemption(cell, {}, openInputs(cell), {}).empty());
}

TEST(Quarantine, WorkerThatFailsDifferentJobsIsLeftOut)
{
    worker_health health;
    const quarantine_rules rules;
    const time_point now = kernel::fromMillis(1000);
    constexpr int differentJobs = 3;
    for (int job = 0; job < differentJobs; ++job) {
        EXPECT_FALSE(isQuarantined(health, now));
        recordEvidence(health, rules, evidenceOf(attempt_outcome::failed, 0), now);
    }
    EXPECT_TRUE(isQuarantined(health, now));
    EXPECT_FALSE(isQuarantined(health, now + rules.initialQuarantine));
}

TEST(Quarantine, JobThatFailsEverywhereQuarantinesNobody)
{
    worker_health health;
    const quarantine_rules rules;
    const time_point now = kernel::fromMillis(1000);
    for (int time = 0; time < 10; ++time)
        recordEvidence(health, rules, evidenceOf(attempt_outcome::failed, static_cast<std::uint32_t>(time)),
                       now);
    EXPECT_FALSE(isQuarantined(health, now));
}

TEST(Quarantine, WorkerThatFailsAfterItsPauseIsLeftOutForTwiceAsLong)
{
    worker_health health;
    const quarantine_rules rules;
    const time_point now = kernel::fromMillis(1000);
    for (int run = 0; run < 3; ++run)
        recordEvidence(health, rules, run_evidence::failure, now);
    const time_point released = now + rules.initialQuarantine;
    recordEvidence(health, rules, run_evidence::failure, released);
    EXPECT_TRUE(isQuarantined(health, released + rules.initialQuarantine));
    EXPECT_FALSE(isQuarantined(health, released + 2 * rules.initialQuarantine));
}

//! Runs that failed while their worker was quarantined counted towards the next quarantine: a worker with
//! many tasks got there after its next failure, even after dozens of good runs.
TEST(Quarantine, FailuresDuringAQuarantineDoNotCountTowardsTheNextOne)
{
    worker_health health;
    const quarantine_rules rules;
    const time_point now = kernel::fromMillis(1000);
    for (int run = 0; run < 20; ++run)
        recordEvidence(health, rules, run_evidence::failure, now);
    const time_point released = now + rules.initialQuarantine;
    for (int run = 0; run < 12; ++run)
        recordEvidence(health, rules, run_evidence::success, released);
    recordEvidence(health, rules, run_evidence::failure, released);
    EXPECT_FALSE(isQuarantined(health, released));
}

TEST(Quarantine, FewFailuresAmongManySuccessesLeaveAWorkerInUse)
{
    worker_health health;
    const quarantine_rules rules;
    const time_point now = kernel::fromMillis(1000);
    for (int run = 0; run < 400; ++run)
        recordEvidence(health, rules, run % 20 == 0 ? run_evidence::failure : run_evidence::success, now);
    EXPECT_FALSE(isQuarantined(health, now));
}

TEST(Ownership, EachCellHasOneDesiredOwner)
{
    EXPECT_TRUE(rc::check([] {
        ownership_view view;
        const int members = tests::draw(1, 9);
        for (int number = 0; number < members; ++number) {
            const std::string id = "scheduler-" + std::to_string(number);
            view.members[id] = {id, ""};
        }
        const std::vector<std::string> cells = cellNames(twoDomains());
        std::size_t taken = 0;
        for (const auto &[id, member] : view.members) {
            ownerless_times ownerless;
            const auto plan = planOwnership(view, cells, id, {}, ownerless, kernel::milliseconds(2000),
                                            kernel::time_point{});
            taken += plan.acquire.size();
        }
        RC_ASSERT(taken == cells.size());
    }));
}

TEST(Ownership, CellWithoutOwnerIsTakenByAnyoneAfterTheGrace)
{
    ownership_view view;
    view.members["one"] = {"one", ""};
    view.members["two"] = {"two", ""};
    const std::vector<std::string> cells = cellNames(twoDomains());
    ownerless_times ownerless;
    const kernel::milliseconds grace(2000);
    const auto first = planOwnership(view, cells, "one", {}, ownerless, grace, kernel::time_point{});
    const auto later = planOwnership(view, cells, "one", {}, ownerless, grace, kernel::time_point{} + grace);
    EXPECT_LT(first.acquire.size(), cells.size());
    EXPECT_EQ(later.acquire.size(), cells.size());
}

TEST(CellDirectory, RendezvousMovesOnlyKeysOfALostMember)
{
    EXPECT_TRUE(rc::check([](const std::string &key) {
        const std::vector<std::string> all = {"a", "b", "c", "d"};
        const std::vector<std::string> without = {"a", "b", "d"};
        const std::string before = rendezvous(key, all);
        RC_PRE(before != "c");
        RC_ASSERT(rendezvous(key, without) == before);
    }));
}

} // namespace
