// The part of node_daemon that serves the operators' port: metrics, dumps and explanations.

#include "daemon/node_daemon.h"

#include <prometheus/text_serializer.h>

namespace almond::daemon {

using kernel::task;

namespace {

task<http::reply> immediateReply(http::reply reply)
{
    co_return reply;
}

void raiseTo(prometheus::Counter &counter, std::uint64_t value)
{
    counter.Increment(static_cast<double>(value) - counter.Value());
}

} // namespace

void node_daemon::exportCounters()
{
    m_counterExport.counter("almond_status_unanswered_total",
                            "Questions for a job's status that the owner left without an answer.",
                            [this] { return m_callers->counters().statusUnanswered; });
    m_counterExport.counter("almond_jobs_rejected_total",
                            "Jobs that were not accepted since they could not complete in time.",
                            [this] { return m_callers->counters().jobsRejected; });
    const auto exportOrders = [this](const char *name, const char *help,
                                     std::uint64_t relay::relay_counters::*member) {
        m_counterExport.counter(name, help, [this, member] { return m_orderDispatcher->counters().*member; });
    };
    exportOrders("almond_orders_direct_total", "Orders that the owner sent to workers itself.",
                 &relay::relay_counters::direct);
    exportOrders("almond_orders_relayed_total", "Orders that the owner sent to workers through relays.",
                 &relay::relay_counters::viaRelay);
    exportOrders("almond_orders_abandoned_total",
                 "Relayed orders whose relay was lost before their response; their outcome is unknown.",
                 &relay::relay_counters::abandoned);
    if (m_platform.workerConnections)
        exportConnections(*m_platform.workerConnections);
    exportOrders("almond_starts_expired_total",
                 "Starts that were not sent to a relay because their permission ended while they waited.",
                 &relay::relay_counters::expired);
}

void node_daemon::exportConnections(const http::pool_counters &connections)
{
    m_counterExport.counter("almond_worker_connections_opened_total",
                            "Connections to workers that were opened.",
                            [&connections] { return connections.opened; });
    m_counterExport.counter("almond_worker_connections_refused_total",
                            "New connections that a worker closed without a response.",
                            [&connections] { return connections.refused; });
    m_counterExport.counter("almond_worker_calls_waited_total",
                            "Calls that waited for a connection to their worker.",
                            [&connections] { return connections.waited; });
    m_counterExport.counter("almond_worker_calls_unconnected_total",
                            "Calls that got no connection to their worker in time.",
                            [&connections] { return connections.waitedInVain; });
}

std::string node_daemon::collectMetrics()
{
    m_counterExport.update();
    for (const auto &[call, traffic] : m_peers->traffic()) {
        raiseTo(m_peerBytes.Add({{"call", call}, {"direction", "sent"}}), traffic.bytesSent);
        raiseTo(m_peerBytes.Add({{"call", call}, {"direction", "received"}}), traffic.bytesReceived);
        raiseTo(m_peerMessages.Add({{"call", call}, {"direction", "sent"}}), traffic.messagesSent);
        raiseTo(m_peerMessages.Add({{"call", call}, {"direction", "received"}}), traffic.messagesReceived);
    }
    if (!m_ownerServing)
        fleet::recordFindings(m_ownerMetrics, {});
    return prometheus::TextSerializer().Serialize(m_metrics->Collect());
}

void node_daemon::openOperatorPort()
{
    exportCounters();
    m_operatorServer
        = std::make_unique<http::server>(*m_context, http::server_limits{}, [this](http::request request) {
              return handleOperatorRequest(std::move(request));
          });
    m_operatorServer->listen(m_settings.operatorAddress);
}

task<http::reply> node_daemon::handleOperatorRequest(http::request request)
{
    const std::string_view target(request.target().data(), request.target().size());
    const http::target_parts parts = http::splitTarget(target);
    if (parts.path == "/metrics")
        return immediateReply(http::makeReply(http::status::ok, collectMetrics()));
    if (parts.path == "/dump")
        return immediateReply(http::makeJsonReply(http::status::ok, dump()));
    if (parts.path == "/explain" && m_owner)
        return immediateReply(http::makeJsonReply(
            http::status::ok, m_owner->explain(http::queryParameter(parts.query, "job"))));
    return immediateReply(
        http::makeErrorReply(http::status::not_found, "use /metrics, /dump or /explain?job=ID"));
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
    const relay::relay_counters &relayed = m_orderDispatcher->counters();
    state["orders"] = {{"direct", relayed.direct},
                       {"carried", relayed.viaRelay},
                       {"abandoned", relayed.abandoned},
                       {"carriers", m_orderDispatcher->usableRelays()},
                       {"payloadsRepeated", relayed.payloadsRepeated},
                       {"lateReceipts", relayed.lateReceipts},
                       {"expired", relayed.expired}};
    if (m_platform.workerConnections) {
        const http::pool_counters &connections = *m_platform.workerConnections;
        state["workerConnections"]
            = {{"open", connections.open},     {"mostToOneWorker", connections.mostToOnePeer},
               {"opened", connections.opened}, {"refused", connections.refused},
               {"waited", connections.waited}, {"waitedInVain", connections.waitedInVain}};
    }
    for (const auto &[call, traffic] : m_peers->traffic())
        state["peerTraffic"][call] = {{"messagesSent", traffic.messagesSent},
                                      {"bytesSent", traffic.bytesSent},
                                      {"messagesReceived", traffic.messagesReceived},
                                      {"bytesReceived", traffic.bytesReceived}};
    return state;
}

} // namespace almond::daemon
