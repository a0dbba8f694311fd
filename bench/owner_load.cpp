#include "fleet/job_owner.h"
#include "jobs/job_codec.h"
#include "relay/order_dispatcher.h"
#include "relay/order_relay.h"
#include "tests/fakes/shared_store.h"
#include "tests/unit/job_fixtures.h"

#include <cstdlib>
#include <ctime>
#include <iostream>

//! Processor time that one owner takes for a fleet under a steady load, with the store and the workers in
//! memory: serving tasks that fill most of the fleet, short wide jobs, and best-effort jobs that start beside
//! the serving tasks. Usage: owner_load WORKERS JOBS_PER_SECOND SECONDS [SERVING_JOBS [RELAYS]]. With RELAYS,
//! orders go over loopback connections through that many relays, which run in the same process.
namespace {

using namespace almond;
using kernel::task;

constexpr std::uint32_t tasksPerShortJob = 10;
constexpr std::uint32_t tasksPerBestEffortJob = 42;
constexpr std::uint32_t tasksPerServingJob = 24;
constexpr kernel::milliseconds shortRunTime{640};
constexpr kernel::milliseconds bestEffortRunTime{2700};
constexpr kernel::milliseconds servingRunTime{3'600'000};
constexpr kernel::milliseconds tailLatencyTarget{100};
//! Ids of the jobs begin with the digit of their kind.
constexpr char servingDigit = '1';
constexpr char shortDigit = '2';

kernel::milliseconds runTimeOf(const jobs::task_name &task)
{
    if (task.job.front() == servingDigit)
        return servingRunTime;
    return task.job.front() == shortDigit ? shortRunTime : bestEffortRunTime;
}

//! Workers whose runs end by themselves after a while.
struct steady_fleet
{
    struct run
    {
        jobs::task_name task;
        std::uint32_t number = 0;
        kernel::time_point endsAt{};
    };
    struct state
    {
        std::vector<run> running;
        std::vector<jobs::ended_report> ended;
        std::uint64_t nextEnd = 1;
    };
    std::map<std::string, state> workers;
    std::int64_t measurements = 0;

    static jobs::order_response accepted()
    {
        jobs::order_response answer;
        answer.outcome = jobs::order_outcome::accepted;
        answer.workerClockMs = kernel::toMillis(kernel::monotonicNow());
        return answer;
    }

    void passTime(state &worker)
    {
        const kernel::time_point now = kernel::monotonicNow();
        std::erase_if(worker.running, [&](const run &one) {
            if (one.endsAt > now)
                return false;
            worker.ended.push_back({worker.nextEnd++, one.task, one.number, jobs::run_end::done, ""});
            return true;
        });
    }

    jobs::poll_response answerLook(state &worker)
    {
        jobs::poll_response answer;
        answer.result = accepted();
        answer.bornMs = 1;
        for (const run &one : worker.running) {
            const bool serving = one.task.job.front() == servingDigit;
            const std::int64_t noise = ++measurements % 17;
            answer.running.push_back({one.task, one.number, "", 100, serving ? 30 + noise : 3400 + noise});
        }
        answer.ended = worker.ended;
        return answer;
    }

    jobs::worker_api port()
    {
        jobs::worker_api port;
        port.start
            = [this](jobs::order_target target, jobs::start_order order) -> task<jobs::order_response> {
            co_await kernel::sleepFor(kernel::milliseconds(2));
            workers[target.workerId].running.push_back(
                {order.task, order.run, kernel::monotonicNow() + runTimeOf(order.task)});
            co_return accepted();
        };
        port.stop = [](jobs::order_target, jobs::task_name, std::uint32_t) -> task<jobs::order_response> {
            co_return accepted();
        };
        port.throttle = [](jobs::order_target, jobs::task_name, std::uint32_t,
                           int) -> task<jobs::order_response> { co_return accepted(); };
        port.poll = [this](jobs::order_target target, jobs::poll_order order) -> task<jobs::poll_response> {
            state &worker = workers[target.workerId];
            std::erase_if(worker.ended, [&](const auto &row) { return row.number <= order.acknowledge; });
            const kernel::time_point until = kernel::monotonicNow() + order.wait;
            passTime(worker);
            while (worker.ended.empty() && kernel::monotonicNow() < until) {
                co_await kernel::sleepFor(kernel::milliseconds(20));
                passTime(worker);
            }
            co_return answerLook(worker);
        };
        return port;
    }
};

constexpr int firstPort = 23'940;

std::string addressOf(int host)
{
    return "127.0.0.1:" + std::to_string(firstPort + host);
}

//! Hosts that relay the owner's orders to the workers.
struct relay_hosts
{
    struct host
    {
        std::unique_ptr<wire::peer_link> peers;
        std::unique_ptr<relay::order_relay> relay;
    };
    wire::peer_link ownerPeers;
    std::unique_ptr<relay::order_dispatcher> dispatcher;
    std::vector<host> hosts;

