#pragma once

#include "kernel/time.h"
#include "settings/object_reader.h"

#include <string>
#include <vector>

namespace almond::settings {

//! Settings that all daemons share.
struct common_settings
{
    std::string id;
    std::string failureDomain;
    std::string operatorAddress;
    std::string storeAddress;
    kernel::milliseconds storeTimeout{0};
    kernel::milliseconds configPollInterval{0};
    kernel::milliseconds hostPollInterval{0};
    std::string logLevel;
    //! Peer addresses of the schedulers, which serve calls about jobs, and the configuration while the store
    //! is unavailable.
    std::vector<std::string> schedulers;
};

//! Settings of almond-gateway.
struct gateway_settings
{
    common_settings common;
    std::string listenAddress;
    std::int64_t headerBytes = 0;
    std::int64_t bodyBytes = 0;
    kernel::milliseconds receiveTimeout{0};
    kernel::milliseconds idleTimeout{0};
    std::int64_t connections = 0;
    std::int64_t queueLength = 0;
    kernel::milliseconds drainLimit{0};
    std::string routingPolicy;
};

//! Settings of almond-scheduler.
struct scheduler_settings
{
    common_settings common;
    std::string peerAddress;
    kernel::milliseconds storeLease{0};
    kernel::milliseconds renewInterval{0};
    kernel::milliseconds takeoverGrace{0};
    kernel::milliseconds commitInterval{0};
    kernel::milliseconds syncInterval{0};
    kernel::milliseconds syncTimeout{0};
    kernel::milliseconds taskLease{0};
    kernel::milliseconds clockMargin{0};
    kernel::milliseconds detachedLimit{0};
    std::int64_t snapshotAfter = 0;
};

//! Settings of almondctl; command-line options take precedence.
struct control_settings
{
    std::string storeAddress;
    std::vector<std::string> schedulers;
    std::string author;
};

//! The result of reading a settings file: the values, the errors and a description of each setting. The
//! values must only be used if there are no errors.
template<typename T>
struct read_settings
{
    T value;
    findings found;
    std::vector<field_description> described;
};

read_settings<gateway_settings> readGatewaySettings(const json &document);
read_settings<scheduler_settings> readSchedulerSettings(const json &document);
read_settings<control_settings> readControlSettings(const json &document);

} // namespace almond::settings
