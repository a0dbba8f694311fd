#pragma once

#include "jobs/batch_reserve.h"
#include "jobs/fleet_config.h"
#include "jobs/interference.h"
#include "jobs/job_table.h"
#include "jobs/round_work.h"
#include "jobs/worker_info.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace almond::jobs {

//! A worker that may receive tasks now, with its remaining capacity. Only for one planning round: it refers
//! to the worker's session and to the job table.
struct candidate
{
    const worker_info *info = nullptr;
    //! Null for an idle worker.
    const worker_load *load = nullptr;
    //! Free capacity for tasks with guaranteed resources.
    resources available;
    //! CPU that best-effort tasks can expect, in millicores.
    std::int64_t spareMillicores = 0;
    std::int64_t bestEffortMillicores = 0;
    //! Serving tasks on the worker.
    std::vector<serving_view> serving;
    //! No new batch tasks with guaranteed resources are placed here, so that enough capacity becomes free for
    //! a long-running task that fits nowhere else.
    bool reserved = false;
    //! A serving task here misses its target: no best-effort task may be added, not even a harmless one.
    bool bestEffortBlocked = false;
    //! A serving task here may miss its target at the moment.
    bool targetMissed = false;
    //! No best-effort task is added, so that enough CPU becomes free for one of an overdue job.
    bool heldForOverdue = false;
};

//! The interference model and its rules, as the planner uses them.
struct interference_view
{
    interference_model model;
    interference_rules rules;
};

//! Why a worker can't take a task. The order matches the names of refusalName().
enum class placement_refusal : std::uint8_t {
    otherService,
    label,
    //! Too little memory, accelerators or, for a task with guaranteed resources, CPU.
    capacity,
    //! Too little CPU is left for a best-effort task.
    spareCpu,
    //! Reserved for a long-running task.
    reserved,
    //! A serving task misses its target.
    targetMissed,
    perWorkerLimit,
    //! A serving task would be left with too little slack.
    slack
};
inline constexpr std::size_t placementRefusalCount = 8;

//! Name of \a refusal in logs and metrics.
std::string_view refusalName(placement_refusal refusal);

//! Numbers of candidates that can take a task, and of those that can't, by the first reason that applies.
struct placement_options
{
    std::size_t accepting = 0;
    std::array<std::size_t, placementRefusalCount> refusing{};
};

//! CPU in millicores that all best-effort tasks on \a worker can expect together beside the other tasks in
//! \a load; \a load is null for an idle worker.
std::int64_t bestEffortCapacity(const worker_info &worker, const worker_load *load);

//! Returns \a worker as a candidate without the resources of \a load; \a load is null for an idle worker.
//! Both must outlive the candidate.
candidate makeCandidate(const worker_info &worker, const worker_load *load);
candidate makeCandidate(worker_info &&worker, const worker_load *load) = delete;

//! Number of tasks with the guaranteed resources \a demand that \a available holds.
std::int64_t placesFor(const resources &available, const resources &demand);

//! Returns whether the serving tasks on \a worker can matter for a task that waits. They are costly to
//! describe on a large fleet.
bool needsServingViews(const candidate &worker, const waiting_demand &demand);

//! Plans the next starts. The order is: by priority of the queues; then long-running tasks that ran before;
//! then batch tasks; then new long-running tasks, which would take capacity for good; each by time of
//! acceptance. A step that fits on no worker is skipped. For a few such long-running tasks workers are
//! reserved, so that they are placed eventually. One task of each job in \a overdue goes before all others,
//! see placeOverdue(). New long-running tasks leave the capacity to batch tasks that \a batchDemands asks
//! for. Returns records of the kind started, about \a limit at most.
std::vector<journal_record> planStarts(const job_table &table, const fleet_config &config,
                                       const interference_view &interference,
                                       std::vector<candidate> candidates, std::size_t limit,
                                       time_point unixNow, std::span<const job_id> overdue = {},
                                       const average_demands &batchDemands = {});
//! The same with the \a work that waits in \a table at \a unixNow.
std::vector<journal_record> planStarts(const round_work &work, const job_table &table,
                                       const fleet_config &config, const interference_view &interference,
                                       std::vector<candidate> candidates, std::size_t limit,
                                       time_point unixNow, std::span<const job_id> overdue = {},
                                       const average_demands &batchDemands = {});

//! Counts the \a candidates that can take \a task now. Nothing is counted for an unknown task or queue.
placement_options countOptions(const job_table &table, const fleet_config &config,
                               const interference_view &interference, std::vector<candidate> candidates,
                               const task_name &task);

//! Returns the jobs in \a touched of which a task or a gang has failed as often as the queue allows.
std::vector<job_id> jobsOutOfAttempts(const job_table &table, const fleet_config &config,
                                      std::span<const task_name> touched);

} // namespace almond::jobs
