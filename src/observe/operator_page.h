#pragma once

#include <nlohmann/json.hpp>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>

class QHttpServer;

namespace almond::observe {

//! Callbacks and metrics that supply the content of an operator_page.
struct operator_view
{
    //! Returns true while the process may receive new work. /ready reports it, to the load balancer among
    //! others.
    std::function<bool()> ready;
    //! Returns the complete state of the process, for /dump.
    std::function<nlohmann::json()> dump;
    //! Updates the metrics before /metrics returns them.
    std::function<void()> beforeMetrics;
    //! The metrics that /metrics returns.
    std::shared_ptr<prometheus::Registry> metrics;
};

//! HTTP server for operators with the paths /health, /ready, /metrics and /dump.
class operator_page
{
public:
    explicit operator_page(operator_view view);
    ~operator_page();

    //! Listens on \a address (IP:PORT). Throws std::runtime_error if that fails, such as for a port in use.
    void listen(const std::string &address);

private:
    operator_view m_view;
    std::unique_ptr<QHttpServer> m_server;
};

} // namespace almond::observe