    relay_hosts(boost::asio::io_context &context, jobs::worker_api workers, int relays, int workerCount)
        : ownerPeers(context)
    {
        relay::order_dispatcher_dependencies owner;
        owner.context = &context;
        owner.peers = &ownerPeers;
        owner.ownAddress = addressOf(0);
        owner.processorShare = 0.0;
        owner.direct = workers;
        owner.clock = kernel::monotonicNow;
        owner.workerCount = [workerCount] { return static_cast<std::size_t>(workerCount); };
        dispatcher = std::make_unique<relay::order_dispatcher>(std::move(owner));
        dispatcher->provideCalls();
        ownerPeers.listen(addressOf(0));
        for (int number = 1; number <= relays; ++number) {
            host added{std::make_unique<wire::peer_link>(context), nullptr};
            relay::order_relay_dependencies dependencies;
            dependencies.context = &context;
            dependencies.peers = added.peers.get();
            dependencies.ownAddress = addressOf(number);
            dependencies.processorShare = 0.5;
            dependencies.workers = workers;
            dependencies.owner = [] { return addressOf(0); };
            added.relay = std::make_unique<relay::order_relay>(std::move(dependencies));
            added.relay->provideCalls();
            added.peers->listen(addressOf(number));
            kernel::spawn(context.get_executor(), added.relay->run());
            hosts.push_back(std::move(added));
        }
    }
};

struct load_run
{
    boost::asio::io_context context;
    fakes::shared_store store;
    steady_fleet fleet;
    jobs::fleet_config_ptr config = std::make_shared<const jobs::fleet_config>(tests::fleetConfig());
    std::shared_ptr<fleet::job_owner> owner;
    std::int64_t submitted = 0;

    void accept(char kind, jobs::step_spec step)
    {
        std::string digits = std::to_string(++submitted);
        const std::string id = kind + std::string(15 - digits.size(), '0') + digits;
        jobs::job made = tests::makeJob(id, {std::move(step)}, kind == '3' ? "reviews" : "checks");
        made.payload = std::string(600, 'x');
        made.acceptedAtMs = kernel::toMillis(kernel::systemNow());
        store.put(std::string(fleet::job_key::accepted) + id, jobs::encodeJob(made).dump());
    }

    void acceptServing(int number)
    {
        jobs::step_spec step = tests::step(tasksPerServingJob, 6400, 13'000);
        step.longRunning = true;
        step.tailLatencyTarget = tailLatencyTarget;
        step.image = "serving-" + std::to_string(number % 16);
        accept(servingDigit, std::move(step));
    }

    void acceptShort()
    {
        jobs::step_spec step = tests::step(tasksPerShortJob, 6000, 20'000);
        step.declaredDuration = shortRunTime;
        accept(shortDigit, std::move(step));
    }

    void acceptBestEffort()
    {
        jobs::step_spec step = tests::step(tasksPerBestEffortJob, 3500, 6400);
        step.bestEffort = true;
        step.image = "best-effort-" + std::to_string(submitted % 30);
        step.declaredDuration = bestEffortRunTime;
        accept('3', std::move(step));
    }

    task<void> submit(int perSecond, int seconds, int servingJobs)
    {
        for (int number = 0; number < servingJobs; ++number)
            acceptServing(number);
        for (int round = 0; round < seconds * 10; ++round) {
            for (int one = 0; one < perSecond / 10; ++one)
                submitted % 2 == 0 ? acceptShort() : acceptBestEffort();
            co_await kernel::sleepFor(kernel::milliseconds(100));
        }
        std::cout << owner->describeCapacity().dump() << "\n";
        owner->resign("the run is over");
    }

    task<void> work(int perSecond, int seconds, int servingJobs)
    {
        const bool loaded = co_await owner->load();
        if (!loaded)
            co_return;
        owner->start();
        co_await submit(perSecond, seconds, servingJobs);
    }
};

} // namespace

int main(int argc, char **argv)
{
    const int workers = argc > 1 ? std::atoi(argv[1]) : 350;
    const int perSecond = argc > 2 ? std::atoi(argv[2]) : 40;
    const int seconds = argc > 3 ? std::atoi(argv[3]) : 10;
    const int servingJobs = argc > 4 ? std::atoi(argv[4]) : workers / 5;
    const int relays = argc > 5 ? std::atoi(argv[5]) : 0;
    load_run run;
    relay_hosts hosts(run.context, run.fleet.port(), relays, workers);
    fleet::job_owner_dependencies services;
    services.processId = "load";
    services.store = run.store.api();
    services.workers = relays > 0 ? hosts.dispatcher->port() : run.fleet.port();
    services.clock = kernel::monotonicNow;
    services.unixClock = kernel::systemNow;
    services.config = [&run] { return run.config; };
    services.configConfirmedAt = kernel::monotonicNow;
    services.workersConfirmedAt = kernel::monotonicNow;
    services.mayRenew = [] { return true; };
    run.store.put(fleet::election_key::owner, "load");
    run.owner = std::make_shared<fleet::job_owner>(
        run.context, std::move(services),
        fleet::won_term{1, run.store.revisionOf(fleet::election_key::owner), ""});
    for (int number = 0; number < workers; ++number) {
        jobs::worker_info info
            = tests::worker("worker-" + std::to_string(number), number % 3 == 2 ? 48'000 : 32'000);
        info.capacity.memoryMb = 128'000;
        run.owner->updateWorker(info.id, info);
    }
    kernel::spawn(run.context.get_executor(), run.work(perSecond, seconds, servingJobs));
    run.context.run_for(std::chrono::seconds(seconds + 1));
    const fleet::owner_counters &counted = run.owner->counters();
    std::cout << "workers " << workers << ", starts " << counted.starts << ", looks " << counted.polls
              << ", commits " << counted.commits << ", processor seconds "
              << static_cast<double>(std::clock()) / CLOCKS_PER_SEC << " in " << seconds << " s\n";
    return 0;
}
