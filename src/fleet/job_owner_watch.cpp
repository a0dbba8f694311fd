// The part of job_owner that tells what waits and why.

#include "fleet/job_owner.h"

#include "observe/log.h"

namespace almond::fleet {

using jobs::journal_record;
using observe::log_level;

bool job_owner::isRefusing(const driven_worker &worker, time_point now) const
{
    return worker.refusedAt != time_point{} && now - worker.refusedAt < m_services.rules.refusalPause;
}

//! \a workers may be empty where only times are asked for; the configuration must outlive the view.
jobs::fleet_view job_owner::viewOf(const jobs::fleet_config &config,
                                   std::span<const jobs::worker_view> workers, time_point now) const
{
    const owner_rules &rules = m_services.rules;
    return {m_book,
            config,
            rules.sessions,
            workers,
            now - m_services.configConfirmedAt() >= rules.configValidity,
            now - m_services.workersConfirmedAt() >= rules.workersValidity,
            m_since,
            now,
            m_services.unixClock()};
}

void job_owner::noteEnd(const journal_record &record, time_point now)
{
    const jobs::fleet_config_ptr config = m_services.config();
    jobs::recordEnd(m_waiting, viewOf(*config, {}, now), record);
}

void job_owner::noteLapse(const driven_worker &worker, std::span<const journal_record> lapsed, time_point now)
{
    if (lapsed.empty())
        return;
    const jobs::fleet_config_ptr config = m_services.config();
    const jobs::fleet_view view = viewOf(*config, {}, now);
    // Until a commit has taken these ends they are found again on each tick.
    if (jobs::recordExpiredRuns(m_waiting, view, worker.session, lapsed))
        observe::log(log_level::warning, "worker's runs are over: its lease or life is",
                     jobs::describeExpiry(worker.session, view, lapsed));
}

void job_owner::watchWaiting(time_point now)
{
    if (now - m_waiting.scannedAt < m_waiting.rules.scanInterval)
        return;
    const bool useAll = tooManyQuarantined(now);
    std::vector<jobs::worker_view> workers;
    workers.reserve(m_workers.size());
    for (const auto &[incarnation, worker] : m_workers) {
        const auto load = m_book.loads.find(incarnation);
        workers.push_back({&worker->session, load == m_book.loads.end() ? nullptr : &load->second,
                           !useAll && placement::isQuarantined(worker->conduct.health, now),
                           isRefusing(*worker, now)});
    }
    const jobs::fleet_config_ptr config = m_services.config();
    for (const jobs::log_line &line : jobs::scanWaiting(m_waiting, viewOf(*config, workers, now)))
        observe::log(log_level::warning, line.message, line.fields);
    if (m_services.metrics)
        takeFindings(*m_services.metrics, m_waiting.found);
}

json job_owner::describeWaiting() const
{
    return {{"lastingTasks", m_waiting.found.longRunningDown},
            {"longestWaitMs", m_waiting.found.longestWait.count()},
            {"longestGapMs", m_waiting.longestGap.count()}};
}

} // namespace almond::fleet
