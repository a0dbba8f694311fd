#include "placement/record_filter.h"
#include "placement/worker_link.h"
#include "standins/worker_state.h"

#include "tests/unit/draw.h"
#include <boost/leaf/handle_errors.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>

//! Tests task leases, epochs and sequence numbers in a simulation of two owners, two workers and a network
//! that delays, drops and reorders messages. Time is simulated.
namespace {

using namespace almond;
using namespace almond::placement;
using kernel::milliseconds;

constexpr milliseconds stepDuration{200};
constexpr int stepCount = 400;

//! A request in transit from an owner to a worker.
struct request_message
{
    std::size_t owner = 0;
    std::size_t worker = 0;
    sync_request request;
};

//! An owner with its copy of the cell. The journal is shared: only the owner of the newest epoch may append.
struct simulated_owner
{
    cell_state cell;
    std::map<std::string, worker_link> links;
    time_point confirmedAt{};
    bool paused = false;
};

struct simulation
{
    time_point now = kernel::fromMillis(1'000'000);
    lease_rules rules;
    std::vector<std::vector<cell_record>> journal;
    std::vector<simulated_owner> owners;
    std::vector<standins::worker_state> workers;
    std::deque<request_message> network;
    //! Links from an owner to a worker that drop all messages.
    std::set<std::size_t> brokenLinks;
    //! Workers whose responses are all dropped.
    std::set<std::size_t> mutedWorkers;
    std::map<std::string, int> runningAttempts;
    std::map<std::string, int> publishedResults;
    //! Whether a job ran twice at once or published its result twice.
    bool duplicateFound = false;
};

std::string workerName(std::size_t number)
{
    return "worker-" + std::to_string(number);
}

void applyAll(cell_state &cell, const std::vector<cell_record> &records)
{
    ++cell.index;
    for (const cell_record &record : records) {
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> { return apply(cell, record, cell.index); }, [] {});
    }
}

//! Appends \a records if \a self has applied the whole journal. Otherwise another owner has replaced it,
//! which it does not notice.
bool appendToJournal(simulation &sim, simulated_owner &self, const std::vector<cell_record> &records)
{
    if (self.cell.index != sim.journal.size())
        return false;
    sim.journal.push_back(records);
    applyAll(self.cell, records);
    return true;
}

void takeOver(simulation &sim, simulated_owner &self, const std::string &name)
{
    self.cell = cell_state{};
    self.links.clear();
    for (const auto &records : sim.journal)
        applyAll(self.cell, records);
    appendToJournal(sim, self, {owner_record{name, kernel::toMillis(sim.now)}});
    self.confirmedAt = sim.now;
}

void recordTaskEvents(simulation &sim, standins::worker_state &worker)
{
    worker.sink = [&sim](std::string_view event, const json &fields) {
        const std::string job = fields.at("job");
        if (event == "task-started")
            sim.duplicateFound = sim.duplicateFound || ++sim.runningAttempts[job] > 1;
        if (event == "task-ended")
            --sim.runningAttempts[job];
        if (event == "task-published")
            sim.duplicateFound = sim.duplicateFound || ++sim.publishedResults[job] > 1;
    };
}

simulation makeSimulation(lease_rules rules)
{
    simulation sim;
    sim.rules = rules;
    sim.owners.resize(2);
    sim.workers.resize(2);
    for (std::size_t number = 0; number < sim.workers.size(); ++number) {
        sim.workers[number].id = workerName(number);
        sim.workers[number].incarnation = "one";
        sim.workers[number].capacity = {10'000, 10'000, 0};
        sim.workers[number].advancedAt = sim.now;
    }
    return sim;
}

//! Commits \a newRecords together with assignments of all queued jobs to random workers.
void commitAndAssign(simulation &sim, simulated_owner &self, std::vector<cell_record> newRecords)
{
    std::vector<cell_record> records = filterRecords(self.cell, std::move(newRecords));
    const changed_ids changed = idsChangedBy(records);
    for (const queue_key &key : self.cell.queue) {
        const std::string worker = workerName(tests::draw<std::size_t>(0, 2));
        const bool known = self.cell.workers.contains(worker) && !changed.workers.contains(worker);
        if (known && !changed.jobs.contains(key.job))
            records.emplace_back(assigned_record{key.job, worker, kernel::toMillis(sim.now)});
    }
    if (!records.empty())
        appendToJournal(sim, self, records);
}

