#include "daemon/gateway_daemon.h"

#include "daemon/common_services.h"
#include "observe/log.h"

#include <prometheus/histogram.h>

namespace almond::daemon {

namespace {

//! Time in which the load balancer notices that /ready has begun to fail.
constexpr kernel::milliseconds balancerDetectionTime{500};
//! How long the claims of requests with an Idempotency-Key are kept.
constexpr kernel::milliseconds claimRetention{24 * 3600 * 1000};

prometheus::Histogram &requestHistogram(prometheus::Registry &registry)
{
    return prometheus::BuildHistogram()
        .Name("almond_request_seconds")
        .Help("Time from a request's arrival to its answer")
        .Register(registry)
        .Add({},
             prometheus::Histogram::BucketBoundaries{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1,
                                                     2, 5});
}

} // namespace

gateway_daemon::gateway_daemon(settings::gateway_settings settings)
    : m_settings(std::move(settings))
{
}

void gateway_daemon::start(boost::asio::io_context &context)
{
    registerCommonServices(m_services, context, m_settings.common, 0);
    registerRouter(context);
    openOperatorPage();
    // The callers' port opens only when the configuration and the host list are loaded. Before that this
    // gateway would refuse requests that other gateways can serve.
    const auto openWhenLoaded = [this, &context] { openCallersPort(context); };
    m_services.find<config::config_follower>(service_name::config)->onChange(openWhenLoaded);
    m_services.find<store::host_list>(service_name::hosts)->onChange(openWhenLoaded);
    startCommonServices(m_services, context);
}

void gateway_daemon::registerRouter(boost::asio::io_context &context)
{
    const auto follower = m_services.find<config::config_follower>(service_name::config);
    const auto hosts = m_services.find<store::host_list>(service_name::hosts);
    const auto registry = m_services.find<prometheus::Registry>(service_name::metrics);
    m_minions = std::make_unique<http::connection_pool>(context, http::pool_limits{});
    m_claims = std::make_unique<routing::request_claims>(
        m_services.find<store::http_store>(service_name::store)->api(), m_settings.common.id, claimRetention);
    m_jobs = std::make_unique<routing::job_frontend>(*m_services.find<wire::peer_link>(service_name::peers),
                                                     m_settings.common.schedulers);
    prometheus::Histogram &histogram = requestHistogram(*registry);
    routing::router_dependencies dependencies;
    dependencies.processId = makeInstanceName(m_settings.common.id);
    dependencies.clock = *m_services.find<kernel::clock_source>(service_name::clock);
    dependencies.config = [follower] { return follower->view(); };
    dependencies.hosts = hosts.get();
    dependencies.minions = m_minions.get();
    dependencies.claims = m_claims.get();
    dependencies.settings.policy = routing::policyFromName(m_settings.routingPolicy);
    dependencies.queueLength = static_cast<std::size_t>(m_settings.queueLength);
    dependencies.observeSeconds = [&histogram](double seconds) { histogram.Observe(seconds); };
    const auto router = std::make_shared<routing::request_router>(context, std::move(dependencies));
    m_services.provide(service_name::router, router);
    follower->onChange([router] { router->refresh(); });
    hosts->onChange([router] { router->refresh(); });
}

void gateway_daemon::openOperatorPage()
{
    const auto router = m_services.find<routing::request_router>(service_name::router);
    const auto registry = m_services.find<prometheus::Registry>(service_name::metrics);
    m_metrics = std::make_unique<observe::counter_export>(registry);
    exportCommonMetrics(m_services, *m_metrics);
    const auto exportCounter
        = [&](const char *name, const char *help, std::uint64_t routing::router_counters::*member) {
              m_metrics->counter(name, help, [router, member] { return router->counters().*member; });
          };
    exportCounter("almond_requests_total", "Requests of callers", &routing::router_counters::requests);
    exportCounter("almond_requests_run_total", "Requests answered by a minion",
                  &routing::router_counters::run);
    exportCounter("almond_requests_not_run_total", "Requests that no minion ran",
                  &routing::router_counters::notRun);
    exportCounter("almond_requests_unknown_total", "Requests that may have run",
                  &routing::router_counters::unknown);
    exportCounter("almond_attempts_total", "Attempts at minions", &routing::router_counters::attempts);
    exportCounter("almond_refusals_total", "Attempts that minions refused",
                  &routing::router_counters::refused);
    exportCounter("almond_retries_total", "Attempts repeated elsewhere", &routing::router_counters::retries);
    m_metrics->gauge("almond_queue_length", "Requests waiting for a minion",
                     [router] { return static_cast<double>(router->queued()); });
    m_metrics->gauge("almond_minion_connections", "Open connections to minions",
                     [this] { return static_cast<double>(m_minions->openCount()); });
    observe::operator_view view;
    view.ready = [this] { return m_ready; };
    view.dump = [this] { return dump(); };
    view.beforeMetrics = [this] { m_metrics->update(); };
    view.metrics = registry;
    m_operatorPage = std::make_unique<observe::operator_page>(std::move(view));
    m_operatorPage->listen(m_settings.common.operatorAddress);
}

void gateway_daemon::openCallersPort(boost::asio::io_context &context)
{
    const bool loaded = m_services.find<store::host_list>(service_name::hosts)->isLoaded()
        && m_services.find<config::config_follower>(service_name::config)->view()->version > 0;
    if (m_server || !loaded)
        return;
    http::server_limits limits;
    limits.headerBytes = static_cast<std::uint32_t>(m_settings.headerBytes);
    limits.bodyBytes = static_cast<std::uint64_t>(m_settings.bodyBytes);
    limits.receiveTimeout = m_settings.receiveTimeout;
    limits.idleTimeout = m_settings.idleTimeout;
    limits.connections = static_cast<std::size_t>(m_settings.connections);
    m_server = std::make_unique<http::server>(
        context, limits, [this](http::request request) { return handle(std::move(request)); });
    m_server->listen(m_settings.listenAddress);
    m_ready = true;
    observe::log(observe::log_level::info, "gateway ready", {{"listen", m_settings.listenAddress}});
}

kernel::task<http::reply> gateway_daemon::handle(http::request request)
{
    const std::string_view target(request.target().data(), request.target().size());
    if (!target.starts_with('/'))
        return [](std::string text) -> kernel::task<http::reply> {
            co_return routing::makeOutcomeReply(http::status::bad_request, routing::outcome::notRun, text);
        }("the target must be a path");
    if (routing::job_frontend::handles(http::splitTarget(target).path))
        return m_jobs->handle(std::move(request));
    return m_services.find<routing::request_router>(service_name::router)->route(std::move(request));
}

nlohmann::json gateway_daemon::dump() const
{
    nlohmann::json state = dumpCommonState(m_services, m_settings.common);
    const auto router = m_services.find<routing::request_router>(service_name::router);
    const routing::router_counters &counters = router->counters();
    state["role"] = "gateway";
    state["ready"] = m_ready;
    state["services"] = router->dump();
    state["requests"] = {{"inFlight", m_server ? m_server->requestsInFlight() : 0},
                         {"all", counters.requests},
                         {"run", counters.run},
                         {"notRun", counters.notRun},
                         {"unknown", counters.unknown},
                         {"attempts", counters.attempts},
                         {"refused", counters.refused},
                         {"retries", counters.retries},
                         {"retriesDenied", counters.retriesDenied},
                         {"queueFull", counters.queueFull},
                         {"shed", counters.shed},
                         {"queueExpired", counters.queueExpired}};
    const http::server_counters server = m_server ? m_server->counters() : http::server_counters{};
    state["callers"] = {{"connections", m_server ? m_server->connectionCount() : 0},
                        {"accepted", server.accepted},
                        {"bodyTooLarge", server.bodyTooLarge},
                        {"headerTooLarge", server.headerTooLarge},
                        {"malformed", server.malformed},
                        {"timedOut", server.timedOut},
                        {"refusedConnections", server.refusedConnections}};
    state["minionConnections"] = {{"open", m_minions->openCount()}, {"idle", m_minions->idleCount()}};
    return state;
}

kernel::task<void> gateway_daemon::stop()
{
    observe::log(observe::log_level::info, "gateway stopping");
    m_ready = false;
    if (!m_server)
        co_return;
    m_server->announceClosing();
    co_await kernel::sleepFor(balancerDetectionTime);
    co_await m_server->drain(m_settings.drainLimit);
    observe::log(observe::log_level::info, "gateway stopped");
}

} // namespace almond::daemon
