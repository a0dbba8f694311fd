#pragma once

#include "daemon/node_settings.h"
#include "fleet/caller_service.h"
#include "fleet/former_holders.h"
#include "fleet/job_owner.h"
#include "fleet/owner_election.h"
#include "http/server.h"
#include "jobs/fleet_config.h"
#include "jobs/worker_api.h"
#include "observe/counter_export.h"
#include "relay/order_carrier.h"
#include "relay/order_sender.h"
#include "store/prefix_follower.h"

#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace almond::daemon {

//! How a node meets the platform that it runs on.
struct platform_binding
{
    store::store_api store;
    jobs::worker_api workers;
    //! Keys that the operators write.
    std::string operatorPrefix;
    std::string configKey;
    //! One key below it for each failure domain that is withdrawn.
    std::string withdrawnPrefix;
    //! One key below it for each worker.
    std::string workersPrefix;
    std::function<std::optional<jobs::fleet_config>(std::string_view text)> decodeConfig;
    std::function<std::optional<jobs::worker_info>(std::string_view id, std::string_view text)> decodeWorker;
    //! Makes the callers' interface.
    std::function<http::handler(fleet::caller_service &, std::function<jobs::fleet_config_ptr()>)> callers;
};

//! almond-node: takes jobs from callers on every entry host; one of them also owns all jobs.
class node_daemon
{
public:
    node_daemon(node_settings settings, platform_binding platform);
    ~node_daemon();

    void start(boost::asio::io_context &context);
    //! Puts the settings in force that can change in a running process, and says which can't.
    void reload(const node_settings &settings);
    //! Turns the balancer away, hands the office over, answers what is in flight, then returns.
    kernel::task<void> stop();

private:
    void startRelaying();
    void followOperators();
    void followOwner();
    std::shared_ptr<store::prefix_follower> followWorkers(std::shared_ptr<fleet::job_owner> owner);
    void takeOperatorKey(const std::string &key, const std::string &value);
    void openCallers();
    void openReadiness();
    void openOperators();
    kernel::task<http::reply> answerOperator(http::request asked);
    void exportCounters();
    std::string collectMetrics();
    kernel::task<void> electionLoop();
    kernel::task<void> clearFormerOffice();
    kernel::task<void> runForOffice();
    kernel::task<void> keepOffice();
    kernel::task<void> enterOffice(std::shared_ptr<fleet::job_owner> owner);
    kernel::task<void> askFormerHolders(std::shared_ptr<fleet::job_owner> owner, fleet::won_term term);
    bool renewsBeside(std::uint64_t laterTerm);
    bool isReady() const;
    nlohmann::json dump() const;

    node_settings m_settings;
    platform_binding m_platform;
    boost::asio::io_context *m_context = nullptr;
    std::unique_ptr<wire::peer_link> m_peers;
    std::unique_ptr<fleet::caller_service> m_callers;
    std::unique_ptr<relay::order_sender> m_orderSender;
    std::unique_ptr<relay::order_carrier> m_orderCarrier;
    std::unique_ptr<http::server> m_callersServer;
    std::unique_ptr<http::server> m_readinessServer;
    std::unique_ptr<http::server> m_operatorServer;
    std::shared_ptr<store::prefix_follower> m_operatorKeys;
    std::shared_ptr<store::prefix_follower> m_ownerKeys;
    std::shared_ptr<store::prefix_follower> m_workerKeys;
    std::shared_ptr<prometheus::Registry> m_metrics;
    observe::counter_export m_counterExport;
    fleet::owner_metrics m_ownerMetrics;
    jobs::fleet_config_ptr m_config = std::make_shared<jobs::fleet_config>();
    fleet::owner_view m_ownerView;
    std::unique_ptr<kernel::wake_signal> m_electionSignal;
    fleet::election_rules m_election;
    std::optional<fleet::won_term> m_term;
    //! Highest term whose owner has asked whether this process renews leases.
    std::uint64_t m_laterTerm = 0;
    kernel::time_point m_renewedAt{};
    kernel::time_point m_reportedAt{};
    std::shared_ptr<fleet::job_owner> m_owner;
    bool m_ownerServes = false;
    std::minstd_rand m_random;
    bool m_stopping = false;
};

} // namespace almond::daemon
