#include "daemon/node_daemon.h"

#include "daemon/common_services.h"
#include "observe/log.h"

namespace almond::daemon {

using kernel::milliseconds;
using kernel::task;
using observe::log_level;

namespace {

//! Time in which the load balancer notices that the host is not ready: it checks once a second and needs two
//! failed checks.
constexpr milliseconds balancerDetectionTime{2200};
//! Time for requests in flight to complete. Together with balancerDetectionTime it must stay under the
//! setting stopGraceMs, after which the platform kills the process.
constexpr milliseconds drainLimit{2500};

//! Minimum time between two log lines with the owner's state; limits the size of the log.
constexpr milliseconds reportInterval{5000};

task<http::reply> immediateReply(http::reply reply)
{
    co_return reply;
}

task<void> runWatcher(std::shared_ptr<store::prefix_watcher> watcher)
{
    co_await watcher->run();
}

} // namespace

node_daemon::node_daemon(node_settings settings, platform_binding platform)
    : m_settings(std::move(settings))
    , m_platform(std::move(platform))
    , m_metrics(std::make_shared<prometheus::Registry>())
    , m_counterExport(m_metrics)
    , m_ownerMetrics(fleet::addOwnerMetrics(*m_metrics, jobs::wait_monitor_rules{}))
    , m_peerBytes(prometheus::BuildCounter()
                      .Name("almond_peer_bytes_total")
                      .Help("Bytes of messages between hosts, by call and direction.")
                      .Register(*m_metrics))
    , m_peerMessages(prometheus::BuildCounter()
                         .Name("almond_peer_messages_total")
                         .Help("Messages between hosts, by call and direction.")
                         .Register(*m_metrics))
    , m_random(static_cast<std::minstd_rand::result_type>(
          std::hash<std::string>()(m_settings.id + m_settings.callersAddress)))
{
}

node_daemon::~node_daemon() = default;

void node_daemon::start(boost::asio::io_context &context)
{
    m_context = &context;
    m_electionSignal = std::make_unique<kernel::wake_signal>(context.get_executor());
    m_peers = std::make_unique<wire::peer_link>(context);
    fleet::caller_service_dependencies dependencies;
    dependencies.store = m_platform.store;
    dependencies.clock = kernel::monotonicNow;
    dependencies.unixClock = kernel::systemNow;
    dependencies.peers = m_peers.get();
    dependencies.owner = [this] { return m_ownerView; };
    dependencies.local = [this] { return m_ownerServing ? m_owner : nullptr; };
    dependencies.times = &m_ownerTimes;
    m_callers = std::make_unique<fleet::caller_service>(std::move(dependencies));
    m_callers->provideCalls();
    fleet::provideRenewalQuery(*m_peers,
                               [this](std::uint64_t queryTerm) { return mayStillRenewLeases(queryTerm); });
    kernel::spawn(context.get_executor(), kernel::measureLag(m_loopLag, [this] { return !m_stopping; }));
    startRelaying();
    m_peers->listen(m_settings.peerAddress);
    openReadinessPort();
    openOperatorPort();
    openCallersPort();
    watchOperatorKeys();
    watchOwnerKeys();
    kernel::spawn(context.get_executor(), electionLoop());
    observe::log(log_level::info, "node started",
                 {{"version", ALMOND_VERSION},
                  {"callers", m_settings.callersAddress},
                  {"store", m_settings.storeAddress}});
}

void node_daemon::startRelaying()
{
    relay::order_dispatcher_dependencies dispatcherDependencies;
    dispatcherDependencies.context = m_context;
    dispatcherDependencies.peers = m_peers.get();
    dispatcherDependencies.ownAddress = m_settings.peerAddress;
    dispatcherDependencies.processorShare = m_settings.processorShare;
    dispatcherDependencies.direct = m_platform.workers;
    dispatcherDependencies.clock = kernel::monotonicNow;
    dispatcherDependencies.workerCount = [this] { return m_owner ? m_owner->workerCount() : 0; };
    dispatcherDependencies.ownLag = [this](kernel::time_point since) {
        return kernel::longestLag(m_loopLag, since, kernel::monotonicNow());
    };
    dispatcherDependencies.times = &m_ownerTimes;
    m_orderDispatcher = std::make_unique<relay::order_dispatcher>(std::move(dispatcherDependencies));
    m_orderDispatcher->provideCalls();
    relay::order_relay_dependencies relayDependencies;
    relayDependencies.context = m_context;
    relayDependencies.peers = m_peers.get();
    relayDependencies.ownAddress = m_settings.peerAddress;
    relayDependencies.processorShare = m_settings.processorShare;
    relayDependencies.workers = m_platform.workers;
    relayDependencies.owner = [this] { return m_ownerView.address; };
    m_orderRelay = std::make_unique<relay::order_relay>(std::move(relayDependencies));
    m_orderRelay->provideCalls();
    kernel::spawn(m_context->get_executor(), m_orderRelay->run());
}

void node_daemon::watchOperatorKeys()
{
    store::watcher_events events;
    events.written = [this](const store::stored_item &item) { applyOperatorKey(item.key, item.value); };
    events.removed = [this](const std::string &key) { applyOperatorKey(key, ""); };
    store::watcher_settings watcherSettings;
    watcherSettings.watchTimeout = fleet::owner_rules{}.configWatchTime;
    m_operatorKeys = std::make_shared<store::prefix_watcher>(m_platform.store, kernel::monotonicNow,
                                                             m_platform.operatorPrefix, watcherSettings,
                                                             std::move(events));
    kernel::spawn(m_context->get_executor(), runWatcher(m_operatorKeys));
}

void node_daemon::applyOperatorKey(const std::string &key, const std::string &value)
{
    auto next = std::make_shared<jobs::fleet_config>(*m_config);
    if (key == m_platform.configKey && !value.empty()) {
        std::optional<jobs::fleet_config> decoded = m_platform.decodeConfig(value);
        if (!decoded || decoded->version <= m_config->version) {
            observe::log(decoded ? log_level::info : log_level::error,
                         "configuration ignored: malformed or not newer than the version in force",
                         {{"inForce", m_config->version}, {"offered", decoded ? decoded->version : -1}});
            return;
        }
        decoded->withdrawnDomains = m_config->withdrawnDomains;
        *next = std::move(*decoded);
        m_callersServer->setMessageLimits(next->headerBytes, next->bodyBytes);
        if (m_platform.applyConfig)
            m_platform.applyConfig(*next);
        observe::log(log_level::info, "configuration applied",
                     {{"version", next->version}, {"queues", next->queues.size()}});
    } else if (key.starts_with(m_platform.withdrawnPrefix)) {
        const std::string domain = key.substr(m_platform.withdrawnPrefix.size());
        if (value.empty())
            next->withdrawnDomains.erase(domain);
        else
            next->withdrawnDomains.insert(domain);
        observe::log(log_level::info,
                     value.empty() ? "failure domain returned to service" : "failure domain withdrawn",
                     {{"failureDomain", domain}});
    } else {
        return;
    }
    m_config = std::move(next);
    if (m_owner)
        m_owner->wake();
}

void node_daemon::watchOwnerKeys()
{
    store::watcher_events events;
    events.written = [this](const store::stored_item &item) {
        fleet::applyOwnerKey(m_ownerView, item.key, item.value, item.revision, kernel::monotonicNow());
        m_electionSignal->wake();
    };
    events.removed = [this](const std::string &key) {
        fleet::applyOwnerKey(m_ownerView, key, "", 0, kernel::monotonicNow());
        m_electionSignal->wake();
    };
    events.listed = [this] { m_electionSignal->wake(); };
    m_ownerKeys = std::make_shared<store::prefix_watcher>(m_platform.store, kernel::monotonicNow,
                                                          fleet::election_key::prefix,
                                                          store::watcher_settings{}, std::move(events));
    kernel::spawn(m_context->get_executor(), runWatcher(m_ownerKeys));
}

std::shared_ptr<store::prefix_watcher> node_daemon::watchWorkerKeys(std::shared_ptr<fleet::job_owner> owner)
{
    const auto idOf = [this](const std::string &key) { return key.substr(m_platform.workersPrefix.size()); };
    store::watcher_events events;
    events.written = [this, owner, idOf](const store::stored_item &item) {
        const std::string id = idOf(item.key);
        const std::optional<jobs::worker_info> worker = m_platform.decodeWorker(id, item.value);
        // An entry that can't be used counts as none, also if an earlier one could be: what that one said may
        // no longer hold.
        if (!worker)
            observe::logLimited(log_level::warning, "worker entry that can't be used ignored",
                                {{"key", item.key}}, kernel::monotonicNow());
        owner->updateWorker(id, worker);
    };
    events.removed = [owner, idOf](const std::string &key) { owner->updateWorker(idOf(key), std::nullopt); };
    store::watcher_settings watcherSettings;
    watcherSettings.batchDelay = milliseconds(50);
    watcherSettings.watchTimeout = fleet::owner_rules{}.workersWatchTime;
    auto watcher = std::make_shared<store::prefix_watcher>(
        m_platform.store, kernel::monotonicNow, m_platform.workersPrefix, watcherSettings, std::move(events));
    kernel::spawn(m_context->get_executor(), runWatcher(watcher));
    return watcher;
}

void node_daemon::openCallersPort()
{
    http::server_limits limits;
    limits.connections = static_cast<std::size_t>(m_settings.connections);
    const http::handler handle = m_platform.makeCallersHandler(*m_callers, [this] { return m_config; });
    m_callersServer = std::make_unique<http::server>(*m_context, limits, handle);
    m_callersServer->setMessageLimits(m_config->headerBytes, m_config->bodyBytes);
    m_callersServer->listen(m_settings.callersAddress);
}

bool node_daemon::isReady() const
{
    return !m_stopping && m_config->version > 0 && m_ownerKeys->isListed();
}

void node_daemon::openReadinessPort()
{
    m_readinessServer
        = std::make_unique<http::server>(*m_context, http::server_limits{}, [this](http::request) {
              return immediateReply(isReady()
                                        ? http::makeReply(http::status::ok, "ready\n")
                                        : http::makeReply(http::status::service_unavailable, "not ready\n"));
          });
    m_readinessServer->listen(m_settings.readinessAddress);
}

task<void> node_daemon::electionLoop()
{
    while (!m_stopping) {
        bool failed = false;
        try {
            co_await electionStep();
        } catch (const std::exception &error) {
            failed = true;
            observe::logLimited(log_level::error, "unexpected error in the election",
                                {{"error", error.what()}}, kernel::monotonicNow());
        }
        if (failed)
            co_await kernel::sleepFor(m_election.renewInterval);
    }
}

task<void> node_daemon::electionStep()
{
    if (m_owner && m_owner->hasResigned()) {
        co_await fleet::releaseOwnership(m_platform.store, *m_term);
        m_workerKeys->stop();
        m_owner.reset();
        m_ownerServing = false;
        // A worker limits its connections, and the next owner needs some.
        if (m_platform.closeIdleWorkerConnections)
            m_platform.closeIdleWorkerConnections();
    }
    if (m_owner)
        co_await maintainOwnership();
    else if (m_ownerKeys->isListed() && m_ownerView.address.empty())
        co_await tryBecomeOwner();
    else if (m_ownerKeys->isListed() && fleet::isPreviousRun(m_ownerView, m_settings.peerAddress))
        co_await clearPreviousOwnership();
    else
        co_await m_electionSignal->wait(m_election.renewInterval);
}

task<void> node_daemon::clearPreviousOwnership()
{
    const std::int64_t revision = m_ownerView.ownerRevision;
    const store::store_status outcome = co_await fleet::clearOwnership(m_platform.store, m_ownerView);
    const bool cleared = outcome == store::store_status::ok;
    observe::log(log_level::info,
                 cleared ? "deleted the owner key of a previous run of this process"
                         : "could not delete the owner key of a previous run of this process; will retry",
                 {{"term", m_ownerView.term}, {"revision", revision}});
    // The store's response may arrive before the watcher has seen the change.
    if (m_ownerView.ownerRevision == revision)
        co_await m_electionSignal->wait(m_election.renewInterval);
}

task<void> node_daemon::tryBecomeOwner()
{
    std::uniform_real_distribution<double> distribution(0.0, 1.0);
    co_await kernel::sleepFor(
        fleet::candidacyDelay(m_election, m_settings.processorShare, distribution(m_random)));
    if (m_stopping || !m_ownerView.address.empty())
        co_return;
    const kernel::time_point sentAt = kernel::monotonicNow();
    const auto won = co_await fleet::tryAcquireOwnership(m_platform.store, m_settings.peerAddress,
                                                         m_ownerView, m_election, sentAt);
    if (!won) {
        co_await m_electionSignal->wait(milliseconds(100));
        co_return;
    }
    if (won->term < m_highestQueryTerm) {
        // The owner of a later term relies on the response that this process renews no leases.
        co_await fleet::releaseOwnership(m_platform.store, *won);
        co_return;
    }
    observe::log(log_level::info, "became the owner", {{"term", won->term}});
    m_term = won;
    m_renewedAt = sentAt;
    fleet::job_owner_dependencies dependencies;
    dependencies.processId = makeInstanceName(m_settings.id);
    dependencies.store = m_platform.store;
    dependencies.workers = m_orderDispatcher->port();
    dependencies.clock = kernel::monotonicNow;
    dependencies.unixClock = kernel::systemNow;
    dependencies.config = [this] { return m_config; };
    dependencies.configConfirmedAt = [this] { return m_operatorKeys->confirmedAt(); };
    dependencies.workersConfirmedAt = [this] { return m_workerKeys->confirmedAt(); };
    dependencies.mayRenew
        = [this] { return kernel::monotonicNow() - m_renewedAt < m_election.detachedLimit; };
    dependencies.metrics = &m_ownerMetrics;
    dependencies.times = &m_ownerTimes;
    dependencies.rules.sessions.lease = m_settings.workerLease;
    dependencies.rules.harmBound = m_settings.harmBound;
    dependencies.rules.sessions.formerOwnerRenewals = m_election.detachedLimit;
    dependencies.rules.endedRetention = fleet::endedRetention(m_settings.statusRetention);
    m_owner = std::make_shared<fleet::job_owner>(*m_context, std::move(dependencies), *won);
    m_workerKeys = watchWorkerKeys(m_owner);
    kernel::spawn(m_context->get_executor(), loadAndStartOwner(m_owner));
    kernel::spawn(m_context->get_executor(), waitForFormerOwners(m_owner, *won));
}

//! Returns whether this process may still renew leases. The owner of a term before \a queryTerm resigns
//! first.
bool node_daemon::mayStillRenewLeases(std::uint64_t queryTerm)
{
    m_highestQueryTerm = std::max(m_highestQueryTerm, queryTerm);
    if (m_owner && m_term->term < queryTerm)
        m_owner->resign("queried by the owner of a later term");
    return m_owner && !m_owner->hasResigned();
}

task<void> node_daemon::waitForFormerOwners(std::shared_ptr<fleet::job_owner> owner, fleet::won_term term)
{
    const auto keepWaiting = [owner] { return !owner->hasResigned(); };
    const bool stopped = co_await fleet::awaitFormerOwners(m_peers.get(), term.formerOwners, term.term,
                                                           keepWaiting, fleet::renewal_query_rules{});
    if (stopped && !owner->hasResigned())
        owner->noteFormerOwnersStopped();
}

task<void> node_daemon::loadAndStartOwner(std::shared_ptr<fleet::job_owner> owner)
{
    bool loaded = false;
    while (!loaded && !owner->hasResigned()) {
        loaded = co_await owner->load();
        if (!loaded)
            co_await kernel::sleepFor(m_election.renewInterval);
    }
    if (owner->hasResigned() || owner != m_owner)
        co_return;
    owner->start();
    m_ownerServing = true;
}

task<void> node_daemon::maintainOwnership()
{
    const std::shared_ptr<fleet::job_owner> owner = m_owner;
    const kernel::time_point sentAt = kernel::monotonicNow();
    if (sentAt - m_reportedAt >= reportInterval) {
        observe::log(log_level::info, "owner state", dump());
        m_reportedAt = sentAt;
    }
    const fleet::renewal_result result = co_await fleet::renewOwnership(m_platform.store, *m_term);
    if (result == fleet::renewal_result::held)
        m_renewedAt = sentAt;
    if (result == fleet::renewal_result::lost)
        owner->resign("the owner lease has expired");
    if (!owner->hasResigned())
        co_await m_electionSignal->wait(m_election.renewInterval);
}

void node_daemon::reload(const node_settings &settings)
{
    observe::setLogLevel(observe::levelNamed(settings.logLevel));
    const bool sameAddresses = settings.callersAddress == m_settings.callersAddress
        && settings.readinessAddress == m_settings.readinessAddress
        && settings.peerAddress == m_settings.peerAddress
        && settings.operatorAddress == m_settings.operatorAddress
        && settings.storeAddress == m_settings.storeAddress;
    const milliseconds lease = settings.workerLease;
    m_settings.logLevel = settings.logLevel;
    // Take effect when this process next becomes the owner.
    m_settings.workerLease = lease;
    m_settings.harmBound = settings.harmBound;
    observe::log(sameAddresses ? log_level::info : log_level::warning,
                 sameAddresses ? "settings reloaded"
                               : "settings reloaded; a changed address takes effect after a restart",
                 {{"logLevel", settings.logLevel},
                  {"workerLeaseMs", lease.count()},
                  {"harmBoundMs", m_settings.harmBound.count()}});
}

task<void> node_daemon::stop()
{
    observe::log(log_level::info, "node stopping");
    m_stopping = true;
    m_orderRelay->stop();
    const kernel::time_point stopStartedAt = kernel::monotonicNow();
    // electionLoop() may reset m_owner during the waits below.
    const std::shared_ptr<fleet::job_owner> owner = m_owner;
    if (owner) {
        m_ownerServing = false;
        co_await owner->stop();
        co_await fleet::releaseOwnership(m_platform.store, *m_term);
    }
    const milliseconds elapsed = kernel::monotonicNow() - stopStartedAt;
    if (elapsed < balancerDetectionTime)
        co_await kernel::sleepFor(balancerDetectionTime - elapsed);
    co_await m_callersServer->drain(drainLimit);
    observe::log(log_level::info, "node stopped");
}

} // namespace almond::daemon
