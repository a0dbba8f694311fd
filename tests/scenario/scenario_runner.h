#pragma once

#include "http/client.h"
#include "tests/history/history_checker.h"
#include "tests/scenario/process_set.h"
#include "tests/scenario/topology.h"

#include <map>
#include <set>
#include <string>

namespace almond::scenario {

//! Options of a scenario run, from the command line.
struct runner_options
{
    std::string programs;
    std::string directory;
    std::uint16_t firstPort = 21'000;
    bool verbose = false;
    //! File for the resource usage of the processes and the request counts of the store; empty for none.
    std::string usageFile;
};

//! Runs the steps of one scenario file against real processes, then checks the recorded history and the
//! expected results. docs/SCENARIOS.md lists the steps.
class scenario_runner
{
public:
    scenario_runner(boost::asio::io_context &context, runner_options options, json document);

    //! Starts the processes, runs all steps and reports the results. Returns 0 if all steps and checks pass
    //! and 1 otherwise.
    kernel::task<int> run();

private:
    using step_handler = kernel::task<bool> (scenario_runner::*)(json argument);

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

    //! Runs "almondctl failure-domain \a verb \a name" and records \a event.
    kernel::task<bool> changeFailureDomain(std::string verb, std::string event, std::string name);
    //! Runs almondctl with \a arguments and the addresses of the store and the schedulers.
    kernel::task<command_result> runControlCommand(std::vector<std::string> arguments);
    kernel::task<json> listJobs();
    //! Sends an HTTP request; returns the JSON response or a discarded value if there is none.
    kernel::task<json> exchangeJson(std::string address, http::verb verb, std::string path, json body);
    //! Returns the admin address of the relay if \a target is "relay:LINK", else the listen address of the
    //! process \a target.
    std::string addressFor(const std::string &target);
    //! Prints violations and a summary; returns whether the history and the expected results are met.
    bool reportResults();
    kernel::task<void> writeUsage();
    //! Merges the events of the runner and of all record files, ordered by time.
    history::events collectEvents() const;
    history::history_summary checkHistory() const;
    //! Returns the highest p50 and p99 latencies over all loads, in ms.
    json maximumLatencies() const;
    //! Compares \a summary with the bounds in "expect" of the scenario file and prints each that is not met.
    bool meetsExpectations(const json &summary) const;
    //! Adds an event of the runner itself to the history.
    void recordEvent(const std::string &event, json fields);
    //! Prints \a text if verbose.
    void logProgress(const std::string &text) const;
    //! Prints why a step failed, shortened to 600 characters; returns false.
    bool reportFailure(const std::string &text);

    boost::asio::io_context &m_context;
    runner_options m_options;
    json m_document;
    topology m_topology;
    address_book m_addresses;
    std::vector<process_spec> m_processSpecs;
    process_set m_processes;
    http::connection_pool m_pool;
    history::events m_events;
    std::map<std::string, json> m_loads;
    //! Accepted batch jobs that have to end in awaitJobs; cancelled jobs are removed.
    std::set<std::string> m_requiredJobs;
    std::size_t m_fileCount = 0;
    kernel::time_point m_startedAt = kernel::systemNow();
};

} // namespace almond::scenario
