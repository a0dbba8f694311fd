#pragma once

#include "jobs/job.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace almond::jobs {

//! A queue for jobs, as the operators configure it.
struct queue_rules
{
    std::string name;
    //! Value of the Host header that selects the queue.
    std::string host;
    //! Path that a caller's path begins with.
    std::string prefix;
    //! The service whose workers run the tasks.
    std::string service;
    //! 0 comes first and may take room from others.
    int priority = 0;
    //! Failed runs after which a task is given up.
    std::uint32_t attempts = 1;
    //! A job is in time within this multiple of its longest chain of work, and targetDuration more.
    double stretch = 1.0;
    milliseconds targetDuration{0};
};

//! The operators' configuration that is in force.
struct fleet_config
{
    std::int64_t version = 0;
    std::map<std::string, queue_rules, std::less<>> queues;
    //! Failure domains where nothing may start.
    std::set<std::string, std::less<>> withdrawnDomains;
    //! Services whose workers are switched off.
    std::set<std::string, std::less<>> disabledServices;
    std::uint64_t bodyBytes = 262'144;
    std::uint32_t headerBytes = 16'384;
};

using fleet_config_ptr = std::shared_ptr<const fleet_config>;

//! The rules of a queue in one version of the configuration.
struct queue_version
{
    std::int64_t version = 0;
    queue_rules rules;
};

//! Last known rules of the queues that have accepted jobs, by name.
using known_queues = std::map<std::string, queue_version, std::less<>>;

//! The rules of \a queue in \a config, for a job that is accepted under them.
std::shared_ptr<const queue_version> versionOf(const fleet_config &config, const queue_rules &queue);

//! Notes the rules that a job was accepted under unless later ones are known. Tells whether they are news.
bool recordAccepted(known_queues &known, const queue_version &accepted);

//! Brings \a known up to \a config.
void updateKnownQueues(known_queues &known, const fleet_config &config);

//! \a config together with the queues of \a known that it has dropped, whose jobs go on by their last rules.
fleet_config_ptr withRemovedQueues(const fleet_config_ptr &config, const known_queues &known);

//! The queue that \a host and \a path select: the longest prefix that \a path begins with. Null for none.
const queue_rules *findQueue(const fleet_config &config, std::string_view host, std::string_view path);

} // namespace almond::jobs