//! Lets one owner send a request to each worker and commit the ends of expired attempts.
void runOwner(simulation &sim, std::size_t number)
{
    simulated_owner &self = sim.owners[number];
    if (self.paused || self.cell.epoch == 0)
        return;
    std::vector<cell_record> records;
    for (std::size_t target = 0; target < sim.workers.size(); ++target) {
        const std::string name = workerName(target);
        const link_inputs inputs{sim.now, self.confirmedAt, true, {}};
        sim.network.push_back(
            {number, target,
             nextRequest(self.cell, "cell", name, self.links[name], inputs, sim.rules, sim.now)});
        const auto expired = expiredAttempts(self.cell, name, self.links[name], sim.rules, sim.now);
        std::copy(expired.begin(), expired.end(), std::back_inserter(records));
    }
    commitAndAssign(sim, self, std::move(records));
}

void deliverMessage(simulation &sim, const request_message &message)
{
    if (sim.brokenLinks.contains(message.owner * sim.workers.size() + message.worker))
        return;
    standins::worker_state &worker = sim.workers[message.worker];
    const sync_response response = standins::handleSync(worker, message.request, sim.now);
    simulated_owner &self = sim.owners[message.owner];
    const bool responseLost = sim.mutedWorkers.contains(message.worker) || tests::draw(0, 4) == 0;
    if (responseLost || self.paused || message.request.epoch != self.cell.epoch)
        return;
    worker_link &link = self.links[worker.id];
    commitAndAssign(sim, self, handleResponse(self.cell, worker.id, link, response, sim.now));
}

//! Delivers or drops some random messages.
void deliverMessages(simulation &sim)
{
    const int messageCount = tests::draw(0, 5);
    for (int number = 0; number < messageCount && !sim.network.empty(); ++number) {
        const auto index = tests::draw<std::size_t>(0, sim.network.size());
        const request_message message = sim.network[index];
        sim.network.erase(sim.network.begin() + static_cast<std::ptrdiff_t>(index));
        if (tests::draw(0, 5) > 0)
            deliverMessage(sim, message);
    }
    while (sim.network.size() > 12)
        sim.network.pop_front();
}

void toggle(std::set<std::size_t> &links, std::size_t number)
{
    if (links.erase(number) == 0)
        links.insert(number);
}

//! Pauses or resumes an owner, lets one take over, restarts a worker, or breaks or repairs the network.
void injectFault(simulation &sim)
{
    const int event = tests::draw(0, 40);
    const auto number = tests::draw<std::size_t>(0, 2);
    if (event == 0)
        sim.owners[number].paused = !sim.owners[number].paused;
    if (event == 1 && !sim.owners[number].paused)
        takeOver(sim, sim.owners[number], "owner-" + std::to_string(number));
    if (event == 3)
        toggle(sim.brokenLinks, tests::draw<std::size_t>(0, sim.owners.size() * sim.workers.size()));
    if (event == 4)
        toggle(sim.mutedWorkers, number);
    if (event == 2) {
        standins::worker_state &worker = sim.workers[number];
        for (const auto &[id, task] : worker.tasks)
            sim.runningAttempts[id.job] -= task.running ? 1 : 0;
        worker.tasks.clear();
        worker.incarnation += "+";
    }
}

void simulate(simulation &sim)
{
    for (standins::worker_state &worker : sim.workers)
        recordTaskEvents(sim, worker);
    takeOver(sim, sim.owners[0], "owner-0");
    std::vector<cell_record> jobs;
    for (int number = 0; number < 4; ++number) {
        job_spec spec;
        spec.id = "job-" + std::to_string(number);
        spec.demand = {1000, 100, 0};
        spec.payload = {{"runMs", 3000}};
        jobs.emplace_back(admitted_record{spec, number, 0, 0, "", 0});
    }
    appendToJournal(sim, sim.owners[0], jobs);
    for (int step = 0; step < stepCount && !sim.duplicateFound; ++step) {
        sim.now += stepDuration;
        for (simulated_owner &self : sim.owners) {
            // The store confirms only the owner of the newest epoch.
            const bool current = self.cell.index == sim.journal.size();
            self.confirmedAt = current && !self.paused ? sim.now : self.confirmedAt;
        }
        for (standins::worker_state &worker : sim.workers)
            standins::advance(worker, sim.now);
        injectFault(sim);
        runOwner(sim, 0);
        runOwner(sim, 1);
        deliverMessages(sim);
    }
}

