#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almond::scenario {

using nlohmann::json;

//! How many processes of each kind a scenario runs, and what they have.
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
    //! Processes whose links to the store, to callers or to schedulers go through a relay:
    //! "scheduler-0/store", "minion-1", "worker-2".
    std::vector<std::string> relayed;
    json schedulerSettings = json::object();
    json gatewaySettings = json::object();
};

//! One process to start: its program, arguments and, for a daemon, its settings.
struct process_plan
{
    std::string name;
    std::string program;
    std::vector<std::string> arguments;
    json settings;
};

//! Gives each process its addresses, counting up from one port.
class address_book
{
public:
    explicit address_book(std::uint16_t firstPort)
        : m_next(firstPort)
    {
    }

    //! The address \a use of \a process; the same at each call.
    std::string of(const std::string &process, const std::string &use);

private:
    std::uint16_t m_next;
    std::map<std::string, std::string> m_known;
};

topology readTopology(const json &document);

//! The processes of \a plan in the order in which they start. Records and settings go to \a directory.
std::vector<process_plan> processesOf(const topology &plan, address_book &addresses,
                                      const std::string &directory, std::uint64_t seed);

//! The first version of the configuration.
json firstConfig(const topology &plan);

//! The addresses \a use of the processes \a prefix0, \a prefix1 and so on.
std::vector<std::string> addressesOf(address_book &addresses, const std::string &prefix, std::size_t count,
                                     const std::string &use);

} // namespace almond::scenario
