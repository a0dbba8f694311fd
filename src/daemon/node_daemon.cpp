#include "daemon/node_daemon.h"

#include "daemon/daemon_core.h"
#include "observe/log.h"

#include <prometheus/text_serializer.h>

namespace almond::daemon {

using kernel::milliseconds;
using kernel::task;
using observe::log_level;

namespace {

//! Time for the balancer to notice that the host is not ready; it asks once a second and gives up after two
//! refusals.
constexpr milliseconds balancerNotice{2200};
//! Time that requests in flight get before the process ends; with the notice it stays under the grace.
constexpr milliseconds drainLimit{2500};

//! Time between two lines that tell how much an owner has done; bounds their number.
constexpr milliseconds reportInterval{5000};

task<http::reply> answerNow(http::reply answer)
{
    co_return answer;
}

task<void> runFollower(std::shared_ptr<store::prefix_follower> follower)
{
    co_await follower->run();
}

} // namespace

node_daemon::node_daemon(node_settings settings, platform_binding platform)
    : m_settings(std::move(settings))
    , m_platform(std::move(platform))
    , m_metrics(std::make_shared<prometheus::Registry>())
    , m_counterExport(m_metrics)
    , m_ownerMetrics(fleet::addOwnerMetrics(*m_metrics, jobs::wait_monitor_rules{}))
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
    fleet::caller_context needs;
    needs.store = m_platform.store;
    needs.clock = kernel::monotonicNow;
    needs.unixClock = kernel::systemNow;
    needs.peers = m_peers.get();
    needs.owner = [this] { return m_ownerView; };
    needs.local = [this] { return m_ownerServes ? m_owner : nullptr; };
    m_callers = std::make_unique<fleet::caller_service>(std::move(needs));
    m_callers->provideCalls();
    fleet::provideInquiry(*m_peers, [this](std::uint64_t laterTerm) { return renewsBeside(laterTerm); });
    startRelaying();
    m_peers->listen(m_settings.peerAddress);
    openReadiness();
    openOperators();
    openCallers();
    followOperators();
    followOwner();
    kernel::spawn(context.get_executor(), electionLoop());
    observe::log(log_level::info, "node started",
                 {{"version", ALMOND_VERSION},
                  {"callers", m_settings.callersAddress},
                  {"store", m_settings.storeAddress}});
}

void node_daemon::startRelaying()
{
    relay::sender_context sender;
    sender.context = m_context;
    sender.peers = m_peers.get();
    sender.ownAddress = m_settings.peerAddress;
    sender.processorShare = m_settings.processorShare;
    sender.direct = m_platform.workers;
    sender.clock = kernel::monotonicNow;
    sender.workerCount = [this] { return m_owner ? m_owner->workerCount() : 0; };
    m_orderSender = std::make_unique<relay::order_sender>(std::move(sender));
    m_orderSender->provideCalls();
    relay::carrier_context carrier;
    carrier.context = m_context;
    carrier.peers = m_peers.get();
    carrier.ownAddress = m_settings.peerAddress;
    carrier.processorShare = m_settings.processorShare;
    carrier.workers = m_platform.workers;
    carrier.owner = [this] { return m_ownerView.address; };
    m_orderCarrier = std::make_unique<relay::order_carrier>(std::move(carrier));
    m_orderCarrier->provideCalls();
    kernel::spawn(m_context->get_executor(), m_orderCarrier->run());
}

void node_daemon::followOperators()
{
    store::follow_events events;
    events.written = [this](const store::stored_item &item) { takeOperatorKey(item.key, item.value); };
    events.removed = [this](const std::string &key) { takeOperatorKey(key, ""); };
    store::follow_rules rules;
    rules.watchTime = fleet::owner_rules{}.configWatch;
    m_operatorKeys = std::make_shared<store::prefix_follower>(
        m_platform.store, kernel::monotonicNow, m_platform.operatorPrefix, rules, std::move(events));
    kernel::spawn(m_context->get_executor(), runFollower(m_operatorKeys));
}

