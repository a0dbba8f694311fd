#pragma once

#include "config/config_follower.h"
#include "kernel/registry.h"
#include "observe/counter_export.h"
#include "observe/operator_page.h"
#include "settings/process_settings.h"
#include "store/host_list.h"
#include "store/http_store.h"
#include "wire/peer_link.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace almond::daemon {

//! Names of a daemon's services in its registry.
namespace service_name {
inline constexpr const char *clock = "clock";
inline constexpr const char *store = "store";
inline constexpr const char *hosts = "hosts";
inline constexpr const char *peers = "peers";
inline constexpr const char *config = "config";
inline constexpr const char *metrics = "metrics";
inline constexpr const char *scheduler = "scheduler";
inline constexpr const char *router = "router";
} // namespace service_name

//! Registers the services that gateway and scheduler share: clock, store, hosts, peers, config and metrics.
//! \a snapshotAfter is the number of configuration entries after which this process writes a snapshot; 0 for
//! none.
void registerCommonServices(kernel::registry &services, boost::asio::io_context &context,
                            const settings::common_settings &settings, std::uint64_t snapshotAfter);

//! Starts the polling loops of the configuration and of the host list.
void startCommonServices(const kernel::registry &services, boost::asio::io_context &context);

//! Returns the members of the dump that gateway and scheduler share.
nlohmann::json dumpCommonState(const kernel::registry &services, const settings::common_settings &settings);

//! Exports the metrics that gateway and scheduler share.
void exportCommonMetrics(const kernel::registry &services, observe::counter_export &metrics);

//! Returns a name for this instance of the process \a id that differs from those of its previous and later
//! runs.
std::string makeInstanceName(const std::string &id);

} // namespace almond::daemon
