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
    //! Prefix of the request path that selects the queue.
    std::string prefix;
    //! The service whose workers run the tasks.
    std::string service;
    //! 0 is the highest priority; its jobs may take capacity from others.
    int priority = 0;
    //! Number of failed runs of a task after which its job fails.
    std::uint32_t attempts = 1;
    //! Completion objective of a job: this multiple of its critical path plus targetDuration.
    double stretch = 1.0;
    milliseconds targetDuration{0};
};

//! The operators' configuration in force.
struct fleet_config
{
    std::int64_t version = 0;
    std::map<std::string, queue_rules, std::less<>> queues;
    //! Failure domains in which no task may start.
    std::set<std::string, std::less<>> withdrawnDomains;
    //! Services whose workers are switched off.
    std::set<std::string, std::less<>> disabledServices;
    //! Connections that a worker accepts at most; the least of all services.
    std::uint32_t workerConnections = 64;
    std::uint64_t bodyBytes = 262'144;
    std::uint32_t headerBytes = 16'384;
};

using fleet_config_ptr = std::shared_ptr<const fleet_config>;

//! The rules of a queue as of one version of the configuration.
struct queue_version
{
    std::int64_t version = 0;
    queue_rules rules;
};

//! Last known rules of the queues that have accepted jobs, by queue name.
using known_queues = std::map<std::string, queue_version, std::less<>>;

//! The rules of \a queue in \a config, to be stored with a job that is accepted under them.
std::shared_ptr<const queue_version> versionOf(const fleet_config &config, const queue_rules &queue);

//! Stores the rules under which a job was accepted, unless later ones are known. Returns whether \a known has
//! changed.
bool recordAccepted(known_queues &known, const queue_version &accepted);

//! Updates the rules in \a known that \a config has in the same or a later version.
void updateKnownQueues(known_queues &known, const fleet_config &config);

//! Returns \a config extended by the queues of \a known that it no longer has: their jobs continue under the
//! last known rules.
fleet_config_ptr withRemovedQueues(const fleet_config_ptr &config, const known_queues &known);

//! Returns the queue for \a host whose prefix is the longest that matches \a path; null for none.
const queue_rules *findQueue(const fleet_config &config, std::string_view host, std::string_view path);

} // namespace almond::jobs