void node_daemon::takeOperatorKey(const std::string &key, const std::string &value)
{
    auto next = std::make_shared<jobs::fleet_config>(*m_config);
    if (key == m_platform.configKey && !value.empty()) {
        std::optional<jobs::fleet_config> read = m_platform.decodeConfig(value);
        if (!read || read->version <= m_config->version) {
            observe::log(read ? log_level::info : log_level::error, "configuration not taken",
                         {{"inForce", m_config->version}, {"offered", read ? read->version : -1}});
            return;
        }
        read->withdrawnDomains = m_config->withdrawnDomains;
        *next = std::move(*read);
        observe::log(log_level::info, "configuration in force",
                     {{"version", next->version}, {"queues", next->queues.size()}});
    } else if (key.starts_with(m_platform.withdrawnPrefix)) {
        const std::string domain = key.substr(m_platform.withdrawnPrefix.size());
        if (value.empty())
            next->withdrawnDomains.erase(domain);
        else
            next->withdrawnDomains.insert(domain);
        observe::log(log_level::info, value.empty() ? "failure domain returned" : "failure domain withdrawn",
                     {{"failureDomain", domain}});
    } else {
        return;
    }
    m_config = std::move(next);
    if (m_owner)
        m_owner->wake();
}

void node_daemon::followOwner()
{
    store::follow_events events;
    events.written = [this](const store::stored_item &item) {
        fleet::takeOwnerKey(m_ownerView, item.key, item.value, item.revision, kernel::monotonicNow());
        m_electionSignal->wake();
    };
    events.removed = [this](const std::string &key) {
        fleet::takeOwnerKey(m_ownerView, key, "", 0, kernel::monotonicNow());
        m_electionSignal->wake();
    };
    events.listed = [this] { m_electionSignal->wake(); };
    m_ownerKeys = std::make_shared<store::prefix_follower>(m_platform.store, kernel::monotonicNow,
                                                           fleet::election_key::prefix, store::follow_rules{},
                                                           std::move(events));
    kernel::spawn(m_context->get_executor(), runFollower(m_ownerKeys));
}

std::shared_ptr<store::prefix_follower> node_daemon::followWorkers(std::shared_ptr<fleet::job_owner> owner)
{
    const auto idOf = [this](const std::string &key) { return key.substr(m_platform.workersPrefix.size()); };
    store::follow_events events;
    events.written = [this, owner, idOf](const store::stored_item &item) {
        const std::string id = idOf(item.key);
        owner->takeWorker(id, m_platform.decodeWorker(id, item.value));
    };
    events.removed = [owner, idOf](const std::string &key) { owner->takeWorker(idOf(key), std::nullopt); };
    store::follow_rules rules;
    rules.gatherPause = milliseconds(50);
    rules.watchTime = fleet::owner_rules{}.workersWatch;
    auto follower = std::make_shared<store::prefix_follower>(
        m_platform.store, kernel::monotonicNow, m_platform.workersPrefix, rules, std::move(events));
    kernel::spawn(m_context->get_executor(), runFollower(follower));
    return follower;
}

void node_daemon::openCallers()
{
    http::server_limits limits;
    limits.connections = static_cast<std::size_t>(m_settings.connections);
    const http::handler handle = m_platform.callers(*m_callers, [this] { return m_config; });
    m_callersServer = std::make_unique<http::server>(*m_context, limits, handle);
    m_callersServer->listen(m_settings.callersAddress);
}

bool node_daemon::isReady() const
{
    return !m_stopping && m_config->version > 0 && m_ownerKeys->isListed();
}

void node_daemon::openReadiness()
{
    m_readinessServer
        = std::make_unique<http::server>(*m_context, http::server_limits{}, [this](http::request) {
              return answerNow(isReady() ? http::makeReply(http::status::ok, "ready\n")
                                         : http::makeReply(http::status::service_unavailable, "not ready\n"));
          });
    m_readinessServer->listen(m_settings.readinessAddress);
}

void node_daemon::exportCounters()
{
    m_counterExport.counter("almond_status_unanswered_total",
                            "Questions for a job's status that the owner left without an answer.",
                            [this] { return m_callers->counters().statusUnanswered; });
}

