#pragma once

#include "daemon/node_settings.h"
#include "fleet/caller_service.h"
#include "fleet/former_owners.h"
#include "fleet/job_owner.h"
#include "fleet/owner_election.h"
#include "http/client.h"
#include "http/server.h"
#include "jobs/fleet_config.h"
#include "jobs/worker_api.h"
#include "observe/counter_export.h"
#include "relay/order_dispatcher.h"
#include "relay/order_relay.h"
#include "store/prefix_watcher.h"

#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace almond::daemon {

//! The parts of a node that depend on the platform on which it runs: store, workers, formats and callers'
//! API.
struct platform_binding
{
    store::store_api store;
    jobs::worker_api workers;
    //! Counts the connections of this process to workers; null if it has none.
    const http::pool_counters *workerConnections = nullptr;
    //! Closes the connections to workers that are not in use; may be empty.
    std::function<void()> closeIdleWorkerConnections;
    //! Called with each configuration that comes into force; may be empty.
    std::function<void(const jobs::fleet_config &config)> applyConfig;
    //! Prefix of the keys that the operators write.
    std::string operatorPrefix;
    std::string configKey;
    //! Prefix of the keys of withdrawn failure domains, one key per domain.
    std::string withdrawnPrefix;
    //! Prefix of the keys of workers, one key per worker.
    std::string workersPrefix;
    //! Decodes the operators' configuration; empty when it is malformed.
    std::function<std::optional<jobs::fleet_config>(std::string_view text)> decodeConfig;
    //! Decodes the entry of the worker \a id; empty when it is malformed or the worker is not usable.
    std::function<std::optional<jobs::worker_info>(std::string_view id, std::string_view text)> decodeWorker;
    //! Makes the HTTP handler of the callers' API. The caller_service must outlive the handler.
    std::function<http::handler(fleet::caller_service &, std::function<jobs::fleet_config_ptr()>)>
        makeCallersHandler;
};

//! almond-node: accepts jobs from callers on every entry host. The nodes elect one of them as the owner of
//! all jobs.
class node_daemon
{
public:
    node_daemon(node_settings settings, platform_binding platform);
    ~node_daemon();

    void start(boost::asio::io_context &context);
    //! Applies the settings that can change in a running process: the log level and, from the next term, the
    //! worker lease. Logs a warning when an address has changed, since that needs a restart.
    void reload(const node_settings &settings);
    //! Fails the readiness check, so that the load balancer sends no new connections, releases ownership,
    //! completes the requests in flight, then returns.
    kernel::task<void> stop();

private:
    void startRelaying();
    void watchOperatorKeys();
    void watchOwnerKeys();
    std::shared_ptr<store::prefix_watcher> watchWorkerKeys(std::shared_ptr<fleet::job_owner> owner);
    void applyOperatorKey(const std::string &key, const std::string &value);
    void openCallersPort();
    void openReadinessPort();
    void openOperatorPort();
    kernel::task<http::reply> handleOperatorRequest(http::request request);
    void exportCounters();
    void exportConnections(const http::pool_counters &connections);
    std::string collectMetrics();
    kernel::task<void> electionLoop();
    kernel::task<void> electionStep();
    kernel::task<void> clearPreviousOwnership();
    kernel::task<void> tryBecomeOwner();
    kernel::task<void> maintainOwnership();
    kernel::task<void> loadAndStartOwner(std::shared_ptr<fleet::job_owner> owner);
    kernel::task<void> waitForFormerOwners(std::shared_ptr<fleet::job_owner> owner, fleet::won_term term);
    bool mayStillRenewLeases(std::uint64_t queryTerm);
    bool isReady() const;
    nlohmann::json dump() const;

    node_settings m_settings;
    platform_binding m_platform;
    boost::asio::io_context *m_context = nullptr;
    kernel::loop_lag m_loopLag;
    fleet::owner_time m_ownerTimes;
    std::unique_ptr<wire::peer_link> m_peers;
    std::unique_ptr<fleet::caller_service> m_callers;
    std::unique_ptr<relay::order_dispatcher> m_orderDispatcher;
    std::unique_ptr<relay::order_relay> m_orderRelay;
    std::unique_ptr<http::server> m_callersServer;
    std::unique_ptr<http::server> m_readinessServer;
    std::unique_ptr<http::server> m_operatorServer;
    std::shared_ptr<store::prefix_watcher> m_operatorKeys;
    std::shared_ptr<store::prefix_watcher> m_ownerKeys;
    std::shared_ptr<store::prefix_watcher> m_workerKeys;
    std::shared_ptr<prometheus::Registry> m_metrics;
    observe::counter_export m_counterExport;
    fleet::owner_metrics m_ownerMetrics;
    jobs::fleet_config_ptr m_config = std::make_shared<jobs::fleet_config>();
    fleet::owner_view m_ownerView;
    std::unique_ptr<kernel::wake_signal> m_electionSignal;
    fleet::election_rules m_election;
    std::optional<fleet::won_term> m_term;
    //! Highest term whose owner has asked whether this process may still renew leases.
    std::uint64_t m_highestQueryTerm = 0;
    //! When the request that acquired ownership, or renewed it last, was sent.
    kernel::time_point m_renewedAt{};
    kernel::time_point m_reportedAt{};
    std::shared_ptr<fleet::job_owner> m_owner;
    //! Whether m_owner has loaded its state and is running.
    bool m_ownerServing = false;
    prometheus::Family<prometheus::Counter> &m_peerBytes;
    prometheus::Family<prometheus::Counter> &m_peerMessages;
    std::minstd_rand m_random;
    bool m_stopping = false;
};

} // namespace almond::daemon
