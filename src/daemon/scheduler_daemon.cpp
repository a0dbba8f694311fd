#include "daemon/scheduler_daemon.h"

#include "daemon/common_services.h"
#include "observe/log.h"

namespace almond::daemon {

using placement::scheduler_service;

namespace {

//! Configuration entries after which a scheduler writes a snapshot of the configuration.
constexpr std::uint64_t configEntriesPerSnapshot = 128;

std::uint64_t sumOver(const scheduler_service &scheduler, std::uint64_t placement::cell_counters::*member)
{
    std::uint64_t sum = 0;
    for (const auto &[name, owner] : scheduler.cells())
        sum += owner->counters().*member;
    return sum;
}

} // namespace

scheduler_daemon::scheduler_daemon(settings::scheduler_settings settings)
    : m_settings(std::move(settings))
{
}

void scheduler_daemon::start(boost::asio::io_context &context)
{
    registerCommonServices(m_services, context, m_settings.common, configEntriesPerSnapshot);
    m_workers = std::make_unique<http::connection_pool>(context, http::pool_limits{});
    registerScheduler(context);
    openOperatorPage();
    m_services.find<wire::peer_link>(service_name::peers)->listen(m_settings.peerAddress);
    startCommonServices(m_services, context);
    kernel::spawn(context.get_executor(), m_services.find<scheduler_service>(service_name::scheduler)->run());
    m_ready = true;
    observe::log(observe::log_level::info, "scheduler started", {{"peer", m_settings.peerAddress}});
}

placement::owner_dependencies scheduler_daemon::ownerDependencies()
{
    const auto follower = m_services.find<config::config_follower>(service_name::config);
    placement::owner_dependencies dependencies;
    dependencies.processId = makeInstanceName(m_settings.common.id);
    dependencies.store = m_services.find<store::http_store>(service_name::store)->api();
    dependencies.clock = *m_services.find<kernel::clock_source>(service_name::clock);
    dependencies.config = [follower] { return follower->view(); };
    dependencies.hosts = m_services.find<store::host_list>(service_name::hosts).get();
    dependencies.workers = m_workers.get();
    dependencies.settings.commitInterval = m_settings.commitInterval;
    dependencies.settings.syncInterval = m_settings.syncInterval;
    dependencies.settings.syncTimeout = m_settings.syncTimeout;
    dependencies.settings.snapshotAfter = static_cast<std::uint64_t>(m_settings.snapshotAfter);
    dependencies.settings.leases.taskLease = m_settings.taskLease;
    dependencies.settings.leases.clockMargin = m_settings.clockMargin;
    dependencies.settings.leases.detachedLimit = m_settings.detachedLimit;
    return dependencies;
}

void scheduler_daemon::registerScheduler(boost::asio::io_context &context)
{
    const placement::owner_dependencies dependencies = ownerDependencies();
    placement::scheduler_options options;
    options.self = {dependencies.processId, m_settings.peerAddress};
    options.storeLease = m_settings.storeLease;
    options.renewInterval = m_settings.renewInterval;
    options.takeoverGrace = m_settings.takeoverGrace;
    wire::peer_link &peers = *m_services.find<wire::peer_link>(service_name::peers);
    const auto scheduler = std::make_shared<scheduler_service>(context, options, dependencies, peers);
    m_services.provide(service_name::scheduler, scheduler);
    m_jobs = std::make_unique<placement::job_service>(*scheduler, dependencies, peers);
    const auto wakeCells = [scheduler] {
        for (const auto &[name, owner] : scheduler->cells())
            owner->wakeAll();
    };
    m_services.find<config::config_follower>(service_name::config)->onChange(wakeCells);
    m_services.find<store::host_list>(service_name::hosts)->onChange(wakeCells);
}

void scheduler_daemon::openOperatorPage()
{
    const auto scheduler = m_services.find<scheduler_service>(service_name::scheduler);
    const auto registry = m_services.find<prometheus::Registry>(service_name::metrics);
    m_metrics = std::make_unique<observe::counter_export>(registry);
    exportCommonMetrics(m_services, *m_metrics);
    const auto exportCounter
        = [&](const char *name, const char *help, std::uint64_t placement::cell_counters::*member) {
              m_metrics->counter(name, help, [scheduler, member] { return sumOver(*scheduler, member); });
          };
    exportCounter("almond_journal_entries_total", "Journal entries committed",
                  &placement::cell_counters::entries);
    exportCounter("almond_task_starts_total", "Attempts assigned to workers",
                  &placement::cell_counters::starts);
    exportCounter("almond_tasks_finished_total", "Attempts that finished their job",
                  &placement::cell_counters::finished);
    exportCounter("almond_tasks_evicted_total", "Attempts stopped with a checkpoint",
                  &placement::cell_counters::evicted);
    exportCounter("almond_tasks_lost_total", "Attempts lost with their worker",
                  &placement::cell_counters::lost);
    exportCounter("almond_worker_requests_total", "Requests to workers", &placement::cell_counters::syncs);
    exportCounter("almond_worker_failures_total", "Requests that workers did not answer",
                  &placement::cell_counters::syncFailures);
    m_metrics->gauge("almond_cells_owned", "Cells that this scheduler owns",
                     [scheduler] { return static_cast<double>(scheduler->cells().size()); });
    m_metrics->gauge("almond_jobs_queued", "Jobs waiting in the owned cells", [scheduler] {
        std::size_t queued = 0;
        for (const auto &[name, owner] : scheduler->cells())
            queued += owner->state().queue.size();
        return static_cast<double>(queued);
    });
    observe::operator_view view;
    view.ready = [this] { return m_ready; };
    view.dump = [this] { return dump(); };
    view.beforeMetrics = [this] { m_metrics->update(); };
    view.metrics = registry;
    m_operatorPage = std::make_unique<observe::operator_page>(std::move(view));
    m_operatorPage->listen(m_settings.common.operatorAddress);
}

nlohmann::json scheduler_daemon::dump() const
{
    nlohmann::json state = dumpCommonState(m_services, m_settings.common);
    state["role"] = "scheduler";
    state["ready"] = m_ready;
    state["scheduler"] = m_services.find<scheduler_service>(service_name::scheduler)->dump();
    return state;
}

kernel::task<void> scheduler_daemon::stop()
{
    m_ready = false;
    co_await m_services.find<scheduler_service>(service_name::scheduler)->stop();
    observe::log(observe::log_level::info, "scheduler stopped");
}

} // namespace almond::daemon
