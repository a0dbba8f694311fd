#include "placement/cell_directory.h"
#include "placement/ownership.h"
#include "placement/plan.h"
#include "placement/record_filter.h"
#include "placement/worker_link.h"

#include <benchmark/benchmark.h>
#include <boost/leaf/handle_errors.hpp>

#include <malloc.h>

//! Slopes of a cell's owner: planning, journal entries, snapshots, recovery and requests to workers.
namespace {

using namespace almond;
using namespace almond::placement;

constexpr std::int64_t workerMillicores = 32'000;
constexpr std::int64_t tasksPerWorker = 26; // 335,000 tasks on 13,000 workers

void applyOne(cell_state &cell, const cell_record &record)
{
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> { return apply(cell, record, cell.index + 1); }, [] {});
}

job_spec jobOf(std::int64_t number)
{
    job_spec spec;
    spec.id = "0f9a2c1e-5b7d-4e8f-9a6b-" + std::to_string(100'000'000'000 + number);
    spec.team = "team-" + std::to_string(number % 520);
    spec.kind = "kind-" + std::to_string(number % 40);
    spec.demand = {1000, 2000, 0};
    spec.declaredRunMs = 60'000;
    return spec;
}

std::string workerOf(std::int64_t number)
{
    return "worker-" + std::to_string(number);
}

cell_state cellWith(std::int64_t workers, std::int64_t running, std::int64_t queued)
{
    cell_state cell;
    applyOne(cell, owner_record{"owner", 0});
    for (std::int64_t number = 0; number < workers; ++number)
        applyOne(cell,
                 worker_record{workerOf(number), "incarnation", "", "", {workerMillicores, 128'000, 2}});
    for (std::int64_t number = 0; number < running + queued; ++number) {
        const job_spec spec = jobOf(number);
        applyOne(cell, admitted_record{spec, number, 0, 0, "", 0});
        if (number < running)
            applyOne(cell, assigned_record{spec.id, workerOf(number % workers), number});
    }
    return cell;
}

std::set<std::string> allWorkers(std::int64_t workers)
{
    std::set<std::string> ids;
    for (std::int64_t number = 0; number < workers; ++number)
        ids.insert(workerOf(number));
    return ids;
}

//! Starts planned a second on one core, for a cell of so many workers; one batch holds 10 starts.
void planStartsOfBatch(benchmark::State &state)
{
    const std::int64_t workers = state.range(0);
    constexpr std::int64_t batch = 10;
    const cell_state cell = cellWith(workers, workers * tasksPerWorker, batch);
    const std::set<std::string> usable = allWorkers(workers);
    const config::config_document config;
    for (auto _ : state) {
        plan_inputs inputs;
        inputs.candidates = candidateWorkers(cell, usable);
        inputs.mayStart = true;
        benchmark::DoNotOptimize(planStarts(cell, config, std::move(inputs), kernel::time_point{}));
    }
    state.counters["starts_per_s"]
        = benchmark::Counter(static_cast<double>(state.iterations() * batch), benchmark::Counter::kIsRate);
}
BENCHMARK(planStartsOfBatch)->Arg(60)->Arg(232)->Arg(930)->Arg(13'000)->Unit(benchmark::kMicrosecond);

//! Encoding one journal entry; bytes a record.
void encodeEntry(benchmark::State &state)
{
    std::vector<cell_record> records;
    for (std::int64_t number = 0; number < state.range(0); ++number) {
        const job_spec spec = jobOf(number);
        records.emplace_back(admitted_record{spec, 1'796'364'933'246, 0, 0, "", 0});
        records.emplace_back(assigned_record{spec.id, workerOf(number), 1'796'364'933'246});
        records.emplace_back(ended_record{{spec.id, 1}, attempt_outcome::done, "60000", 1'796'364'933'246});
    }
    std::size_t bytes = 0;
    for (auto _ : state)
        bytes = encodeRecords(records).dump().size();
    state.counters["bytes_per_job"] = static_cast<double>(bytes) / static_cast<double>(state.range(0));
    state.counters["jobs_per_s"] = benchmark::Counter(
        static_cast<double>(state.iterations() * state.range(0)), benchmark::Counter::kIsRate);
}
BENCHMARK(encodeEntry)->Arg(1)->Arg(10)->Arg(100)->Unit(benchmark::kMicrosecond);

//! Recovery of a cell from its snapshot; bytes a task in the snapshot and in memory.
void recoverCell(benchmark::State &state)
{
    const std::int64_t tasks = state.range(0);
    const std::string snapshot = encodeSnapshot(cellWith(tasks / tasksPerWorker + 1, tasks, 0)).dump();
    for (auto _ : state)
        benchmark::DoNotOptimize(decodeSnapshot(json::parse(snapshot)));
    const auto before = mallinfo2().uordblks;
    const cell_state held = decodeSnapshot(json::parse(snapshot));
    const auto after = mallinfo2().uordblks;
    state.counters["snapshot_bytes_per_task"]
        = static_cast<double>(snapshot.size()) / static_cast<double>(tasks);
    state.counters["memory_bytes_per_task"]
        = static_cast<double>(after - before) / static_cast<double>(tasks);
    benchmark::DoNotOptimize(held);
}
BENCHMARK(recoverCell)->Arg(500)->Arg(5000)->Arg(20'000)->Unit(benchmark::kMillisecond);

//! One exchange with one worker: request built and encoded, answer decoded and taken; bytes on the wire.
void exchangeWithWorker(benchmark::State &state)
{
    const std::int64_t tasks = state.range(0);
    const cell_state cell = cellWith(1, tasks, 0);
    worker_link link;
    link.incarnation = "incarnation";
    sync_response response;
    response.accepted = true;
    response.incarnation = link.incarnation;
    response.capacity = {workerMillicores, 128'000, 2};
    for (std::int64_t number = 0; number < tasks; ++number) {
        attempt_report report;
        report.id = {jobOf(number).id, 1};
        report.running = true;
        report.checkpoint = "30000";
        response.attempts.push_back(report);
    }
    const std::string answer = json(response).dump();
    const time_point now = kernel::fromMillis(1'796'364'933'246);
    std::size_t bytes = 0;
    for (auto _ : state) {
        const sync_request request
            = nextRequest(cell, "cell", "worker-0", link, {now, now, true, {}}, lease_rules{}, now);
        const std::string sent = json(request).dump();
        bytes = sent.size() + answer.size();
        const auto received = json::parse(answer).get<sync_response>();
        benchmark::DoNotOptimize(handleResponse(cell, "worker-0", link, received, now));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["exchanges_per_s"]
        = benchmark::Counter(static_cast<double>(state.iterations()), benchmark::Counter::kIsRate);
}
BENCHMARK(exchangeWithWorker)->Arg(1)->Arg(8)->Arg(26)->Arg(60)->Unit(benchmark::kMicrosecond);

//! One round of ownership planning over so many cells and 8 schedulers.
void planOwnershipOfCells(benchmark::State &state)
{
    ownership_view view;
    for (int number = 0; number < 8; ++number) {
        const std::string id = "scheduler-" + std::to_string(number);
        view.members[id] = {id, "127.0.0.1:1"};
    }
    std::vector<std::string> cells;
    for (std::int64_t number = 0; number < state.range(0); ++number)
        cells.push_back(cellName("domain", number));
    ownerless_times ownerless;
    for (auto _ : state)
        benchmark::DoNotOptimize(planOwnership(view, cells, "scheduler-0", {}, ownerless,
                                               kernel::milliseconds(2000), kernel::time_point{}));
}
BENCHMARK(planOwnershipOfCells)->Arg(14)->Arg(56)->Arg(224)->Unit(benchmark::kMicrosecond);

} // namespace