std::string node_daemon::collectMetrics()
{
    m_counterExport.update();
    if (!m_ownerServes)
        fleet::takeFindings(m_ownerMetrics, {});
    return prometheus::TextSerializer().Serialize(m_metrics->Collect());
}

void node_daemon::openOperators()
{
    exportCounters();
    m_operatorServer
        = std::make_unique<http::server>(*m_context, http::server_limits{}, [this](http::request asked) {
              return answerOperator(std::move(asked));
          });
    m_operatorServer->listen(m_settings.operatorAddress);
}

task<http::reply> node_daemon::answerOperator(http::request asked)
{
    const std::string_view target(asked.target().data(), asked.target().size());
    const http::target_parts parts = http::splitTarget(target);
    if (parts.path == "/metrics")
        return answerNow(http::makeReply(http::status::ok, collectMetrics()));
    if (parts.path == "/dump")
        return answerNow(http::makeJsonReply(http::status::ok, dump()));
    if (parts.path == "/explain" && m_owner)
        return answerNow(http::makeJsonReply(http::status::ok,
                                             m_owner->explain(http::queryParameter(parts.query, "job"))));
    return answerNow(http::makeErrorReply(http::status::not_found, "use /metrics, /dump or /explain?job=ID"));
}

nlohmann::json node_daemon::dump() const
{
    nlohmann::json state{{"id", m_settings.id},
                         {"version", ALMOND_VERSION},
                         {"ready", isReady()},
                         {"configVersion", m_config->version},
                         {"owner", m_ownerView.address},
                         {"term", m_ownerView.term},
                         {"connections", m_callersServer->connectionCount()}};
    if (m_owner)
        state["ownership"] = m_owner->dump();
    const relay::relay_counters &relayed = m_orderSender->counters();
    state["orders"] = {{"direct", relayed.direct},
                       {"carried", relayed.carried},
                       {"abandoned", relayed.abandoned},
                       {"carriers", m_orderSender->usableHosts()}};
    return state;
}

task<void> node_daemon::electionLoop()
{
    while (!m_stopping) {
        if (m_owner && m_owner->isOver()) {
            co_await fleet::leaveOffice(m_platform.store, *m_term);
            m_workerKeys->stop();
            m_owner.reset();
            m_ownerServes = false;
        }
        if (m_owner)
            co_await keepOffice();
        else if (m_ownerKeys->isListed() && m_ownerView.address.empty())
            co_await runForOffice();
        else if (m_ownerKeys->isListed() && fleet::isFormerSelf(m_ownerView, m_settings.peerAddress))
            co_await clearFormerOffice();
        else
            co_await m_electionSignal->wait(m_election.renewInterval);
    }
}

task<void> node_daemon::clearFormerOffice()
{
    const std::int64_t revision = m_ownerView.ownerRevision;
    const store::store_status outcome = co_await fleet::clearOffice(m_platform.store, m_ownerView);
    const bool cleared = outcome == store::store_status::ok;
    observe::log(log_level::info,
                 cleared ? "office of an earlier life of this process cleared"
                         : "office of an earlier life of this process not cleared; tried again",
                 {{"term", m_ownerView.term}, {"revision", revision}});
    // The store's answer comes before the follower has seen the change.
    if (m_ownerView.ownerRevision == revision)
        co_await m_electionSignal->wait(m_election.renewInterval);
}

