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

//! Counters of a router, for metrics and the state dump.
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
    //! Requests dropped from the queue because they would probably have missed their deadlines.
    std::uint64_t shed = 0;
};

//! Dependencies and settings of a router.
struct router_dependencies
{
    std::string processId;
    kernel::clock_source clock;
    std::function<config::config_view_ptr()> config;
    const store::host_list *hosts = nullptr;
    http::connection_pool *minions = nullptr;
    request_claims *claims = nullptr;
    routing_settings settings;
    //! Longest queue of one service, in requests.
    std::size_t queueLength = 1024;
    //! Receives the duration of each request in seconds.
    std::function<void(double)> observeSeconds;
};

//! Routes callers' requests to minions: queues them, sends them, retries them and reports their outcomes. The
//! functions in routing_state.h choose the minions and limit the retries.
class request_router
{
public:
    request_router(boost::asio::io_context &context, router_dependencies dependencies);

    //! Routes \a incoming to a minion of the service that the first component of its path names.
    kernel::task<http::reply> route(http::request incoming);
    //! Applies the current configuration and host list.
    void refresh();

    const router_counters &counters() const { return m_counters; }
    std::size_t queued() const;
    nlohmann::json dump() const;

private:
    struct service_state
    {
        routing_state routing;
        std::deque<std::shared_ptr<kernel::completion<bool>>> waiters;
    };
    //! A request while the router handles it.
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
    enum class next_action { respond, retry, fail };
    struct attempt_outcome
    {
        next_action action = next_action::fail;
        http::reply answer;
    };

    kernel::task<http::reply> routeClaimed(routed_request &routed, std::string key);
    kernel::task<http::reply> routeToMinions(routed_request &routed);
    //! Waits in the queue until this request may choose a minion; at the front of the queue if it has
    //! \a waitedBefore. Returns false if the deadline passes or the queue is full.
    kernel::task<bool> waitInQueue(service_state &service, kernel::time_point deadline, bool waitedBefore);
    kernel::task<attempt_outcome> attempt(routed_request &routed, service_state &service, std::size_t index);
    //! Decides after an attempt whether to return the response, to retry or to fail. A request that may have
    //! run is retried only if it is idempotent.
    attempt_outcome evaluateExchange(routed_request &routed, service_state &service,
                                     const minion_state &minion, http::exchange_result result);
    attempt_outcome evaluateFailure(routed_request &routed, service_state &service,
                                    http::exchange_status status);
    //! Takes a retry from the budget of \a service. Returns false after the deadline or without budget.
    bool takeRetry(routed_request &routed, service_state &service);
    void finishAttempt(const std::string &service, const std::string &minion, const std::string &address,
                       const attempt_report &report);
    //! Makes the reply to a request that no minion has answered. The outcome is unknown if it may have run.
    http::reply makeFailureReply(const routed_request &routed) const;
    //! Counts the outcome and the duration of a request, and adds its id to the reply.
    http::reply completeReply(http::reply answer, const routed_request &routed, kernel::time_point startedAt);
    void wakeFirstWaiter(service_state &service);

    boost::asio::io_context &m_context;
    router_dependencies m_dependencies;
    std::map<std::string, service_state, std::less<>> m_state;
    router_counters m_counters;
    std::uint64_t m_nextRequest = 1;
};

} // namespace almond::routing
