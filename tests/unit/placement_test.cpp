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

//! Tests of the state and the journal records of cells, planning, preemption, quarantine and cell ownership.
namespace {

using namespace almond;
using namespace almond::placement;

bool tryApply(cell_state &state, const cell_record &record)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_CHECK(apply(state, record, state.index + 1));
            return true;
        },
        [](const record_error &) { return false; }, [] { return false; });
}

job_spec makeJob(const std::string &id, std::int64_t millicores)
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
    tryApply(cell, owner_record{"owner", 0});
    tryApply(cell, worker_record{"worker", "one", "", "", {millicores, 10'000, 0}});
    return cell;
}

cell_record randomRecord()
{
    const std::string job = "job-" + std::to_string(tests::draw(0, 6));
    const std::string worker = "worker-" + std::to_string(tests::draw(0, 2));
    const auto attempt = tests::draw<std::uint32_t>(1, 4);
    switch (tests::draw(0, 7)) {
    case 0:
        return admitted_record{makeJob(job, tests::draw(100, 900)), 1, 0, 0, "", 0};
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

void checkConsistency(const cell_state &cell)
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

TEST(CellState, IsConsistentAndNotOvercommittedAfterAnyRecords)
{
    EXPECT_TRUE(rc::check([] {
        cell_state cell;
        const int count = tests::draw(1, 80);
        for (int number = 0; number < count; ++number) {
            tryApply(cell, randomRecord());
            checkConsistency(cell);
        }
    }));
}

TEST(CellState, SnapshotRestoresTheSameState)
{
    EXPECT_TRUE(rc::check([] {
        cell_state cell;
        for (int number = 0; number < 40; ++number)
            tryApply(cell, randomRecord());
        const cell_state restored = decodeSnapshot(encodeSnapshot(cell));
        checkConsistency(restored);
        RC_ASSERT(encodeSnapshot(restored) == encodeSnapshot(cell));
    }));
}

TEST(CellState, EncodedRecordsDecodeUnchanged)
{
    EXPECT_TRUE(rc::check([] {
        std::vector<cell_record> records;
        for (int number = 0; number < 10; ++number)
            records.push_back(randomRecord());
        const json encoded = encodeRecords(records);
        RC_ASSERT(encodeRecords(decodeRecords(encoded)) == encoded);
    }));
}

TEST(CellState, RepeatedAdmissionIsIgnored)
{
    cell_state cell = cellWithWorker(1000);
    EXPECT_TRUE(tryApply(cell, admitted_record{makeJob("a", 500), 1, 0, 0, "", 0}));
    EXPECT_TRUE(tryApply(cell, assigned_record{"a", "worker", 2}));
    EXPECT_TRUE(tryApply(cell, ended_record{{"a", 1}, attempt_outcome::done, "", 3}));
    EXPECT_TRUE(tryApply(cell, admitted_record{makeJob("a", 500), 4, 0, 0, "", 0}));
    EXPECT_EQ(cell.jobs.at("a").phase, job_phase::done);
}

TEST(CellState, JobFailsPermanentlyWithAReasonAfterTooManyFailures)
{
    cell_state cell = cellWithWorker(1000);
    tryApply(cell, admitted_record{makeJob("a", 500), 1, 0, 0, "", 0});
    for (std::uint32_t attempt = 1; attempt <= maximumFailures; ++attempt) {
        EXPECT_TRUE(tryApply(cell, assigned_record{"a", "worker", 2}));
        EXPECT_TRUE(tryApply(cell, ended_record{{"a", attempt}, attempt_outcome::failed, "", 3}));
    }
    EXPECT_EQ(cell.jobs.at("a").phase, job_phase::failed);
    EXPECT_FALSE(cell.jobs.at("a").reason.empty());
}

TEST(RecordFilter, DuplicateEndIsKeptOnce)
{
    cell_state cell = cellWithWorker(1000);
    tryApply(cell, admitted_record{makeJob("a", 500), 1, 0, 0, "", 0});
    tryApply(cell, assigned_record{"a", "worker", 2});
    const ended_record ended{{"a", 1}, attempt_outcome::done, "", 3};
    EXPECT_EQ(filterRecords(cell, {ended, ended}).size(), 1U);
}

TEST(RecordFilter, NewIncarnationEndsEveryAttemptOfTheOldOne)
{
    cell_state cell = cellWithWorker(1000);
    tryApply(cell, admitted_record{makeJob("a", 500), 1, 0, 0, "", 0});
    tryApply(cell, assigned_record{"a", "worker", 2});
    const auto records = filterRecords(cell, {worker_record{"worker", "two", "", "", {1000, 10'000, 0}}});
    for (const cell_record &record : records)
        EXPECT_TRUE(tryApply(cell, record));
    EXPECT_EQ(cell.workers.at("worker").incarnation, "two");
    EXPECT_EQ(cell.jobs.at("a").phase, job_phase::queued);
}

config::config_document twoFailureDomains()
{
    config::config_document document;
    document.failureDomains["a"] = {"region", false};
    document.failureDomains["b"] = {"region", false};
    document.cellsPerFailureDomain = 2;
    document.teams["team"] = {2000, 100'000, 0};
    return document;
}

plan_inputs makeInputs(const cell_state &cell)
{
    plan_inputs inputs;
    inputs.candidates = candidateWorkers(cell, {"worker"});
    inputs.mayStart = true;
    return inputs;
}

TEST(Plan, JobThatDoesNotFitDoesNotBlockLaterJobs)
{
    cell_state cell = cellWithWorker(1000);
    tryApply(cell, admitted_record{makeJob("large", 5000), 1, 0, 0, "", 0});
    tryApply(cell, admitted_record{makeJob("small", 500), 2, 0, 0, "", 0});
    config::config_document document;
    const auto records = planStarts(cell, document, makeInputs(cell), kernel::time_point{});
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(std::get<assigned_record>(records.front()).job, "small");
}

TEST(Plan, UrgentJobsStartFirst)
{
    cell_state cell = cellWithWorker(1000);
    tryApply(cell, admitted_record{makeJob("first", 800), 1, 0, 0, "", 0});
    job_spec urgent = makeJob("urgent", 800);
    urgent.urgent = true;
    tryApply(cell, admitted_record{urgent, 2, 0, 0, "", 0});
    const auto records = planStarts(cell, {}, makeInputs(cell), kernel::time_point{});
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(std::get<assigned_record>(records.front()).job, "urgent");
}

TEST(Plan, TeamIsLimitedToItsQuotaPerCell)
{
    cell_state cell = cellWithWorker(10'000);
    for (int number = 0; number < 8; ++number)
        tryApply(cell, admitted_record{makeJob("job-" + std::to_string(number), 300), number, 0, 0, "", 0});
    plan_inputs inputs = makeInputs(cell);
    inputs.cellCount = 2;
    // Each of two cells may use half of 2000 millicores, which is enough for three jobs of 300.
    EXPECT_EQ(planStarts(cell, twoFailureDomains(), inputs, kernel::time_point{}).size(), 3U);
}

TEST(Plan, NoJobStartsWithoutARecentConfiguration)
{
    cell_state cell = cellWithWorker(1000);
    tryApply(cell, admitted_record{makeJob("a", 500), 1, 0, 0, "", 0});
    plan_inputs inputs = makeInputs(cell);
    inputs.mayStart = false;
    EXPECT_TRUE(planStarts(cell, {}, inputs, kernel::time_point{}).empty());
}

TEST(Plan, ImpossibleJobHasAReason)
{
    const std::vector<resources> capacities = {{1000, 1000, 0}};
    EXPECT_NE(impossibleReason(makeJob("a", 5000), capacities, {}), "");
    EXPECT_EQ(impossibleReason(makeJob("a", 500), capacities, {}), "");
    EXPECT_NE(impossibleReason(makeJob("a", 2500), capacities, twoFailureDomains()).find("quota"),
              std::string::npos);
}

TEST(Plan, JobsMoveOutOfAWithdrawnFailureDomain)
{
    cell_state cell = cellWithWorker(1000);
    tryApply(cell, admitted_record{makeJob("a", 500), 1, 0, 0, "", 0});
    plan_inputs inputs = makeInputs(cell);
    EXPECT_TRUE(jobsToMove(cell, inputs, 10).empty());
    inputs.domainOpen = false;
    EXPECT_EQ(jobsToMove(cell, inputs, 10).size(), 1U);
    config::config_document document = twoFailureDomains();
    document.failureDomains["a"].withdrawn = true;
    EXPECT_EQ(domainOfCell(*chooseMoveTarget(document, "a", "a.0", 0)), "b");
}

TEST(Preemption, UrgentJobEvictsOnlyBatchJobs)
{
    cell_state cell = cellWithWorker(1000);
    tryApply(cell, admitted_record{makeJob("batch", 600), 1, 0, 0, "", 0});
    job_spec kept = makeJob("register", 300);
    kept.jobClass = job_class::registerTask;
    tryApply(cell, admitted_record{kept, 1, 0, 0, "", 0});
    tryApply(cell, assigned_record{"batch", "worker", 2});
    tryApply(cell, assigned_record{"register", "worker", 2});
    job_spec urgent = makeJob("urgent", 700);
    urgent.urgent = true;
    tryApply(cell, admitted_record{urgent, 3, 0, 0, "", 0});
    const attempt_id batch{"batch", 1};
    EXPECT_EQ(planPreemption(cell, {}, makeInputs(cell), {}), std::vector<attempt_id>{batch});
    EXPECT_TRUE(planPreemption(cell, {}, makeInputs(cell), {batch}).empty());
    job_spec larger = makeJob("larger", 800);
    larger.urgent = true;
    tryApply(cell, admitted_record{larger, 4, 0, 0, "", 0});
    tryApply(cell, cancelled_record{"urgent", 5});
    EXPECT_TRUE(planPreemption(cell, {}, makeInputs(cell), {}).empty());
}

TEST(Preemption, NonUrgentJobEvictsNothing)
{
    cell_state cell = cellWithWorker(1000);
    tryApply(cell, admitted_record{makeJob("batch", 600), 1, 0, 0, "", 0});
    tryApply(cell, assigned_record{"batch", "worker", 2});
    tryApply(cell, admitted_record{makeJob("other", 700), 3, 0, 0, "", 0});
    EXPECT_TRUE(planPreemption(cell, {}, makeInputs(cell), {}).empty());
}

TEST(Quarantine, WorkerThatFailsDifferentJobsIsQuarantined)
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

TEST(Quarantine, JobThatFailsEverywhereQuarantinesNoWorker)
{
    worker_health health;
    const quarantine_rules rules;
    const time_point now = kernel::fromMillis(1000);
    for (int time = 0; time < 10; ++time)
        recordEvidence(health, rules, evidenceOf(attempt_outcome::failed, static_cast<std::uint32_t>(time)),
                       now);
    EXPECT_FALSE(isQuarantined(health, now));
}

TEST(Quarantine, FailureAfterAQuarantineDoublesTheNextOne)
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

//! Guards against counting runs that fail while their worker is quarantined: a worker with many tasks was
//! quarantined again after its next failure, even after dozens of successful runs.
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

TEST(Quarantine, RareFailuresDoNotQuarantineAWorker)
{
    worker_health health;
    const quarantine_rules rules;
    const time_point now = kernel::fromMillis(1000);
    for (int run = 0; run < 400; ++run)
        recordEvidence(health, rules, run % 20 == 0 ? run_evidence::failure : run_evidence::success, now);
    EXPECT_FALSE(isQuarantined(health, now));
}

TEST(Ownership, EachCellIsAssignedToOneMember)
{
    EXPECT_TRUE(rc::check([] {
        ownership_view view;
        const int members = tests::draw(1, 9);
        for (int number = 0; number < members; ++number) {
            const std::string id = "scheduler-" + std::to_string(number);
            view.members[id] = {id, ""};
        }
        const std::vector<std::string> cells = cellNames(twoFailureDomains());
        std::size_t acquired = 0;
        for (const auto &[id, member] : view.members) {
            ownerless_times ownerless;
            const auto plan = planOwnership(view, cells, id, {}, ownerless, kernel::milliseconds(2000),
                                            kernel::time_point{});
            acquired += plan.acquire.size();
        }
        RC_ASSERT(acquired == cells.size());
    }));
}

TEST(Ownership, AnyMemberAcquiresAnOwnerlessCellAfterTheGracePeriod)
{
    ownership_view view;
    view.members["one"] = {"one", ""};
    view.members["two"] = {"two", ""};
    const std::vector<std::string> cells = cellNames(twoFailureDomains());
    ownerless_times ownerless;
    const kernel::milliseconds grace(2000);
    const auto first = planOwnership(view, cells, "one", {}, ownerless, grace, kernel::time_point{});
    const auto later = planOwnership(view, cells, "one", {}, ownerless, grace, kernel::time_point{} + grace);
    EXPECT_LT(first.acquire.size(), cells.size());
    EXPECT_EQ(later.acquire.size(), cells.size());
}

TEST(CellDirectory, RendezvousHashingRemapsOnlyKeysOfARemovedMember)
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
