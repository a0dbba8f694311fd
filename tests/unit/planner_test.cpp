#include "tests/unit/draw.h"
#include "tests/unit/saturated_service.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

//! Who gets room, and where work goes.
namespace {

using namespace almond;

struct planned
{
    jobs::job_table table;
    jobs::fleet_config config = tests::fleetConfig();
    jobs::interference_view interference;
    std::vector<jobs::candidate> candidates;

    void addWorker(const jobs::worker_info &info)
    {
        const auto load = table.loads.find(jobs::incarnationOf(info));
        candidates.push_back(jobs::makeCandidate(info, load == table.loads.end() ? nullptr : &load->second));
    }

    //! A job of \a count tasks of \a image that fill.
    void addFilling(std::uint32_t count, const std::string &image)
    {
        auto filling = tests::step(count, 4000);
        filling.bestEffort = true;
        filling.image = image;
        jobs::addJob(table, tests::makeJob("00000000000000aa", {filling}, "reviews"));
    }

    std::vector<jobs::journal_record> plan(std::int64_t unixMs = 0) const
    {
        constexpr std::size_t limit = 1000;
        return jobs::planStarts(table, config, interference, candidates, limit, kernel::fromMillis(unixMs));
    }
};

TEST(Planner, AStepOverItsLimitOnAWorkerGoesElsewhere)
{
    planned world;
    auto spread = tests::step(4, 100);
    spread.perWorkerLimit = 1;
    jobs::addJob(world.table, tests::makeJob("00000000000000aa", {spread}));
    world.addWorker(tests::worker("v"));
    world.addWorker(tests::worker("w"));
    EXPECT_EQ(world.plan().size(), 2U);
}

TEST(Planner, AGangStartsWholeOrNotAtAllWithOneRunNumber)
{
    planned world;
    auto gang = tests::step(3, 20'000);
    gang.gang = true;
    jobs::addJob(world.table, tests::makeJob("00000000000000aa", {gang}));
    world.addWorker(tests::worker("v"));
    world.addWorker(tests::worker("w"));
    EXPECT_TRUE(world.plan().empty());
    world.addWorker(tests::worker("x"));
    const auto records = world.plan();
    ASSERT_EQ(records.size(), 3U);
    for (const jobs::journal_record &record : records)
        EXPECT_EQ(record.run, records.front().run);
}

TEST(Planner, AGangThatWantsOneRackGetsItWhereOneHasRoom)
{
    planned world;
    auto gang = tests::step(2, 20'000);
    gang.gang = true;
    gang.sameRack = true;
    jobs::addJob(world.table, tests::makeJob("00000000000000aa", {gang}));
    world.addWorker(tests::worker("v", 32'000, "r1"));
    world.addWorker(tests::worker("w", 32'000, "r2"));
    world.addWorker(tests::worker("x", 32'000, "r2"));
    for (const jobs::journal_record &record : world.plan())
        EXPECT_NE(record.worker, "v@1");
}

TEST(Planner, AWorkerWithoutTheLabelGetsNothing)
{
    planned world;
    auto labelled = tests::step(1, 100);
    labelled.requiredLabel = "b";
    jobs::addJob(world.table, tests::makeJob("00000000000000aa", {labelled}));
    world.addWorker(tests::worker("v"));
    EXPECT_TRUE(world.plan().empty());
}

TEST(Planner, UrgentQueuesComeFirst)
{
    planned world;
    jobs::addJob(world.table, tests::makeJob("00000000000000aa", {tests::step(1, 20'000)}, "reviews"));
    jobs::addJob(world.table, tests::makeJob("00000000000000ab", {tests::step(1, 20'000)}, "checks"));
    world.addWorker(tests::worker("v"));
    const auto records = world.plan();
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records.front().task.job, "00000000000000ab");
}

//! Load pattern: a stream of small batch tasks of the same priority beside a large lasting task that fits
//! nowhere. Without a reservation the small ones take each piece of room as it comes.
TEST(Planner, SmallBatchTasksDoNotStarveALargeLastingOne)
{
    planned world;
    auto lasting = tests::step(1, 10'000);
    lasting.longRunning = true;
    jobs::addJob(world.table, tests::makeJob("00000000000000aa", {lasting}));
    jobs::addJob(world.table, tests::makeJob("00000000000000ab", {tests::step(200, 2000)}));
    const jobs::worker_info only = tests::worker("v", 12'000);
    std::uint32_t next = 0;
    for (; next < 6; ++next)
        jobs::apply(world.table, tests::started({"00000000000000ab", 0, 0, next}, 1, "v@1"));
    bool lastingStarted = false;
    // One short task ends each second; room for the lasting one takes five of them, after its patience.
    constexpr std::int64_t secondMs = 1000;
    for (std::uint32_t round = 0; round < 9 && !lastingStarted; ++round) {
        jobs::apply(world.table, tests::ended({"00000000000000ab", 0, 0, round}, 1, jobs::run_end::done));
        world.candidates.clear();
        world.addWorker(only);
        for (const jobs::journal_record &record : world.plan(round * secondMs)) {
            jobs::apply(world.table, record);
            lastingStarted = lastingStarted || record.task.job == "00000000000000aa";
        }
    }
    EXPECT_TRUE(lastingStarted);
}

//! Load pattern: a fleet that has lost a failure domain. Lasting tasks ask for more room than is left and
//! would keep it; short ones of the same priority need little and give it back.
TEST(Planner, LastingTasksDoNotTakeAllRoomFromShortOnes)
{
    planned world;
    auto lasting = tests::step(50, 5000);
    lasting.longRunning = true;
    jobs::addJob(world.table, tests::makeJob("00000000000000aa", {lasting}));
    jobs::addJob(world.table, tests::makeJob("00000000000000ab", {tests::step(4, 3000)}));
    for (const char *id : {"u", "v", "w"})
        world.addWorker(tests::worker(id, 12'000));
    std::size_t shortOnes = 0;
    std::size_t lastingOnes = 0;
    for (const jobs::journal_record &record : world.plan())
        ++(record.task.job == "00000000000000aa" ? lastingOnes : shortOnes);
    EXPECT_EQ(shortOnes, 4U);
    EXPECT_GT(lastingOnes, 0U);
}

//! Load pattern: short tasks keep the service full when the worker of a few lasting ones is lost. Served by
//! turns, the lost ones would wait on beside room for them.
TEST(Planner, AFewLostLastingTasksRunAgainInAServiceThatShortOnesKeepFull)
{
    constexpr std::int64_t millicores = 5000;
    tests::full_service service(tests::equalWorkers(20), millicores);
    service.fill();
    tests::addLostJob(service, "00000000000000aa", tests::lastingStep(4, millicores));
    EXPECT_EQ(service.tasksLeftWaiting({"00000000000000aa"}), 0U);
}

//! Load pattern: lasting tasks of little priority wait for long while urgent short ones come.
TEST(Planner, ALastingTaskThatHasWaitedLongDoesNotGoBeforeUrgentWork)
{
    planned world;
    auto lasting = tests::step(1, 10'000);
    lasting.longRunning = true;
    jobs::addJob(world.table, tests::makeJob("00000000000000aa", {lasting}, "reviews"));
    jobs::addJob(world.table, tests::makeJob("00000000000000ab", {tests::step(1, 10'000)}, "checks"));
    world.addWorker(tests::worker("v", 12'000));
    constexpr std::int64_t longWaitMs = 60'000;
    const auto records = world.plan(longWaitMs);
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records.front().task.job, "00000000000000ab");
}

//! Load pattern: overload. A queue in the order of arrival makes every job late; one that can still be in
//! time goes before one that can't, and that one before one that is of no use any more.
TEST(Planner, UnderOverloadJobsThatCanStillBeInTimeGoFirst)
{
    planned world;
    const auto addAccepted = [&world](const char *id, std::int64_t acceptedAtMs) {
        auto spec = tests::step(1, 20'000);
        spec.declaredDuration = kernel::milliseconds(2000);
        jobs::job made = tests::makeJob(id, {spec});
        made.acceptedAtMs = acceptedAtMs;
        jobs::addJob(world.table, std::move(made));
    };
    world.config.queues["checks"].stretch = 2.0;
    addAccepted("00000000000000aa", 1000);
    addAccepted("00000000000000ab", 15'000);
    addAccepted("00000000000000ac", 19'000);
    for (const char *expected : {"00000000000000ac", "00000000000000ab", "00000000000000aa"}) {
        world.candidates.clear();
        world.addWorker(tests::worker("v"));
        const auto records = world.plan(20'000);
        ASSERT_EQ(records.size(), 1U);
        EXPECT_EQ(records.front().task.job, expected);
        jobs::apply(world.table, records.front());
        jobs::apply(world.table, tests::ended(records.front().task, 1, jobs::run_end::done));
    }
}

//! Load pattern: a wave of filling tasks whose image presses one serving image hard and another one hardly.
TEST(Planner, AWaveOfFillingTasksGoesWhereItDisturbsTheLeast)
{
    planned world;
    world.addFilling(4, "heavy");
    world.addWorker(tests::worker("pressed"));
    world.addWorker(tests::worker("robust"));
    jobs::interference_model &model = world.interference.model;
    world.candidates[0].serving = {{jobs::numberOf(model, "frail"), 2.0}};
    world.candidates[1].serving = {{jobs::numberOf(model, "sturdy"), 2.0}};
    tests::setSlackPerCore(model, "frail", "heavy", 0.25);
    tests::setSlackPerCore(model, "sturdy", "heavy", 0.02);
    const auto records = world.plan();
    EXPECT_EQ(records.size(), 4U);
    for (const jobs::journal_record &record : records)
        EXPECT_EQ(record.worker, "robust@1");
}

//! Load pattern: serving tasks are at the peak of their own load while work comes that does not disturb them.
TEST(Planner, AHarmlessTaskGoesBesideAServingTaskAtThePeakOfItsLoad)
{
    planned world;
    world.addFilling(1, "gentle");
    world.addWorker(tests::worker("v"));
    jobs::interference_model &model = world.interference.model;
    world.candidates[0].serving = {{jobs::numberOf(model, "frail"), 0.9}};
    tests::setSlackPerCore(model, "frail", "gentle", 0.01);
    EXPECT_EQ(world.plan().size(), 1U);
    tests::setSlackPerCore(model, "frail", "gentle", 0.2);
    EXPECT_TRUE(world.plan().empty());
}

//! Load pattern: harmless tasks keep coming to a worker whose serving task is too slow.
TEST(Planner, NothingThatFillsGoesWhereAServingTaskIsTooSlow)
{
    planned world;
    world.addFilling(1, "gentle");
    world.addWorker(tests::worker("v"));
    tests::setSlackPerCore(world.interference.model, "frail", "gentle", 0.01);
    world.candidates[0].bestEffortBlocked = true;
    EXPECT_TRUE(world.plan().empty());
    world.addWorker(tests::worker("w"));
    EXPECT_EQ(world.plan().size(), 1U);
}

//! Load pattern: a fleet that fills up with serving jobs of several images. Mixed on every worker, they leave
//! no worker to the work that disturbs one of them.
TEST(Planner, TasksThatServeGatherByImage)
{
    planned world;
    const std::vector<std::string> images{"frail", "sturdy"};
    for (std::size_t number = 0; number < images.size(); ++number) {
        auto serving = tests::step(4, 8000);
        serving.longRunning = true;
        serving.tailLatencyTarget = kernel::milliseconds(50);
        serving.image = images[number];
        jobs::numberOf(world.interference.model, serving.image);
        jobs::addJob(world.table, tests::makeJob("00000000000000a" + std::to_string(number), {serving}));
    }
    world.addWorker(tests::worker("v"));
    world.addWorker(tests::worker("w"));
    world.addWorker(tests::worker("x"));
    std::map<std::string, std::set<std::string>> jobsByWorker;
    for (const jobs::journal_record &record : world.plan())
        jobsByWorker[record.worker].insert(record.task.job);
    for (const auto &[worker, names] : jobsByWorker)
        EXPECT_EQ(names.size(), 1U) << worker;
}

//! Load pattern: a backlog of equal jobs over a full fleet. One that finds no room settles it for all.
TEST(Planner, AJobThatAsksForLessThanOneThatFoundNoRoomStillGetsIt)
{
    planned world;
    jobs::addJob(world.table, tests::makeJob("00000000000000aa", {tests::step(3, 20'000)}));
    jobs::addJob(world.table, tests::makeJob("00000000000000ab", {tests::step(3, 20'000)}));
    jobs::addJob(world.table, tests::makeJob("00000000000000ac", {tests::step(3, 6000)}));
    world.addWorker(tests::worker("v"));
    std::map<std::string, int> starts;
    for (const jobs::journal_record &record : world.plan())
        ++starts[record.task.job];
    EXPECT_EQ(starts["00000000000000aa"], 1);
    EXPECT_EQ(starts["00000000000000ac"], 2);
}

RC_GTEST_PROP(PlannerProperty, NoWorkerIsEverCommittedBeyondItsCapacity, ())
{
    planned world;
    const int jobCount = tests::draw(1, 6);
    for (int number = 0; number < jobCount; ++number) {
        auto spec = tests::step(tests::draw(1U, 12U), tests::draw<std::int64_t>(100, 9000),
                                tests::draw<std::int64_t>(100, 50'000));
        spec.longRunning = tests::draw(0, 3) == 0;
        spec.bestEffort = !spec.longRunning && tests::draw(0, 3) == 0;
        spec.gang = !spec.longRunning && !spec.bestEffort && tests::draw(0, 4) == 0;
        jobs::addJob(world.table, tests::makeJob("00000000000000a" + std::to_string(number), {spec}));
    }
    const std::vector<jobs::worker_info> workers{tests::worker("u", 16'000), tests::worker("v"),
                                                 tests::worker("w", 48'000)};
    for (int round = 0; round < 3; ++round) {
        world.candidates.clear();
        for (const jobs::worker_info &info : workers)
            world.addWorker(info);
        for (const jobs::journal_record &record : world.plan())
            RC_ASSERT(jobs::apply(world.table, record));
        for (const jobs::worker_info &info : workers) {
            const auto load = world.table.loads.find(jobs::incarnationOf(info));
            if (load != world.table.loads.end())
                RC_ASSERT(placement::fits(load->second.guaranteed, info.capacity));
        }
    }
}

TEST(Planner, AJobIsGivenUpAfterAsManyFailuresAsItsQueueAllows)
{
    planned world;
    const jobs::task_name task{"00000000000000aa", 0, 0, 0};
    jobs::addJob(world.table, tests::makeJob(task.job, {tests::step(1, 100)}));
    const std::vector<jobs::task_name> touched{task};
    for (std::uint32_t run = 1; run <= 3; ++run) {
        EXPECT_TRUE(jobs::jobsOutOfAttempts(world.table, world.config, touched).empty());
        jobs::apply(world.table, tests::started(task, 2 * run, "v@1"));
        jobs::apply(world.table, tests::ended(task, 2 * run, jobs::run_end::failed));
        jobs::apply(world.table, tests::started(task, 2 * run + 1, "v@1"));
        jobs::apply(world.table, tests::ended(task, 2 * run + 1, jobs::run_end::lost));
    }
    EXPECT_EQ(jobs::jobsOutOfAttempts(world.table, world.config, touched).size(), 1U);
}

} // namespace
