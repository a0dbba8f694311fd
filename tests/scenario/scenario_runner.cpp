#include "tests/scenario/scenario_runner.h"

#include "apps/command_line.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace almond::scenario {

using kernel::milliseconds;
using kernel::task;

namespace {

constexpr milliseconds pollInterval{50};
constexpr milliseconds readyTimeout{30'000};
constexpr milliseconds exchangeTimeout{3000};
constexpr milliseconds loadTimeout{180'000};
constexpr std::int64_t defaultTimeoutMs = 60'000;

std::string joinWithCommas(const std::vector<std::string> &items)
{
    std::string text;
    for (const std::string &item : items)
        text += (text.empty() ? "" : ",") + item;
    return text;
}

int signalFromName(const std::string &name)
{
    static const std::map<std::string, int> signals
        = {{"kill", SIGKILL}, {"freeze", SIGSTOP}, {"thaw", SIGCONT}, {"term", SIGTERM}};
    return signals.at(name);
}

//! Builds an argument list. GCC rejects a braced initializer list inside a co_await expression.
template<typename... Text>
std::vector<std::string> makeArguments(Text &&...text)
{
    std::vector<std::string> list;
    (list.emplace_back(std::forward<Text>(text)), ...);
    return list;
}

bool isEnded(const json &job)
{
    static const std::set<std::string> finalPhases = {"done", "failed", "cancelled", "impossible"};
    return finalPhases.contains(job.at("phase").get<std::string>());
}

} // namespace

scenario_runner::scenario_runner(boost::asio::io_context &context, runner_options options, json document)
    : m_context(context)
    , m_options(std::move(options))
    , m_document(std::move(document))
    , m_topology(readTopology(m_document.value("topology", json::object())))
    , m_addresses(m_options.firstPort)
    , m_processes(m_options.programs, m_options.directory)
    , m_pool(context, http::pool_limits{})
{
}

task<int> scenario_runner::run()
{
    bool stepsPassed = co_await startAll();
    for (const json &document : m_document.at("steps")) {
        if (stepsPassed)
            stepsPassed = co_await runStep(document);
    }
    co_await writeUsage();
    const bool checksPassed = reportResults();
    co_return stepsPassed &&checksPassed ? 0 : 1;
}

task<bool> scenario_runner::startAll()
{
    std::filesystem::create_directories(m_options.directory);
    const auto seed = m_document.value("seed", std::uint64_t{1});
    m_processSpecs = makeProcessSpecs(m_topology, m_addresses, m_options.directory, seed);
    for (const process_spec &spec : m_processSpecs)
        m_processes.start(spec);
    const std::string file = m_options.directory + "/config-1.json";
    std::ofstream(file) << makeInitialConfig(m_topology).dump(2) << '\n';
    // The platform starts at the same time as the other processes and may not listen yet. After an unknown
    // outcome the command is repeated with the same submission id, so that the patch is applied once.
    const auto deadline = kernel::systemNow() + readyTimeout;
    command_result result;
    do {
        result = co_await runControlCommand(
            makeArguments("config", "patch", "--base", "0", "--file", file, "--submission", "first"));
        if (result.status == apps::unknownOutcome)
            co_await kernel::sleepFor(pollInterval);
    } while (result.status == apps::unknownOutcome && kernel::systemNow() < deadline);
    if (result.status != 0)
        co_return reportFailure("config version 1 was not accepted: " + result.output);
    logProgress("started " + std::to_string(m_processSpecs.size()) + " processes, config version 1 accepted");
    co_return co_await awaitReady();
}

//! Waits until each gateway knows all minions and the cell owners together know the capacity of all workers.
task<bool> scenario_runner::awaitReady()
{
    const auto deadline = kernel::systemNow() + readyTimeout;
    while (kernel::systemNow() < deadline) {
        std::size_t knownMinions = 0;
        for (const std::string &address :
             addressesOf(m_addresses, "gateway", m_topology.gateways, "operators")) {
            const json state = co_await exchangeJson(address, http::verb::get, "/dump", {});
            if (state.is_object() && state.contains("services"))
                knownMinions += state["services"]
                                    .value(m_topology.service, json::object())
                                    .value("minions", json::array())
                                    .size();
        }
        std::size_t joinedWorkers = 0;
        for (const std::string &address :
             addressesOf(m_addresses, "scheduler", m_topology.schedulers, "operators")) {
            const json state = co_await exchangeJson(address, http::verb::get, "/dump", {});
            if (!state.is_object())
                continue;
            for (const auto &[name, cell] : state["scheduler"]["cells"].items()) {
                for (const auto &[id, worker] : cell["workers"].items())
                    joinedWorkers += worker["capacity"].is_object() ? 1 : 0;
            }
        }
        if (knownMinions >= m_topology.gateways * m_topology.minions && joinedWorkers >= m_topology.workers)
            co_return true;
        co_await kernel::sleepFor(pollInterval);
    }
    co_return reportFailure(
        "the gateways and cell owners did not know all minions and workers within the ready timeout");
}

task<bool> scenario_runner::runStep(json document)
{
    static const std::map<std::string, step_handler> steps
        = {{"load", &scenario_runner::stepLoad},
           {"awaitLoad", &scenario_runner::stepAwaitLoad},
           {"submit", &scenario_runner::stepSubmit},
           {"awaitJobs", &scenario_runner::stepAwaitJobs},
           {"cancel", &scenario_runner::stepCancel},
           {"patch", &scenario_runner::stepPatch},
           {"race", &scenario_runner::stepRace},
           {"withdraw", &scenario_runner::stepWithdraw},
           {"return", &scenario_runner::stepReturn},
           {"signal", &scenario_runner::stepSignal},
           {"start", &scenario_runner::stepStart},
           {"awaitEnd", &scenario_runner::stepAwaitEnd},
           {"faults", &scenario_runner::stepFaults},
           {"hold", &scenario_runner::stepHold},
           {"awaitVersion", &scenario_runner::stepAwaitVersion},
           {"http", &scenario_runner::stepHttp}};
    for (const auto &[name, argument] : document.items()) {
        logProgress(name + " " + argument.dump());
        const auto found = steps.find(name);
        if (found == steps.end())
            co_return reportFailure("unknown step: " + name);
        const step_handler handler = found->second;
        const bool passed = co_await (this->*handler)(argument);
        if (!passed)
            co_return false;
    }
    co_return true;
}

task<bool> scenario_runner::stepLoad(json argument)
{
    const std::string name = argument.value("name", "load");
    process_spec spec{"caller-" + name, "standin-caller", {}, {}};
    spec.arguments = {
        "--gateways",     joinWithCommas(addressesOf(m_addresses, "gateway", m_topology.gateways, "listen")),
        "--service",      m_topology.service,
        "--name",         name,
        "--requests",     std::to_string(argument.value("requests", 1000)),
        "--rate",         std::to_string(argument.value("rate", 200.0)),
        "--posts",        std::to_string(argument.value("posts", 0.2)),
        "--keyed",        std::to_string(argument.value("keyed", 0.0)),
        "--answer-bytes", std::to_string(argument.value("answerBytes", 0)),
        "--record",       m_options.directory + "/caller-" + name + ".jsonl"};
    m_processes.start(spec);
    m_loads[name] = json::object();
    co_return true;
}

task<bool> scenario_runner::stepAwaitLoad(json argument)
{
    const std::string name = argument.is_string() ? argument.get<std::string>() : "load";
    const bool ended = co_await m_processes.awaitExit("caller-" + name, loadTimeout);
    if (!ended)
        co_return reportFailure("load " + name + " did not exit before the timeout");
    const json summary = json::parse(m_processes.output("caller-" + name), nullptr, false);
    if (!summary.is_object())
        co_return reportFailure("load " + name + " printed no JSON summary");
    m_loads[name] = summary;
    logProgress("load " + name + ": " + summary.dump());
    co_return true;
}

task<bool> scenario_runner::stepSubmit(json argument)
{
    const std::string prefix = argument.value("name", "job");
    json jobs = json::array();
    for (int number = 0; number < argument.value("count", 1); ++number) {
        json job = argument.value("job", json::object());
        job["id"] = prefix + "-" + std::to_string(number);
        job["team"] = job.value("team", "moderation");
        job["millicores"] = job.value("millicores", 1000);
        job["memoryMb"] = job.value("memoryMb", 500);
        jobs.push_back(std::move(job));
    }
    const std::string file = m_options.directory + "/jobs-" + std::to_string(m_fileCount++) + ".json";
    std::ofstream(file) << jobs.dump() << '\n';
    // A failed submission, also one with an unknown outcome, is repeated with the same ids: a job is admitted
    // at most once.
    command_result result;
    for (int attempt = 0; attempt < argument.value("attempts", 10); ++attempt) {
        result = co_await runControlCommand(makeArguments("job", "submit", "--file", file, "--json"));
        if (result.status == 0)
            break;
        co_await kernel::sleepFor(pollInterval);
    }
    if (result.status != argument.value("status", 0))
        co_return reportFailure("job submission ended with an unexpected status: " + result.output);
    for (const json &job : jobs) {
        if (result.status != 0)
            break;
        const bool finishes = job.value("class", "batch") == "batch" && argument.value("mustFinish", true);
        recordEvent("job-accepted", {{"job", job.at("id")}, {"mustFinish", finishes}});
        if (finishes)
            m_requiredJobs.insert(job.at("id").get<std::string>());
    }
    co_return true;
}

task<json> scenario_runner::listJobs()
{
    const command_result result = co_await runControlCommand(makeArguments("job", "list", "--json"));
    co_return json::parse(result.output, nullptr, false);
}

task<bool> scenario_runner::stepAwaitJobs(json argument)
{
    const milliseconds timeout(argument.value("limitMs", defaultTimeoutMs));
    const auto deadline = kernel::systemNow() + timeout;
    std::size_t remaining = m_requiredJobs.size();
    while (kernel::systemNow() < deadline) {
        const json response = co_await listJobs();
        std::size_t ended = 0;
        if (response.is_object()) {
            for (const json &job : response.value("jobs", json::array()))
                ended += m_requiredJobs.contains(job.at("id")) && isEnded(job) ? 1 : 0;
        }
        remaining = m_requiredJobs.size() - std::min(ended, m_requiredJobs.size());
        // Workers publish a result only after the owner has recorded the end of the job, so a job that is
        // listed as ended may still lack its result.
        if (remaining == 0 && checkHistory().lost == 0)
            co_return true;
        co_await kernel::sleepFor(pollInterval);
    }
    co_return reportFailure(std::to_string(remaining)
                            + " jobs did not end or publish their results before the timeout");
}

task<bool> scenario_runner::stepCancel(json argument)
{
    std::vector<std::string> arguments = {"job", "cancel"};
    const std::string prefix = argument.value("name", "job");
    for (int number = 0; number < argument.value("count", 1); ++number) {
        arguments.push_back(prefix + "-" + std::to_string(number));
        m_requiredJobs.erase(arguments.back());
        recordEvent("cancel-asked", {{"job", arguments.back()}});
    }
    const command_result result = co_await runControlCommand(arguments);
    if (result.status != 0 && result.status != 3)
        co_return reportFailure("job cancel failed: " + result.output);
    co_return true;
}

task<bool> scenario_runner::stepPatch(json argument)
{
    const std::string file = m_options.directory + "/patch-" + std::to_string(m_fileCount++) + ".json";
    std::ofstream(file) << argument.at("patch").dump() << '\n';
    std::vector<std::string> arguments = {"config", "patch", "--file", file};
    if (argument.contains("base")) {
        arguments.emplace_back("--base");
        arguments.push_back(std::to_string(argument.at("base").get<int>()));
    }
    const command_result result = co_await runControlCommand(arguments);
    if (result.status != argument.value("status", 0))
        co_return reportFailure("config patch ended with status " + std::to_string(result.status) + ": "
                                + result.output);
    const std::string expected = argument.value("says", "");
    if (result.output.find(expected) == std::string::npos)
        co_return reportFailure("config patch printed unexpected output: " + result.output);
    co_return true;
}

//! Several operators patch the same configuration version concurrently: exactly one must be accepted and all
//! others refused.
task<bool> scenario_runner::stepRace(json argument)
{
    const int operators = argument.value("operators", 3);
    const command_result shownConfig = co_await runControlCommand(makeArguments("config", "show", "--json"));
    const json current = json::parse(shownConfig.output, nullptr, false);
    if (!current.is_object())
        co_return reportFailure("config show printed no JSON: " + shownConfig.output);
    const std::string base = std::to_string(current.at("version").get<int>());
    std::vector<int> statuses;
    for (int number = 0; number < operators; ++number) {
        const std::string file = m_options.directory + "/race-" + std::to_string(m_fileCount++) + ".json";
        const json patch
            = {{"teams", {{"race-" + std::to_string(number), {{"millicores", 1}, {"memoryMb", 1}}}}}};
        std::ofstream(file) << patch.dump() << '\n';
        kernel::spawn(m_context.get_executor(),
                      [](scenario_runner &runner, std::string name, std::string version, std::string author,
                         std::vector<int> &exitStatuses) -> task<void> {
                          const command_result result = co_await runner.runControlCommand(makeArguments(
                              "config", "patch", "--file", name, "--base", version, "--author", author));
                          exitStatuses.push_back(result.status);
                      }(*this, file, base, "operator-" + std::to_string(number), statuses));
    }
    while (statuses.size() < static_cast<std::size_t>(operators))
        co_await kernel::sleepFor(pollInterval);
    const auto accepted = std::count(statuses.begin(), statuses.end(), 0);
    const auto refused = std::count(statuses.begin(), statuses.end(), 3);
    if (accepted != 1 || refused != operators - 1)
        co_return reportFailure(std::to_string(accepted) + " concurrent config patches were accepted and "
                                + std::to_string(refused) + " were refused");
    co_return true;
}

task<bool> scenario_runner::changeFailureDomain(std::string verb, std::string event, std::string name)
{
    const command_result result = co_await runControlCommand(makeArguments("failure-domain", verb, name));
    if (result.status != 0)
        co_return reportFailure(verb + " of the failure domain failed: " + result.output);
    recordEvent(event, {{"failureDomain", name}});
    co_return true;
}

task<bool> scenario_runner::stepWithdraw(json argument)
{
    return changeFailureDomain("withdraw", "withdrawn", argument);
}

task<bool> scenario_runner::stepReturn(json argument)
{
    return changeFailureDomain("return", "returned", argument);
}

task<bool> scenario_runner::stepSignal(json argument)
{
    for (const auto &[name, signal] : argument.items()) {
        m_processes.signal(name, signalFromName(signal));
        if (signal == "kill") {
            co_await m_processes.awaitExit(name, exchangeTimeout);
            recordEvent("killed", {{"process", name}});
        }
    }
    co_return true;
}

task<bool> scenario_runner::stepStart(json argument)
{
    m_processes.restart(argument);
    co_return true;
}

task<bool> scenario_runner::stepAwaitEnd(json argument)
{
    const bool ended = co_await m_processes.awaitExit(argument, milliseconds(defaultTimeoutMs));
    if (!ended)
        co_return reportFailure(argument.get<std::string>() + " did not exit before the timeout");
    co_return true;
}

std::string scenario_runner::addressFor(const std::string &target)
{
    return target.starts_with("relay:") ? m_addresses.of(target.substr(6), "admin")
                                        : m_addresses.of(target, "listen");
}

task<bool> scenario_runner::stepFaults(json argument)
{
    for (const auto &[target, faults] : argument.items())
        co_await exchangeJson(addressFor(target), http::verb::put, "/admin/faults", faults);
    co_return true;
}

//! Keeps the current faults for a fixed time that is part of the scenario; waits for no condition.
task<bool> scenario_runner::stepHold(json argument)
{
    co_await kernel::sleepFor(milliseconds(argument.get<std::int64_t>()));
    co_return true;
}

task<bool> scenario_runner::stepAwaitVersion(json argument)
{
    const auto wanted = argument.at("version").get<std::uint64_t>();
    const auto deadline = kernel::systemNow() + milliseconds(argument.value("limitMs", std::int64_t{3000}));
    std::vector<std::string> addresses
        = addressesOf(m_addresses, "gateway", m_topology.gateways, "operators");
    for (const std::string &address :
         addressesOf(m_addresses, "scheduler", m_topology.schedulers, "operators"))
        addresses.push_back(address);
    for (const std::string &address : addresses) {
        std::uint64_t version = 0;
        while (version < wanted) {
            const json state = co_await exchangeJson(address, http::verb::get, "/dump", {});
            if (state.is_object())
                version = state["config"]["version"];
            if (version < wanted && kernel::systemNow() >= deadline)
                co_return reportFailure(address + " is still at config version " + std::to_string(version));
            if (version < wanted)
                co_await kernel::sleepFor(pollInterval);
        }
    }
    co_return true;
}

//! Sends one HTTP request to a process and checks the status and a substring of the body of the response.
task<bool> scenario_runner::stepHttp(json argument)
{
    const std::string address
        = m_addresses.of(argument.value("to", "gateway-0"), argument.value("port", "listen"));
    const http::verb verb = boost::beast::http::string_to_verb(argument.value("method", "GET"));
    http::request message(verb, argument.at("path").get<std::string>(), 11);
    message.set(http::field::host, address);
    message.body() = argument.contains("body") ? argument.at("body").dump() : "";
    message.body().append(argument.value("padding", std::size_t{0}), ' ');
    const http::exchange_result result
        = co_await m_pool.exchange(address, std::move(message), exchangeTimeout);
    const std::string &body = result.answer.body();
    const bool isExpected = static_cast<int>(result.answer.result_int()) == argument.value("status", 200)
        && body.find(argument.value("says", "")) != std::string::npos;
    if (!isExpected)
        co_return reportFailure("unexpected response with status "
                                + std::to_string(result.answer.result_int()) + ": " + body + result.detail);
    co_return true;
}

task<command_result> scenario_runner::runControlCommand(std::vector<std::string> arguments)
{
    const std::vector<std::string> endpoints
        = {"--store", m_addresses.of("platform", "listen"), "--schedulers",
           joinWithCommas(addressesOf(m_addresses, "scheduler", m_topology.schedulers, "peer"))};
    arguments.insert(arguments.end(), endpoints.begin(), endpoints.end());
    return m_processes.run("almondctl", std::move(arguments));
}

task<json> scenario_runner::exchangeJson(std::string address, http::verb verb, std::string path, json body)
{
    http::request message(verb, path, 11);
    message.set(http::field::host, address);
    message.body() = body.is_null() ? "" : body.dump();
    const http::exchange_result result
        = co_await m_pool.exchange(address, std::move(message), exchangeTimeout);
    co_return json::parse(result.answer.body(), nullptr, false);
}

} // namespace almond::scenario
