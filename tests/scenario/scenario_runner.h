#pragma once

#include "http/client.h"
#include "tests/history/history_checker.h"
#include "tests/scenario/process_set.h"
#include "tests/scenario/topology.h"

#include <map>
#include <set>
#include <string>

namespace almond::scenario {

//! Where and how a scenario runs.
struct runner_options
{
    std::string programs;
    std::string directory;
    std::uint16_t firstPort = 21'000;
    bool verbose = false;
    //! Where to write what the processes used and the store was asked; empty for nowhere.
    std::string costsFile;
};

//! Runs the steps of one scenario file and checks its history. The steps are listed in docs/SCENARIOS.md.
class scenario_runner
{
public:
    scenario_runner(boost::asio::io_context &context, runner_options options, json document);

    //! Runs everything; returns 0 when every step and every check held.
    kernel::task<int> run();

private:
    using step = kernel::task<bool> (scenario_runner::*)(json argument);

    kernel::task<bool> startAll();
    kernel::task<bool> runStep(json document);
    kernel::task<bool> awaitReady();

    kernel::task<bool> stepLoad(json argument);
    kernel::task<bool> stepAwaitLoad(json argument);
    kernel::task<bool> stepSubmit(json argument);
    kernel::task<bool> stepAwaitJobs(json argument);
    kernel::task<bool> stepCancel(json argument);
    kernel::task<bool> stepPatch(json argument);
    kernel::task<bool> stepRace(json argument);
    kernel::task<bool> stepWithdraw(json argument);
    kernel::task<bool> stepReturn(json argument);
    kernel::task<bool> stepSignal(json argument);
    kernel::task<bool> stepStart(json argument);
    kernel::task<bool> stepAwaitEnd(json argument);
    kernel::task<bool> stepFaults(json argument);
    kernel::task<bool> stepHold(json argument);
    kernel::task<bool> stepAwaitVersion(json argument);
    kernel::task<bool> stepHttp(json argument);

    kernel::task<bool> changeDomain(std::string verb, std::string event, std::string name);
    kernel::task<command_result> control(std::vector<std::string> arguments);
    kernel::task<json> listJobs();
    kernel::task<json> call(std::string address, http::verb verb, std::string path, json body);
    std::string addressFor(const std::string &target);
    bool report();
    kernel::task<void> writeCosts();
    history::events collect() const;
    history::history_summary check() const;
    json latencies() const;
    bool meets(const json &summary) const;
    void record(const std::string &event, json fields);
    void say(const std::string &text) const;
    bool complain(const std::string &text);

    boost::asio::io_context &m_context;
    runner_options m_options;
    json m_document;
    topology m_topology;
    address_book m_addresses;
    std::vector<process_plan> m_plans;
    process_set m_processes;
    http::connection_pool m_pool;
    history::events m_events;
    std::map<std::string, json> m_loads;
    std::set<std::string> m_unfinished;
    std::size_t m_files = 0;
    kernel::time_point m_startedAt = kernel::systemNow();
};

} // namespace almond::scenario