lease_rules shortRules()
{
    lease_rules rules;
    rules.taskLease = milliseconds(2000);
    rules.unresponsiveAfter = milliseconds(600);
    rules.clockMargin = milliseconds(400);
    rules.detachedLimit = milliseconds(3000);
    rules.startValidity = milliseconds(1000);
    return rules;
}

TEST(Leases, NoJobRunsTwiceAtOnceOrFinishesTwice)
{
    EXPECT_TRUE(rc::check([] {
        simulation sim = makeSimulation(shortRules());
        simulate(sim);
        RC_ASSERT(!sim.duplicateFound);
    }));
}

//! Guards against a simulation that detects nothing: a negative clock margin makes owners treat task leases
//! as expired before their end, for example those of an earlier owner, and the check must fail.
TEST(Leases, CheckDetectsLeasesThatExpireTooEarly)
{
    const bool passed = rc::check([] {
        lease_rules rules = shortRules();
        rules.clockMargin = milliseconds(-6000);
        simulation sim = makeSimulation(rules);
        simulate(sim);
        RC_ASSERT(!sim.duplicateFound);
    });
    EXPECT_FALSE(passed);
}

TEST(Leases, StartAfterTheDeadlineIsRefused)
{
    simulation sim = makeSimulation(shortRules());
    standins::worker_state &worker = sim.workers[0];
    recordTaskEvents(sim, worker);
    sync_request request;
    request.cell = "cell";
    request.epoch = 1;
    request.sequence = 1;
    request.incarnation = worker.incarnation;
    request.leaseUntilMs = kernel::toMillis(sim.now) + 1000;
    run_order order;
    order.id = {"job", 1};
    order.spec.id = "job";
    order.startBeforeMs = kernel::toMillis(sim.now) - 1;
    request.run.push_back(order);
    const sync_response response = standins::handleSync(worker, request, sim.now);
    ASSERT_EQ(response.attempts.size(), 1U);
    EXPECT_EQ(response.attempts.front().outcome, attempt_outcome::notStarted);
}

TEST(Leases, AttemptsOfADeadWorkerExpireThoughRequestsContinue)
{
    simulation sim = makeSimulation(shortRules());
    simulated_owner &self = sim.owners[0];
    takeOver(sim, self, "owner");
    job_spec spec;
    spec.id = "job";
    const std::string worker = workerName(0);
    appendToJournal(sim, self,
                    {worker_record{worker, "one", "", "", {1000, 1000, 0}},
                     admitted_record{spec, 1, 0, 0, "", 0}, assigned_record{"job", worker, 1}});
    worker_link &link = self.links[worker];
    link.lastResponseAt = sim.now;
    const milliseconds limit
        = sim.rules.unresponsiveAfter + sim.rules.taskLease + sim.rules.clockMargin + stepDuration * 2;
    for (const time_point end = sim.now + limit; sim.now < end; sim.now += stepDuration)
        nextRequest(self.cell, "cell", worker, link, {sim.now, sim.now, true, {}}, sim.rules, sim.now);
    EXPECT_EQ(expiredAttempts(self.cell, worker, link, sim.rules, sim.now).size(), 1U);
}

TEST(Leases, OwnerWithoutTheStoreStopsRenewingAtItsLimit)
{
    cell_state cell;
    worker_link link;
    const lease_rules rules = shortRules();
    const time_point confirmed = kernel::fromMillis(1'000'000);
    const time_point now = confirmed + milliseconds(60'000);
    const sync_request request
        = nextRequest(cell, "cell", "worker", link, {now, confirmed, true, {}}, rules, now);
    EXPECT_EQ(request.leaseUntilMs, kernel::toMillis(confirmed + rules.detachedLimit + rules.taskLease));
}

} // namespace
