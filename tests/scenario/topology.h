#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almond::scenario {

using nlohmann::json;

//! Number of processes of each kind in a scenario, their resources and their settings.
struct topology
{
    std::vector<std::string> failureDomains;
    std::string region = "region";
    std::string service = "moderator";
    std::size_t gateways = 2;
    std::size_t schedulers = 2;
    std::size_t minions = 4;
    std::size_t workers = 4;
    std::int64_t cellsPerFailureDomain = 1;
    std::int64_t workerMillicores = 32'000;
    std::int64_t workerMemoryMb = 128'000;
    double minionServiceMs = 5;
    std::int64_t deadlineMs = 5000;
    //! Connections that go through a fault-injecting relay: "scheduler-0/store" for those of a process to the
    //! store, "minion-1" or "worker-2" for all those to a host.
    std::vector<std::string> relayed;
    json schedulerSettings = json::object();
    json gatewaySettings = json::object();
};

//! One process to start: its program, its arguments and, for a daemon, the content of its settings file.
struct process_spec
{
    std::string name;
    std::string program;
    std::vector<std::string> arguments;
    json settings;
};

//! Assigns loopback addresses with consecutive ports to processes.
class address_book
{
public:
    explicit address_book(std::uint16_t firstPort)
        : m_nextPort(firstPort)
    {
    }

    //! Returns the address of \a process for \a purpose, for example "listen" or "peer". Calls with the same
    //! arguments return the same address.
    std::string of(const std::string &process, const std::string &purpose);

private:
    std::uint16_t m_nextPort;
    std::map<std::string, std::string> m_addresses;
};

//! Reads "topology" of a scenario file; missing keys get their defaults.
topology readTopology(const json &document);

//! Returns the processes of \a cluster in the order in which they start. \a directory receives their records
//! and settings; \a seed makes the random numbers of the minions repeatable.
std::vector<process_spec> makeProcessSpecs(const topology &cluster, address_book &addresses,
                                           const std::string &directory, std::uint64_t seed);

//! Returns version 1 of the configuration.
json makeInitialConfig(const topology &cluster);

//! Returns the addresses for \a purpose of \a count processes, named \a prefix with the suffixes -0, -1 and
//! so on.
std::vector<std::string> addressesOf(address_book &addresses, const std::string &prefix, std::size_t count,
                                     const std::string &purpose);

} // namespace almond::scenario
