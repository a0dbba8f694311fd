// The part of job_owner that reports which tasks wait and why.

#include "fleet/job_owner.h"
#include "jobs/job_codec.h"
#include "observe/log.h"

#include <algorithm>

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
            !knowsRecentJobs(),
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
    if (m_dependencies.metrics)
        recordLostRuns(*m_dependencies.metrics,
                       worker.session.dead ? loss_evidence::addressReused : loss_evidence::leaseExpired,
                       expired.size());
    // Until they are committed, the same expired runs are found on each tick.
    if (jobs::recordExpiredRuns(m_waitMonitor, view, worker.session, expired))
        observe::log(log_level::warning,
                     "runs on a worker have ended: its lease has expired or another worker has its address",
                     jobs::describeExpiry(worker.session, view, expired));
}

//! Logs the runs among \a records that are lost since the response to a poll that was sent at \a sentAt does
//! not list them, with what tells a real loss from a wrong one.
void job_owner::reportUnlistedRuns(const managed_worker &worker, std::span<const journal_record> records,
                                   time_point sentAt, time_point now) const
{
    constexpr std::size_t loggedRuns = 8;
    const auto count = std::count_if(records.begin(), records.end(), [](const journal_record &record) {
        return record.end == jobs::run_end::lost;
    });
    if (count == 0)
        return;
    json runs = json::array();
    for (const journal_record &record : records) {
        if (record.end != jobs::run_end::lost || runs.size() == loggedRuns)
            continue;
        const auto accepted = worker.session.acceptedRuns.find(record.task);
        json acceptedBeforeMs = nullptr;
        if (accepted != worker.session.acceptedRuns.end() && accepted->second.first == record.run)
            acceptedBeforeMs = (now - accepted->second.second).count();
        runs.push_back(json{{"task", jobs::formatTask(record.task)},
                            {"run", record.run},
                            {"acceptedBeforeMs", std::move(acceptedBeforeMs)}});
    }
    if (m_dependencies.metrics)
        recordLostRuns(*m_dependencies.metrics, loss_evidence::notListed, static_cast<std::size_t>(count));
    const auto trace = m_traces.find(worker.session.info.id);
    const worker_trace seen = trace == m_traces.end() ? worker_trace{} : trace->second;
    // Until they are committed, the same runs are found with each poll.
    observe::logLimited(log_level::info, "runs counted as lost: the worker doesn't list them",
                        {{"worker", worker.session.incarnation},
                         {"count", count},
                         {"runs", std::move(runs)},
                         {"pollSentBeforeMs", (now - sentAt).count()},
                         {"pollsInFlight", seen.pollsInFlight},
                         {"sessionOpenedBeforeMs", (now - worker.sessionOpenedAt).count()},
                         {"sessionsOfWorker", seen.sessionsOpened},
                         {"pendingStarts", worker.session.pendingStarts.size()}},
                        now);
}

//! Follows how long a worker is missing in the list of workers, and whether its session outlasts that.
void job_owner::traceListing(const std::string &id, bool listed, bool sessionKept)
{
    worker_trace &trace = m_traces[id];
    const time_point now = m_dependencies.clock();
    if (!listed) {
        trace.leftListAt = now;
    } else if (trace.leftListAt != time_point{}) {
        observe::log(log_level::info, "worker is back in the list",
                     {{"worker", id},
                      {"missingForMs", (now - trace.leftListAt).count()},
                      {"sessionKept", sessionKept},
                      {"pollsInFlight", trace.pollsInFlight}});
        trace.leftListAt = time_point{};
    }
}

