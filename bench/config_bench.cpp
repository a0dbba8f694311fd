#include "config/config_document.h"
#include "config/config_journal.h"

#include <benchmark/benchmark.h>

//! Slopes of a configuration reader: taking a change up, and the size of the document.
namespace {

using namespace almond;
using json = nlohmann::json;

json documentWith(std::int64_t teams)
{
    json document;
    for (int number = 0; number < 14; ++number)
        document["failureDomains"]["domain-" + std::to_string(number)] = {{"region", "region"}};
    for (int number = 0; number < 40; ++number)
        document["services"]["service-" + std::to_string(number)] = {{"deadlineMs", 2000}};
    for (std::int64_t number = 0; number < teams; ++number)
        document["teams"]["team-" + std::to_string(number)]
            = {{"millicores", 1'000'000}, {"memoryMb", 4'000'000}, {"accelerators", 10}};
    document["cellsPerFailureDomain"] = 4;
    return document;
}

//! Time to take up one change of one team's quota, by number of teams.
void takeChange(benchmark::State &state)
{
    config::config_view view;
    view.document = documentWith(state.range(0));
    view.version = 1;
    store::journal_entry entry;
    entry.index = 2;
    entry.writer = "operator";
    entry.body = {{"patch", {{"teams", {{"team-1", {{"millicores", 5}}}}}}}, {"submittedAt", 1}};
    for (auto _ : state)
        benchmark::DoNotOptimize(config::applyEntry(view, entry));
    state.counters["document_bytes"] = static_cast<double>(view.document.dump().size());
    state.counters["entry_bytes"] = static_cast<double>(entry.body.dump().size());
}
BENCHMARK(takeChange)->Arg(10)->Arg(100)->Arg(520)->Unit(benchmark::kMicrosecond);

} // namespace
