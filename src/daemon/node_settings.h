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
    //! Where callers hand jobs in.
    std::string callersAddress;
    //! Where the balancer asks whether this host takes new connections.
    std::string readinessAddress;
    //! Where other processes of the system call.
    std::string peerAddress;
    //! Metrics and state, for operators.
    std::string operatorAddress;
    std::string storeAddress;
    std::string logLevel;
    kernel::milliseconds storeTimeout{0};
    //! How long one renewal keeps a worker's tasks running.
    kernel::milliseconds workerLease{0};
    //! Longest time that the platform waits between the signal to stop and the kill.
    kernel::milliseconds stopGrace{0};
    std::int64_t connections = 0;
    //! Share of a core that this host has; stronger hosts become the owner first.
    double processorShare = 1.0;
};

//! Reads and checks the settings of almond-node.
settings::read_settings<node_settings> readNodeSettings(const settings::json &document);

} // namespace almond::daemon