//! Forgets workers that have been gone for so long that nothing of their past acts any more.
void job_owner::pruneTraces(time_point now)
{
    constexpr milliseconds retention{60'000};
    std::erase_if(m_traces, [&](const auto &entry) {
        const worker_trace &trace = entry.second;
        const bool gone = trace.leftListAt != time_point{} && now - trace.leftListAt > retention;
        return gone && trace.pollsInFlight == 0 && !m_workers.findId(entry.first);
    });
}

void job_owner::scanWaiting(time_point now)
{
    const part_timer timed(m_dependencies.times, owner_part::scan);
    if (now < m_waitMonitor.nextScanAt)
        return;
    const time_point begun = m_dependencies.clock();
    const bool ignoreQuarantine = tooManyQuarantined(now);
    std::vector<jobs::worker_view> workers;
    workers.reserve(m_workers.size());
    for (const auto &[incarnation, worker] : m_workers.workers()) {
        const auto load = m_jobTable.loads.find(incarnation);
        workers.push_back({&worker->session, load == m_jobTable.loads.end() ? nullptr : &load->second,
                           !ignoreQuarantine && placement::isQuarantined(worker->evaluation.health, now),
                           recentlyRefused(*worker, now)});
    }
    const jobs::fleet_config_ptr config = m_dependencies.config();
    for (const jobs::log_line &line : jobs::scanWaiting(m_waitMonitor, makeFleetView(*config, workers, now)))
        observe::log(log_level::warning, line.message, line.fields);
    reportIdleTasks(now);
    jobs::forgetSilentWorkers(m_missMonitor, now);
    if (m_dependencies.metrics) {
        recordFindings(*m_dependencies.metrics, m_waitMonitor.found);
        recordMissedTurn(*m_dependencies.metrics, m_waitMonitor.missedTurns.longest);
    }
    m_waitMonitor.nextScanAt
        = now + jobs::scanIntervalAfter(m_waitMonitor.rules, begun, m_dependencies.clock());
}

//! Logs and counts which guards keep the tasks of idle jobs from starting.
void job_owner::reportIdleTasks(time_point now)
{
    if (m_waitMonitor.found.idleTasks.empty())
        return;
    const std::vector<jobs::candidate> candidates = candidateWorkers(jobs::waitingDemand(m_jobTable), now);
    for (const jobs::task_name &task : m_waitMonitor.found.idleTasks) {
        const jobs::placement_options options
            = jobs::countOptions(m_jobTable, *effectiveConfig(), m_interference, candidates, task);
        const jobs::step_spec *spec = jobs::findStep(m_jobTable, task);
        json refusing = json::object();
        for (std::size_t reason = 0; reason < options.refusing.size(); ++reason) {
            if (options.refusing.at(reason) > 0)
                refusing[std::string(jobs::refusalName(static_cast<jobs::placement_refusal>(reason)))]
                    = options.refusing.at(reason);
        }
        if (m_dependencies.metrics)
            recordIdleTask(*m_dependencies.metrics, options);
        observe::log(log_level::warning, "task of an idle job is refused by workers",
                     {{"task", jobs::formatTask(task)},
                      {"millicores", spec ? spec->demand.millicores : 0},
                      {"memoryMb", spec ? spec->demand.memoryMb : 0},
                      {"image", spec ? spec->image : std::string()},
                      {"bestEffort", spec && spec->bestEffort},
                      {"candidates", candidates.size()},
                      {"accepting", options.accepting},
                      {"refusing", std::move(refusing)}});
    }
}

std::size_t job_owner::pendingJobCount(const std::string &queue) const
{
    const job_counts counts = pendingJobCounts();
    const auto found = counts.find(queue);
    return found == counts.end() ? 0 : found->second;
}

job_counts job_owner::pendingJobCounts() const
{
    // Assigned runs that are not known to have begun.
    std::map<jobs::job_id, std::uint32_t> undecided;
    for (const jobs::job_id &id : m_jobTable.jobsWithWaitingTasks)
        undecided.emplace_hint(undecided.end(), id, 0);
    for (const auto &[incarnation, worker] : m_workers.workers()) {
        const auto load = m_jobTable.loads.find(incarnation);
        if (load == m_jobTable.loads.end())
            continue;
        const jobs::worker_session &session = worker->session;
        const auto isAssigned = [&runs = load->second.runs](const jobs::task_name &task, std::uint32_t run) {
            const auto assigned = runs.find(task);
            return assigned != runs.end() && assigned->second == run;
        };
        for (const auto &[task, run] : session.pendingStarts)
            undecided[task.job] += isAssigned(task, run) ? 1 : 0;
        for (const auto &[task, run] : session.unansweredStarts) {
            if (!session.pendingStarts.contains(task) && isAssigned(task, run)
                && !jobs::hasBegun(session, task, run))
                ++undecided[task.job];
        }
    }
    job_counts counts;
    for (const auto &[id, runs] : undecided) {
        const auto found = m_jobTable.jobs.find(id);
        if (found == m_jobTable.jobs.end())
            continue;
        const jobs::job_state &job = found->second;
        const bool begun = job.hasBegun || job.assigned > runs;
        if (!begun && !jobs::isFinal(job.status))
            ++counts[job.spec.queue];
    }
    return counts;
}

json job_owner::describeWaiting() const
{
    return {{"lastingTasks", m_waitMonitor.found.longRunningDown},
            {"longestWaitMs", m_waitMonitor.found.longestWait.count()},
            {"longestGapMs", m_waitMonitor.longestGap.count()},
            {"longestMissedTurnMs", m_waitMonitor.missedTurns.longest.count()},
            {"targetMisses", jobs::describeMisses(m_missMonitor)}};
}

} // namespace almond::fleet
