#pragma once

#include "kernel/time.h"
#include "settings/object_reader.h"
#include "settings/process_settings.h"

#include <string>

namespace almond::daemon {

//! Settings of almond-node.
struct node_settings
{
    std::string id;
    std::string failureDomain;
    //! IP:PORT of the API on which callers submit jobs.
    std::string callersAddress;
    //! IP:PORT of the load balancer's readiness check.
    std::string readinessAddress;
    //! IP:PORT for calls from other nodes.
    std::string peerAddress;
    //! IP:PORT of metrics and state for operators.
    std::string operatorAddress;
    std::string storeAddress;
    std::string logLevel;
    kernel::milliseconds storeTimeout{0};
    //! Duration of a worker's lease: how long its tasks may run after a renewal.
    kernel::milliseconds workerLease{0};
    //! How long a serving task may miss its tail-latency target because of best-effort tasks beside it.
    kernel::milliseconds harmBound{0};
    //! How long callers can ask for the status of an ended job.
    kernel::milliseconds statusRetention{0};
    //! Time that the platform leaves a process between the stop signal and the kill.
    kernel::milliseconds stopGrace{0};
    //! Maximum number of open connections from callers.
    std::int64_t connections = 0;
    //! Share of a processor core that this host has. Hosts with a larger share become candidates for owner
    //! earlier.
    double processorShare = 1.0;
};

//! Parses and validates the settings of almond-node.
settings::read_settings<node_settings> readNodeSettings(const settings::json &document);

} // namespace almond::daemon
