// The part of job_owner that reports which tasks wait and why.

#include "fleet/job_owner.h"

#include "observe/log.h"

namespace almond::fleet {

using jobs::journal_record;
using observe::log_level;

bool job_owner::recentlyRefused(const managed_worker &worker, time_point now) const
{
    return worker.refusedAt != time_point{} && now - worker.refusedAt < m_dependencies.rules.refusalBackoff;
}

//! \a workers may be empty if only times are needed; \a config must outlive the view.
jobs::fleet_view job_owner::makeFleetView(const jobs::fleet_config &config,
                                          std::span<const jobs::worker_view> workers, time_point now) const
{
    const owner_rules &rules = m_dependencies.rules;
    return {m_jobTable,
            config,
            rules.sessions,
            workers,
            now - m_dependencies.configConfirmedAt() >= rules.configValidity,
            now - m_dependencies.workersConfirmedAt() >= rules.workersValidity,
            m_termStart,
            now,
            m_dependencies.unixClock()};
}

void job_owner::recordEnd(const journal_record &record, time_point now)
{
    const jobs::fleet_config_ptr config = m_dependencies.config();
    jobs::recordEnd(m_waitMonitor, makeFleetView(*config, {}, now), record);
}

void job_owner::recordExpiredRuns(const managed_worker &worker, std::span<const journal_record> expired,
                                  time_point now)
{
    if (expired.empty())
        return;
    const jobs::fleet_config_ptr config = m_dependencies.config();
    const jobs::fleet_view view = makeFleetView(*config, {}, now);
    // Until they are committed, the same expired runs are found on each tick.
    if (jobs::recordExpiredRuns(m_waitMonitor, view, worker.session, expired))
        observe::log(log_level::warning,
                     "runs on a worker have ended: its lease has expired or another worker has its address",
                     jobs::describeExpiry(worker.session, view, expired));
}

void job_owner::scanWaiting(time_point now)
{
    if (now - m_waitMonitor.scannedAt < m_waitMonitor.rules.scanInterval)
        return;
    const bool ignoreQuarantine = tooManyQuarantined(now);
    std::vector<jobs::worker_view> workers;
    workers.reserve(m_workers.size());
    for (const auto &[incarnation, worker] : m_workers) {
        const auto load = m_jobTable.loads.find(incarnation);
        workers.push_back({&worker->session, load == m_jobTable.loads.end() ? nullptr : &load->second,
                           !ignoreQuarantine && placement::isQuarantined(worker->evaluation.health, now),
                           recentlyRefused(*worker, now)});
    }
    const jobs::fleet_config_ptr config = m_dependencies.config();
    for (const jobs::log_line &line : jobs::scanWaiting(m_waitMonitor, makeFleetView(*config, workers, now)))
        observe::log(log_level::warning, line.message, line.fields);
    if (m_dependencies.metrics)
        recordFindings(*m_dependencies.metrics, m_waitMonitor.found);
}

json job_owner::describeWaiting() const
{
    return {{"lastingTasks", m_waitMonitor.found.longRunningDown},
            {"longestWaitMs", m_waitMonitor.found.longestWait.count()},
            {"longestGapMs", m_waitMonitor.longestGap.count()}};
}

} // namespace almond::fleet
