#pragma once

#include "http/server.h"
#include "kernel/registry.h"
#include "observe/counter_export.h"
#include "observe/operator_page.h"
#include "routing/job_frontend.h"
#include "routing/request_router.h"
#include "settings/process_settings.h"

#include <memory>

namespace almond::daemon {

//! almond-gateway: routes callers' HTTP requests to minions and passes calls about jobs to schedulers.
class gateway_daemon
{
public:
    explicit gateway_daemon(settings::gateway_settings settings);

    void start(boost::asio::io_context &context);
    //! Fails the readiness check, completes the requests in flight, then returns.
    kernel::task<void> stop();

private:
    kernel::task<http::reply> handle(http::request request);
    void registerRouter(boost::asio::io_context &context);
    void openOperatorPage();
    void openCallersPort(boost::asio::io_context &context);
    nlohmann::json dump() const;

    settings::gateway_settings m_settings;
    kernel::registry m_services;
    bool m_ready = false;
    std::unique_ptr<http::connection_pool> m_minions;
    std::unique_ptr<routing::request_claims> m_claims;
    std::unique_ptr<routing::job_frontend> m_jobs;
    std::unique_ptr<http::server> m_server;
    std::unique_ptr<observe::counter_export> m_metrics;
    std::unique_ptr<observe::operator_page> m_operatorPage;
};

} // namespace almond::daemon
