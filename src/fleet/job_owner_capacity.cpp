// The part of job_owner that follows the capacity of the workers and what waits for it.

#include "fleet/job_owner.h"

#include <algorithm>
#include <cmath>

namespace almond::fleet {

void job_owner::updateBatchDemands(time_point now)
{
    std::map<std::string, jobs::resources, std::less<>> largest;
    for (const auto &[incarnation, worker] : m_workers.workers()) {
        const jobs::worker_info &info = worker->session.info;
        jobs::resources &found = largest[info.service];
        found.millicores = std::max(found.millicores, info.capacity.millicores);
        found.memoryMb = std::max(found.memoryMb, info.capacity.memoryMb);
        found.accelerators = std::max(found.accelerators, info.capacity.accelerators);
    }
    const jobs::fleet_config_ptr config = effectiveConfig();
    jobs::updateBatchDemands(m_batchDemands, {}, {m_jobTable, *config, largest, now});
}

void job_owner::updateExpectedWaits(time_point now)
{
    m_expectedWaitsUpdatedAt = now;
    jobs::forgetIdleImages(m_throughputs, m_dependencies.rules.admission, now);
    const jobs::fleet_config_ptr config = effectiveConfig();
    jobs::service_loads loads;
    for (const auto &[incarnation, worker] : m_workers.workers()) {
        const jobs::worker_info &info = worker->session.info;
        const auto found = m_jobTable.loads.find(incarnation);
        const jobs::worker_load *load = found == m_jobTable.loads.end() ? nullptr : &found->second;
        const bool open = !config->withdrawnDomains.contains(info.failureDomain);
        jobs::addWorker(loads[info.service], info, load);
        if (open && jobs::acceptsNewTasks(worker->session, m_dependencies.rules.sessions, now))
            jobs::addFreeCapacity(loads[info.service], info, load);
    }
    jobs::addWaitingWork(loads, m_jobTable, *config, m_dependencies.unixClock());
    m_expectedWaits = jobs::expectedWaits(loads, m_throughputs, m_dependencies.rules.admission, now);
}

jobs::wait_estimate job_owner::expectedWait(std::string_view service, int priority,
                                            const std::string &image) const
{
    return jobs::expectedWait(m_expectedWaits, service, priority, image);
}

jobs::wait_estimate job_owner::expectedWait(std::string_view service, int priority,
                                            const jobs::guaranteed_step &step) const
{
    return jobs::expectedWait(m_expectedWaits, service, priority, step);
}

json job_owner::describeCapacity() const
{
    const time_point now = m_dependencies.clock();
    std::uint32_t lasting = 0;
    std::uint32_t fills = 0;
    std::uint32_t firm = 0;
    jobs::resources largestFirm;
    for (const jobs::job_id &id : m_jobTable.jobsWithWaitingTasks) {
        const jobs::job_state &job = m_jobTable.jobs.find(id)->second;
        for (const auto &[number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const jobs::step_spec &spec = job.spec.steps[step];
                const std::uint32_t waiting
                    = jobs::isReady(job, occurrence, step) ? occurrence.steps[step].waiting : 0;
                (spec.longRunning ? lasting : spec.bestEffort ? fills : firm) += waiting;
                const bool isFirm = waiting > 0 && !spec.longRunning && !spec.bestEffort;
                if (isFirm && spec.demand.millicores > largestFirm.millicores)
                    largestFirm = spec.demand;
            }
        }
    }
    std::int64_t capacity = 0;
    std::int64_t free = 0;
    std::int64_t firmPlaces = 0;
    std::size_t usable = 0;
    for (const jobs::candidate &worker : candidateWorkers({}, now)) {
        ++usable;
        capacity += worker.info->capacity.millicores;
        free += worker.available.millicores;
        if (largestFirm.millicores > 0)
            firmPlaces += jobs::placesFor(worker.available, largestFirm);
    }
    std::int64_t lastingMillicores = 0;
    for (const auto &[incarnation, load] : m_jobTable.loads)
        lastingMillicores += load.longRunningMillicores;
    json batchDemand = json::object();
    for (const auto &[queue, average] : m_batchDemands)
        batchDemand[queue] = std::llround(average.value.millicores);
    json waits = json::object();
    for (const auto &[service, found] : m_expectedWaits) {
        for (const auto &[priority, expected] : found.all)
            waits[service][std::to_string(priority)] = {expected.wait.count(), expected.backlog.count()};
        for (const auto &[priority, expected] : found.guaranteed)
            waits[service]["guaranteed"][std::to_string(priority)]
                = {expected.wait.count(), expected.backlog.count()};
    }
    return {{"usableWorkers", usable},   {"capacityMillicores", capacity},
            {"freeMillicores", free},    {"lastingMillicores", lastingMillicores},
            {"waitingLasting", lasting}, {"waitingToFill", fills},
            {"waitingFirm", firm},       {"largestFirmMillicores", largestFirm.millicores},
            {"firmPlaces", firmPlaces},  {"batchDemandMillicores", batchDemand},
            {"expectedWaitMs", waits}};
}

} // namespace almond::fleet
