#include "fleet/job_owner.h"
#include "jobs/job_codec.h"
#include "tests/fakes/shared_store.h"
#include "tests/unit/job_fixtures.h"

#include <cstdlib>
#include <ctime>
#include <iostream>

//! Processor time that one owner takes for a fleet under a steady load, with the store and the workers in
//! memory. Usage: owner_load WORKERS JOBS_PER_SECOND SECONDS.
namespace {

using namespace almond;
using kernel::task;

constexpr std::uint32_t tasksPerJob = 26;
constexpr kernel::milliseconds runTime{1700};

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
        for (const run &one : worker.running)
            answer.running.push_back({one.task, one.number, "", 50, 6000});
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
                {order.task, order.run, kernel::monotonicNow() + runTime});
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

struct load_run
{
    boost::asio::io_context context;
    fakes::shared_store store;
    steady_fleet fleet;
    jobs::fleet_config_ptr config = std::make_shared<const jobs::fleet_config>(tests::fleetConfig());
    std::shared_ptr<fleet::job_owner> owner;

    task<void> submit(int perSecond, int seconds)
    {
        std::int64_t number = 0;
        for (int round = 0; round < seconds * 10; ++round) {
            for (int one = 0; one < perSecond / 10; ++one) {
                const std::string digits = std::to_string(++number);
                const std::string id = std::string(16 - digits.size(), '0') + digits;
                jobs::step_spec step = tests::step(tasksPerJob, 7000, 8000);
                step.bestEffort = number % 2 == 0;
                step.image = "image-" + std::to_string(number % 9);
                step.declaredDuration = runTime;
                jobs::job made = tests::makeJob(id, {step}, step.bestEffort ? "reviews" : "checks");
                made.payload = std::string(600, 'x');
                made.acceptedAtMs = kernel::toMillis(kernel::systemNow());
                store.put(std::string(fleet::job_key::accepted) + id, jobs::encodeJob(made).dump());
            }
            co_await kernel::sleepFor(kernel::milliseconds(100));
        }
        owner->resign("the run is over");
    }

    task<void> work(int perSecond, int seconds)
    {
        const bool loaded = co_await owner->load();
        if (!loaded)
            co_return;
        owner->start();
        co_await submit(perSecond, seconds);
    }
};

} // namespace

int main(int argc, char **argv)
{
    const int workers = argc > 1 ? std::atoi(argv[1]) : 350;
    const int perSecond = argc > 2 ? std::atoi(argv[2]) : 40;
    const int seconds = argc > 3 ? std::atoi(argv[3]) : 10;
    load_run run;
    fleet::job_owner_dependencies services;
    services.processId = "load";
    services.store = run.store.api();
    services.workers = run.fleet.port();
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
        jobs::worker_info info = tests::worker("worker-" + std::to_string(number), 64'000);
        info.capacity.memoryMb = 256'000;
        run.owner->updateWorker(info.id, info);
    }
    kernel::spawn(run.context.get_executor(), run.work(perSecond, seconds));
    run.context.run_for(std::chrono::seconds(seconds + 1));
    const fleet::owner_counters &counted = run.owner->counters();
    std::cout << "workers " << workers << ", starts " << counted.starts << ", looks " << counted.polls
              << ", commits " << counted.commits << ", processor seconds "
              << static_cast<double>(std::clock()) / CLOCKS_PER_SEC << " in " << seconds << " s\n";
    return 0;
}
