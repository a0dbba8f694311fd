#include "routing/routing_state.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

//! Slopes of a gateway's decisions: choosing a minion and recording the end of an attempt.
namespace {

using namespace almond;
using namespace almond::routing;

routing_state stateWith(std::int64_t count)
{
    std::vector<listed_minion> listed;
    for (std::int64_t number = 0; number < count; ++number)
        listed.push_back({"minion-" + std::to_string(number), "127.0.0.1:1", "domain", false, 8});
    routing_state state;
    updateMinions(state, listed);
    return state;
}

void chooseAndRecord(benchmark::State &bench, routing_policy policy)
{
    const auto before = mallinfo2().uordblks;
    routing_state state = stateWith(bench.range(0));
    const auto after = mallinfo2().uordblks;
    routing_settings settings;
    settings.policy = policy;
    time_point now = kernel::fromMillis(1'000'000);
    for (auto _ : bench) {
        const auto index = chooseMinion(state, settings, {}, now);
        minion_state &chosen = state.minions[*index];
        recordSend(chosen);
        recordAttempt(chosen, settings, {attempt_result::answered, milliseconds(5), 3}, now);
        benchmark::DoNotOptimize(chosen);
    }
    bench.counters["memory_bytes_per_minion"]
        = static_cast<double>(after - before) / static_cast<double>(bench.range(0));
    bench.counters["decisions_per_s"]
        = benchmark::Counter(static_cast<double>(bench.iterations()), benchmark::Counter::kIsRate);
}
BENCHMARK_CAPTURE(chooseAndRecord, least_loaded, routing_policy::leastLoaded)
    ->Arg(50)
    ->Arg(65)
    ->Arg(500)
    ->Arg(5000);
BENCHMARK_CAPTURE(chooseAndRecord, two_choices, routing_policy::twoChoices)->Arg(65)->Arg(500)->Arg(5000);

} // namespace
