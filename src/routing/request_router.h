#pragma once

#include "config/config_journal.h"
#include "http/client.h"
#include "kernel/completion.h"
#include "routing/outcome.h"
#include "routing/request_claims.h"
#include "routing/routing_state.h"
#include "store/host_list.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace almond::routing {

//! Counters of a router, for metrics and the dump.
struct router_counters
{
    std::uint64_t requests = 0;
    std::uint64_t run = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t attempts = 0;
    std::uint64_t refused = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0;
    std::uint64_t queueFull = 0;
    std::uint64_t queueExpired = 0;
    //! Dropped because too little time was left.
    std::uint64_t shed = 0;
};

//! What a router needs from the rest of its process.
struct router_dependencies
{
    std::string processId;
    kernel::clock_source clock;
    std::function<config::config_view_ptr()> config;
    const store::host_list *hosts = nullptr;
    http::connection_pool *minions = nullptr;
    request_claims *claims = nullptr;
    routing_settings settings;
    std::size_t queueLength = 1024;
    //! Receives the time of each request in seconds.
    std::function<void(double)> observeSeconds;
};

//! Sends callers' requests to minions. All decisions are in routing_state.h.
class request_router
{
public:
    request_router(boost::asio::io_context &context, router_dependencies services);

    //! Answers one request whose path begins with the name of a service.
    kernel::task<http::reply> route(http::request asked);
    //! Takes up the configuration and the host list.
    void refresh();

    const router_counters &counters() const { return m_counters; }
    std::size_t queued() const;
    nlohmann::json dump() const;

private:
    struct service_state
    {
        routing_state routing;
        std::deque<std::shared_ptr<kernel::completion<bool>>> waiting;
    };
    //! One request on its way through the router.
    struct routed_request
    {
        std::string service;
        std::string id;
        http::request message;
        bool idempotent = false;
        kernel::time_point deadline;
        std::vector<std::string> tried;
        bool mayHaveRun = false;
        std::string lastFailure;
    };
    enum class attempt_verdict { final, tryElsewhere, giveUp };
    struct attempt_outcome
    {
        attempt_verdict verdict = attempt_verdict::giveUp;
        http::reply answer;
    };

    kernel::task<http::reply> routeClaimed(routed_request &asked, std::string key);
    kernel::task<http::reply> routeToMinions(routed_request &asked);
    //! Waits until this request may choose a minion; false when its deadline passed or the queue is full.
    kernel::task<bool> awaitTurn(service_state &service, kernel::time_point deadline, bool atFront);
    kernel::task<attempt_outcome> attempt(routed_request &asked, service_state &service, std::size_t index);
    attempt_outcome judge(routed_request &asked, service_state &service, const minion_state &minion,
                          http::exchange_result result);
    attempt_outcome judgeFailure(routed_request &asked, service_state &service, http::exchange_status status);
    bool mayRetry(routed_request &asked, service_state &service);
    void finishAttempt(const std::string &service, const std::string &minion, const std::string &address,
                       const attempt_report &report);
    http::reply giveUp(const routed_request &asked) const;
    http::reply finish(http::reply answer, const routed_request &asked, kernel::time_point startedAt);
    void wakeOne(service_state &service);

    boost::asio::io_context &m_context;
    router_dependencies m_services;
    std::map<std::string, service_state, std::less<>> m_state;
    router_counters m_counters;
    std::uint64_t m_nextRequest = 1;
};

} // namespace almond::routing
