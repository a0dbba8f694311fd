#pragma once

#include <nlohmann/json.hpp>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>

class QHttpServer;

namespace almond::observe {

//! What a process answers on its operators' port.
struct operator_view
{
    //! True while the process may receive new work; /ready and the balancer read it.
    std::function<bool()> ready;
    //! The whole state of the process, for /dump.
    std::function<nlohmann::json()> dump;
    //! Brings the metrics up to date before they are shown.
    std::function<void()> beforeMetrics;
    //! The metrics behind /metrics.
    std::shared_ptr<prometheus::Registry> metrics;
};

//! The operators' port: /health, /ready, /metrics and /dump.
class operator_page
{
public:
    explicit operator_page(operator_view view);
    ~operator_page();

    //! Listens on \a address (IP:PORT). Throws std::runtime_error when the port is taken.
    void listen(const std::string &address);

private:
    operator_view m_view;
    std::unique_ptr<QHttpServer> m_server;
};

} // namespace almond::observe
