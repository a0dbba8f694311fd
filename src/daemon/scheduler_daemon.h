#pragma once

#include "http/client.h"
#include "kernel/registry.h"
#include "observe/counter_export.h"
#include "observe/operator_page.h"
#include "placement/job_service.h"
#include "settings/process_settings.h"

#include <memory>

namespace almond::daemon {

//! almond-scheduler: owns cells and manages their workers.
class scheduler_daemon
{
public:
    explicit scheduler_daemon(settings::scheduler_settings settings);

    void start(boost::asio::io_context &context);
    //! Releases the cells to other schedulers, then returns.
    kernel::task<void> stop();

private:
    placement::owner_dependencies ownerDependencies();
    void registerScheduler(boost::asio::io_context &context);
    void openOperatorPage();
    nlohmann::json dump() const;

    settings::scheduler_settings m_settings;
    kernel::registry m_services;
    std::unique_ptr<http::connection_pool> m_workers;
    std::unique_ptr<placement::job_service> m_jobs;
    std::unique_ptr<observe::counter_export> m_metrics;
    std::unique_ptr<observe::operator_page> m_operatorPage;
    bool m_ready = false;
};

} // namespace almond::daemon
