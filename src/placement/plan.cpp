#include "placement/plan.h"

#include <algorithm>
#include <limits>

namespace almond::placement {

namespace {

constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max() / 4;

double committedFraction(const candidate_worker &worker, const resources &demand)
{
    const auto fraction = [](std::int64_t free, std::int64_t total) {
        return total <= 0 ? 0.0 : 1.0 - static_cast<double>(free) / static_cast<double>(total);
    };
    const resources free = worker.available - demand;
    return std::max(fraction(free.millicores, worker.capacity.millicores),
                    fraction(free.memoryMb, worker.capacity.memoryMb));
}

std::string describe(const resources &amount)
{
    return std::to_string(amount.millicores) + " millicores, " + std::to_string(amount.memoryMb) + " MB and "
        + std::to_string(amount.accelerators) + " accelerators";
}

//! Demands that fitted on no worker in this round. A demand at least as large in every resource does not fit
//! either, so no worker is tried for it.
class unplaced_demands
{
public:
    void add(const resources &demand) { m_demands.push_back(demand); }
    bool covers(const resources &demand) const
    {
        return std::any_of(m_demands.begin(), m_demands.end(),
                           [&](const resources &unplaced) { return fits(unplaced, demand); });
    }

private:
    std::vector<resources> m_demands;
};

} // namespace

std::vector<candidate_worker> candidateWorkers(const cell_state &cell, const std::set<std::string> &usable)
{
    std::vector<candidate_worker> candidates;
    for (const std::string &id : usable) {
        const auto found = cell.workers.find(id);
        if (found != cell.workers.end())
            candidates.push_back(
                {id, found->second.capacity, found->second.capacity - found->second.committed});
    }
    return candidates;
}

resources quotaPerCell(const config::config_document &config, std::string_view team, std::size_t cellCount)
{
    const auto found = config.teams.find(team);
    if (found == config.teams.end())
        return {unlimited, unlimited, unlimited};
    const auto cells = static_cast<std::int64_t>(std::max<std::size_t>(1, cellCount));
    const config::team_quota &quota = found->second;
    return {quota.millicores / cells, quota.memoryMb / cells, quota.accelerators / cells};
}

std::ptrdiff_t chooseWorker(std::span<const candidate_worker> candidates, const resources &demand)
{
    std::ptrdiff_t best = -1;
    double bestFraction = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (!fits(demand, candidates[index].available))
            continue;
        const double fraction = committedFraction(candidates[index], demand);
        if (fraction < bestFraction) {
            best = static_cast<std::ptrdiff_t>(index);
            bestFraction = fraction;
        }
    }
    return best;
}

std::vector<cell_record> planStarts(const cell_state &cell, const config::config_document &config,
                                    plan_inputs inputs, time_point now)
{
    std::vector<cell_record> records;
    if (!inputs.mayStart || inputs.candidates.empty())
        return records;
    unplaced_demands unplaced;
    auto usage = cell.teamUsage;
    for (const queue_key &key : cell.queue) {
        if (records.size() >= inputs.maximumStarts)
            break;
        const job_spec &spec = cell.jobs.find(key.job)->second.spec;
        if (inputs.changedJobs.contains(key.job) || unplaced.covers(spec.demand))
            continue;
        const resources teamUsage = usage[spec.team] + spec.demand;
        if (!fits(teamUsage, quotaPerCell(config, spec.team, inputs.cellCount)))
            continue;
        const std::ptrdiff_t chosen = chooseWorker(inputs.candidates, spec.demand);
        if (chosen < 0) {
            unplaced.add(spec.demand);
            continue;
        }
        candidate_worker &worker = inputs.candidates[static_cast<std::size_t>(chosen)];
        worker.available = worker.available - spec.demand;
        usage[spec.team] = teamUsage;
        records.emplace_back(assigned_record{key.job, worker.id, kernel::toMillis(now)});
    }
    return records;
}

std::vector<std::string> jobsToMove(const cell_state &cell, const plan_inputs &inputs, std::size_t limit)
{
    std::vector<std::string> jobs;
    for (const queue_key &key : cell.queue) {
        if (jobs.size() >= limit)
            break;
        if (inputs.changedJobs.contains(key.job))
            continue;
        const resources &demand = cell.jobs.find(key.job)->second.spec.demand;
        const bool tooLarge = !cell.workers.empty()
            && std::none_of(cell.workers.begin(), cell.workers.end(),
                            [&](const auto &item) { return fits(demand, item.second.capacity); });
        if (!inputs.domainOpen || tooLarge)
            jobs.push_back(key.job);
    }
    return jobs;
}

std::string impossibleReason(const job_spec &spec, std::span<const resources> capacities,
                             const config::config_document &config)
{
    const resources quota = quotaPerCell(config, spec.team, 1);
    if (!fits(spec.demand, quota))
        return "needs " + describe(spec.demand) + ", team " + spec.team + " has a quota of "
            + describe(quota);
    if (capacities.empty())
        return {}; // no worker has registered yet
    const bool possible = std::any_of(capacities.begin(), capacities.end(),
                                      [&](const resources &capacity) { return fits(spec.demand, capacity); });
    if (possible)
        return {};
    const auto largest = *std::max_element(
        capacities.begin(), capacities.end(),
        [](const resources &left, const resources &right) { return left.millicores < right.millicores; });
    return "needs " + describe(spec.demand) + ", the largest worker has " + describe(largest);
}

} // namespace almond::placement
