// The part of job_owner that tells what waits and why.

#include "fleet/job_owner.h"

#include "observe/log.h"

namespace almond::fleet {

using jobs::ledger_record;
using observe::log_level;

bool job_owner::recentlyRefused(const managed_worker &worker, time_point now) const
{
    return worker.refusedAt != time_point{} && now - worker.refusedAt < m_dependencies.rules.refusalPause;
}

//! \a workers may be empty where only times are asked for; the configuration must outlive the view.
jobs::fleet_view job_owner::makeFleetView(const jobs::fleet_config &config,
                                          std::span<const jobs::worker_view> workers, time_point now) const
{
    const owner_rules &rules = m_dependencies.rules;
    return {m_ledger,
            config,
            rules.sessions,
            workers,
            now - m_dependencies.configConfirmedAt() >= rules.configValidity,
            now - m_dependencies.workersConfirmedAt() >= rules.workersValidity,
            m_termStart,
            now,
            m_dependencies.unixClock()};
}

void job_owner::noteEnd(const ledger_record &record, time_point now)
{
    const jobs::fleet_config_ptr config = m_dependencies.config();
    jobs::noteEnd(m_waiting, makeFleetView(*config, {}, now), record);
}

void job_owner::noteLapse(const managed_worker &worker, std::span<const ledger_record> lapsed, time_point now)
{
    if (lapsed.empty())
        return;
    const jobs::fleet_config_ptr config = m_dependencies.config();
    const jobs::fleet_view view = makeFleetView(*config, {}, now);
    // Until a commit has taken these ends they are found again on each tick.
    if (jobs::noteLapse(m_waiting, view, worker.session, lapsed))
        observe::log(log_level::warning, "worker's runs are over: its lease or life is",
                     jobs::describeLapse(worker.session, view, lapsed));
}

void job_owner::watchWaiting(time_point now)
{
    if (now - m_waiting.walkedAt < m_waiting.rules.walkInterval)
        return;
    const bool useAll = tooManyQuarantined(now);
    std::vector<jobs::worker_view> workers;
    workers.reserve(m_workers.size());
    for (const auto &[incarnation, worker] : m_workers) {
        const auto load = m_ledger.loads.find(incarnation);
        workers.push_back({&worker->session, load == m_ledger.loads.end() ? nullptr : &load->second,
                           !useAll && placement::isQuarantined(worker->conduct.health, now),
                           recentlyRefused(*worker, now)});
    }
    const jobs::fleet_config_ptr config = m_dependencies.config();
    for (const jobs::watch_line &line : jobs::walkWaiting(m_waiting, makeFleetView(*config, workers, now)))
        observe::log(log_level::warning, line.message, line.fields);
    if (m_dependencies.metrics)
        recordFindings(*m_dependencies.metrics, m_waiting.found);
}

json job_owner::describeWaiting() const
{
    return {{"lastingTasks", m_waiting.found.lastingAway},
            {"longestWaitMs", m_waiting.found.longestWait.count()},
            {"longestGapMs", m_waiting.longestGap.count()}};
}

} // namespace almond::fleet
