#include "tests/scenario/topology.h"

#include <algorithm>

namespace almond::scenario {

namespace {

constexpr std::size_t workersPerRack = 4;

std::string indexedName(const std::string &prefix, std::size_t number)
{
    return prefix + "-" + std::to_string(number);
}

bool isRelayed(const topology &cluster, const std::string &link)
{
    return std::find(cluster.relayed.begin(), cluster.relayed.end(), link) != cluster.relayed.end();
}

std::string storeAddressFor(const topology &cluster, address_book &addresses, const std::string &process)
{
    const std::string link = process + "/store";
    return isRelayed(cluster, link) ? addresses.of(link, "relay") : addresses.of("platform", "listen");
}

process_spec makeDaemonSpec(const topology &cluster, address_book &addresses, const std::string &directory,
                            const std::string &name, std::size_t number)
{
    process_spec process;
    process.name = name;
    process.settings = {{"id", name},
                        {"failureDomain", cluster.failureDomains[number % cluster.failureDomains.size()]},
                        {"operatorAddress", addresses.of(name, "operators")},
                        {"storeAddress", storeAddressFor(cluster, addresses, name)},
                        {"schedulers", addressesOf(addresses, "scheduler", cluster.schedulers, "peer")}};
    process.arguments = {"--settings", directory + "/" + name + ".json"};
    return process;
}

//! Returns the command line of a host. If the host is behind a relay, the platform lists the address of the
//! relay instead of its own.
std::vector<std::string> hostArguments(const topology &cluster, address_book &addresses,
                                       const std::string &directory, const std::string &name,
                                       std::size_t number)
{
    std::vector<std::string> arguments = {"--listen",
                                          addresses.of(name, "listen"),
                                          "--platform",
                                          addresses.of("platform", "listen"),
                                          "--id",
                                          name,
                                          "--failure-domain",
                                          cluster.failureDomains[number % cluster.failureDomains.size()],
                                          "--record",
                                          directory + "/" + name + ".jsonl"};
    if (isRelayed(cluster, name)) {
        arguments.emplace_back("--listed-address");
        arguments.push_back(addresses.of(name, "relay"));
    }
    return arguments;
}

process_spec makeRelaySpec(address_book &addresses, const std::string &directory, const std::string &link)
{
    std::string recordName = "relay-" + link;
    std::replace(recordName.begin(), recordName.end(), '/', '-');
    const bool toStore = link.ends_with("/store");
    const std::string target = toStore ? addresses.of("platform", "listen") : addresses.of(link, "listen");
    return {"relay:" + link,
            "standin-relay",
            {"--listen", addresses.of(link, "relay"), "--target", target, "--admin",
             addresses.of(link, "admin"), "--record", directory + "/" + recordName + ".jsonl"},
            {}};
}

void addMinions(const topology &cluster, address_book &addresses, const std::string &directory,
                std::uint64_t seed, std::vector<process_spec> &processes)
{
    for (std::size_t number = 0; number < cluster.minions; ++number) {
        const std::string name = indexedName("minion", number);
        process_spec process{
            name, "standin-minion", hostArguments(cluster, addresses, directory, name, number), {}};
        const std::vector<std::string> extraArguments
            = {"--service",    cluster.service,
               "--service-ms", std::to_string(cluster.minionServiceMs),
               "--seed",       std::to_string(seed + number)};
        process.arguments.insert(process.arguments.end(), extraArguments.begin(), extraArguments.end());
        processes.push_back(std::move(process));
    }
}

void addWorkers(const topology &cluster, address_book &addresses, const std::string &directory,
                std::vector<process_spec> &processes)
{
    for (std::size_t number = 0; number < cluster.workers; ++number) {
        const std::string name = indexedName("worker", number);
        process_spec process{
            name, "standin-worker", hostArguments(cluster, addresses, directory, name, number), {}};
        const std::vector<std::string> extraArguments
            = {"--millicores", std::to_string(cluster.workerMillicores),
               "--memory-mb",  std::to_string(cluster.workerMemoryMb),
               "--rack",       indexedName("rack", number / workersPerRack)};
        process.arguments.insert(process.arguments.end(), extraArguments.begin(), extraArguments.end());
        processes.push_back(std::move(process));
    }
}

} // namespace

std::string address_book::of(const std::string &process, const std::string &purpose)
{
    const auto [entry, isNew] = m_addresses.try_emplace(process + " " + purpose);
    if (isNew)
        entry->second = "127.0.0.1:" + std::to_string(m_nextPort++);
    return entry->second;
}

std::vector<std::string> addressesOf(address_book &addresses, const std::string &prefix, std::size_t count,
                                     const std::string &purpose)
{
    std::vector<std::string> result;
    for (std::size_t number = 0; number < count; ++number)
        result.push_back(addresses.of(indexedName(prefix, number), purpose));
    return result;
}

topology readTopology(const json &document)
{
    topology cluster;
    cluster.failureDomains
        = document.value("failureDomains", std::vector<std::string>{"zone-a", "zone-b", "zone-c"});
    cluster.region = document.value("region", cluster.region);
    cluster.service = document.value("service", cluster.service);
    cluster.gateways = document.value("gateways", cluster.gateways);
    cluster.schedulers = document.value("schedulers", cluster.schedulers);
    cluster.minions = document.value("minions", cluster.minions);
    cluster.workers = document.value("workers", cluster.workers);
    cluster.cellsPerFailureDomain = document.value("cellsPerFailureDomain", cluster.cellsPerFailureDomain);
    cluster.workerMillicores = document.value("workerMillicores", cluster.workerMillicores);
    cluster.workerMemoryMb = document.value("workerMemoryMb", cluster.workerMemoryMb);
    cluster.minionServiceMs = document.value("minionServiceMs", cluster.minionServiceMs);
    cluster.deadlineMs = document.value("deadlineMs", cluster.deadlineMs);
    cluster.relayed = document.value("relayed", cluster.relayed);
    cluster.schedulerSettings = document.value("schedulerSettings", json::object());
    cluster.gatewaySettings = document.value("gatewaySettings", json::object());
    return cluster;
}

std::vector<process_spec> makeProcessSpecs(const topology &cluster, address_book &addresses,
                                           const std::string &directory, std::uint64_t seed)
{
    std::vector<process_spec> processes;
    processes.push_back(
        {"platform",
         "standin-platform",
         {"--listen", addresses.of("platform", "listen"), "--record", directory + "/platform.jsonl"},
         {}});
    for (const std::string &link : cluster.relayed)
        processes.push_back(makeRelaySpec(addresses, directory, link));
    for (std::size_t number = 0; number < cluster.schedulers; ++number) {
        const std::string name = indexedName("scheduler", number);
        process_spec process = makeDaemonSpec(cluster, addresses, directory, name, number);
        process.program = "almond-scheduler";
        process.settings["peerAddress"] = addresses.of(name, "peer");
        process.settings.update(cluster.schedulerSettings);
        processes.push_back(std::move(process));
    }
    for (std::size_t number = 0; number < cluster.gateways; ++number) {
        const std::string name = indexedName("gateway", number);
        process_spec process = makeDaemonSpec(cluster, addresses, directory, name, number);
        process.program = "almond-gateway";
        process.settings["listenAddress"] = addresses.of(name, "listen");
        process.settings.update(cluster.gatewaySettings);
        processes.push_back(std::move(process));
    }
    addMinions(cluster, addresses, directory, seed, processes);
    addWorkers(cluster, addresses, directory, processes);
    return processes;
}

json makeInitialConfig(const topology &cluster)
{
    json domains = json::object();
    for (const std::string &name : cluster.failureDomains)
        domains[name] = {{"region", cluster.region}};
    return {{"failureDomains", domains},
            {"services", {{cluster.service, {{"deadlineMs", cluster.deadlineMs}}}}},
            {"teams", {{"moderation", {{"millicores", 4'000'000}, {"memoryMb", 16'000'000}}}}},
            {"cellsPerFailureDomain", cluster.cellsPerFailureDomain}};
}

} // namespace almond::scenario
