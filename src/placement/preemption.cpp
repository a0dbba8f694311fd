#include "placement/preemption.h"

#include <algorithm>
#include <optional>

namespace almond::placement {

namespace {

constexpr std::size_t maximumEvictionsPerRound = 50;

bool mayEvict(const job_entry &job)
{
    return job.spec.jobClass == job_class::batch && !job.spec.urgent;
}

//! Returns the evictions on \a worker after which \a demand fits: an empty list if it fits once the attempts
//! in \a evicting have ended, no value if it can't fit.
std::optional<std::vector<attempt_id>> evictionsAt(const cell_state &cell, const candidate_worker &worker,
                                                   const resources &demand,
                                                   const std::set<attempt_id> &evicting)
{
    std::vector<const job_entry *> victims;
    resources available = worker.available;
    for (const std::string &id : cell.workers.find(worker.id)->second.jobs) {
        const job_entry &job = cell.jobs.find(id)->second;
        if (evicting.contains({id, job.attempt}))
            available = available + job.spec.demand;
        else if (mayEvict(job))
            victims.push_back(&job);
    }
    std::sort(victims.begin(), victims.end(), [](const job_entry *left, const job_entry *right) {
        return left->spec.demand.millicores > right->spec.demand.millicores;
    });
    std::vector<attempt_id> evictions;
    for (const job_entry *job : victims) {
        if (fits(demand, available))
            break;
        available = available + job->spec.demand;
        evictions.push_back({job->spec.id, job->attempt});
    }
    if (!fits(demand, available))
        return std::nullopt;
    return evictions;
}

//! Returns the evictions on the worker where \a demand needs the fewest; empty if none are
//! needed or \a demand can't fit on any worker.
std::vector<attempt_id> fewestEvictions(const cell_state &cell, const plan_inputs &inputs,
                                        const resources &demand, const std::set<attempt_id> &evicting)
{
    std::optional<std::vector<attempt_id>> best;
    for (const candidate_worker &worker : inputs.candidates) {
        auto evictions = evictionsAt(cell, worker, demand, evicting);
        if (evictions && (!best || evictions->size() < best->size()))
            best = std::move(evictions);
    }
    return best.value_or(std::vector<attempt_id>());
}

} // namespace

std::vector<attempt_id> planPreemption(const cell_state &cell, const config::config_document &config,
                                       const plan_inputs &inputs, const std::set<attempt_id> &evicting)
{
    std::vector<attempt_id> planned;
    if (!inputs.mayStart)
        return planned;
    std::set<attempt_id> allEvictions = evicting;
    for (const queue_key &key : cell.queue) {
        if (key.nonUrgent || planned.size() >= maximumEvictionsPerRound)
            break;
        const job_spec &spec = cell.jobs.find(key.job)->second.spec;
        const auto usage = cell.teamUsage.find(spec.team);
        const resources used = usage == cell.teamUsage.end() ? resources() : usage->second;
        const bool withinQuota = fits(used + spec.demand, quotaPerCell(config, spec.team, inputs.cellCount));
        const bool fitsAlready = chooseWorker(inputs.candidates, spec.demand) >= 0;
        if (!withinQuota || fitsAlready || inputs.changedJobs.contains(key.job))
            continue;
        for (attempt_id &id : fewestEvictions(cell, inputs, spec.demand, allEvictions)) {
            allEvictions.insert(id);
            planned.push_back(std::move(id));
        }
    }
    return planned;
}

} // namespace almond::placement