task<void> node_daemon::runForOffice()
{
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    co_await kernel::sleepFor(fleet::candidacyDelay(m_election, m_settings.processorShare, draw(m_random)));
    if (m_stopping || !m_ownerView.address.empty())
        co_return;
    const kernel::time_point asked = kernel::monotonicNow();
    const auto won = co_await fleet::tryTakeOffice(m_platform.store, m_settings.peerAddress, m_ownerView,
                                                   m_election, asked);
    if (!won) {
        co_await m_electionSignal->wait(milliseconds(100));
        co_return;
    }
    if (won->term < m_laterTerm) {
        // The later owner counts on it that this one gives no orders.
        co_await fleet::leaveOffice(m_platform.store, *won);
        co_return;
    }
    observe::log(log_level::info, "became the owner", {{"term", won->term}});
    m_term = won;
    m_renewedAt = asked;
    fleet::owner_services services;
    services.processId = instanceName(m_settings.id);
    services.store = m_platform.store;
    services.workers = m_orderSender->port();
    services.clock = kernel::monotonicNow;
    services.unixClock = kernel::systemNow;
    services.config = [this] { return m_config; };
    services.configConfirmedAt = [this] { return m_operatorKeys->confirmedAt(); };
    services.workersConfirmedAt = [this] { return m_workerKeys->confirmedAt(); };
    services.mayRenew = [this] { return kernel::monotonicNow() - m_renewedAt < m_election.detachedLimit; };
    services.metrics = &m_ownerMetrics;
    services.rules.sessions.lease = m_settings.workerLease;
    services.rules.sessions.formerOwnerRenewals = m_election.detachedLimit;
    m_owner = std::make_shared<fleet::job_owner>(*m_context, std::move(services), *won);
    m_workerKeys = followWorkers(m_owner);
    kernel::spawn(m_context->get_executor(), enterOffice(m_owner));
    kernel::spawn(m_context->get_executor(), askFormerHolders(m_owner, *won));
}

//! Tells whether this process may still renew leases; an owner of an earlier term ends when a later one asks.
bool node_daemon::renewsBeside(std::uint64_t laterTerm)
{
    m_laterTerm = std::max(m_laterTerm, laterTerm);
    if (m_owner && m_term->term < laterTerm)
        m_owner->resign("the owner of a later term has asked");
    return m_owner && !m_owner->isOver();
}

task<void> node_daemon::askFormerHolders(std::shared_ptr<fleet::job_owner> owner, fleet::won_term term)
{
    const auto goOn = [owner] { return !owner->isOver(); };
    const bool over = co_await fleet::awaitFormerHolders(m_peers.get(), term.formerHolders, term.term, goOn,
                                                         fleet::inquiry_rules{});
    if (over && !owner->isOver())
        owner->noteFormerHoldersOver();
}

task<void> node_daemon::enterOffice(std::shared_ptr<fleet::job_owner> owner)
{
    bool loaded = false;
    while (!loaded && !owner->isOver()) {
        loaded = co_await owner->load();
        if (!loaded)
            co_await kernel::sleepFor(m_election.renewInterval);
    }
    if (owner->isOver() || owner != m_owner)
        co_return;
    owner->start();
    m_ownerServes = true;
}

task<void> node_daemon::keepOffice()
{
    const std::shared_ptr<fleet::job_owner> owner = m_owner;
    const kernel::time_point asked = kernel::monotonicNow();
    if (asked - m_reportedAt >= reportInterval) {
        observe::log(log_level::info, "work of the owner", dump());
        m_reportedAt = asked;
    }
    const fleet::renewal result = co_await fleet::renewOffice(m_platform.store, *m_term);
    if (result == fleet::renewal::held)
        m_renewedAt = asked;
    if (result == fleet::renewal::lost)
        owner->resign("the lease has lapsed");
    if (!owner->isOver())
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
    // The next term of office begins with the new lease.
    m_settings.workerLease = lease;
    observe::log(sameAddresses ? log_level::info : log_level::warning,
                 sameAddresses ? "settings reloaded" : "settings reloaded; new addresses need a restart",
                 {{"logLevel", settings.logLevel}, {"workerLeaseMs", lease.count()}});
}

task<void> node_daemon::stop()
{
    observe::log(log_level::info, "node stopping");
    m_stopping = true;
    m_orderCarrier->stop();
    const kernel::time_point begun = kernel::monotonicNow();
    // The loop of the election may let go of it meanwhile.
    const std::shared_ptr<fleet::job_owner> owner = m_owner;
    if (owner) {
        m_ownerServes = false;
        co_await owner->stop();
        co_await fleet::leaveOffice(m_platform.store, *m_term);
    }
    const milliseconds spent = kernel::monotonicNow() - begun;
    if (spent < balancerNotice)
        co_await kernel::sleepFor(balancerNotice - spent);
    co_await m_callersServer->drain(drainLimit);
    observe::log(log_level::info, "node stopped");
}

} // namespace almond::daemon
