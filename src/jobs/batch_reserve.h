#pragma once

#include "jobs/fleet_config.h"
#include "jobs/job_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

//! Capacity that new long-running tasks leave to batch tasks with guaranteed resources. A long-running task
//! keeps its capacity until its job is cancelled, so without a limit short tasks would be left with
//! fragments.
namespace almond::jobs {

struct placement_request;
struct planning_round;

struct batch_reserve_rules
{
    //! Time constant of the average demand of batch tasks.
    milliseconds window{8000};
    //! What batch tasks are to have in total, as a percentage of their average demand, which varies.
    int headroomPercent = 200;
    //! Upper limit of that, as a percentage of the service's CPU: however many batch tasks wait, new
    //! long-running tasks get the rest.
    int largestSharePercent = 15;
    //! Nothing is reserved while at least this percentage of the service's CPU is free.
    int leastFreePercent = 45;
};

//! Resources of batch tasks with guaranteed resources that are assigned or ready to start.
struct batch_demand
{
    double millicores = 0.0;
    double memoryMb = 0.0;
    double tasks = 0.0;
};

struct average_demand
{
    batch_demand value;
    time_point updatedAt{};
};

//! Batch tasks of the queues of one service and priority.
struct batch_share
{
    batch_demand average;
    std::int64_t assignedMillicores = 0;
};

//! By queue.
using average_demands = std::map<std::string, average_demand, std::less<>>;
//! By service and priority of the queues.
using batch_shares = std::map<std::pair<std::string, int>, batch_share>;

//! What the present demand follows from.
struct batch_view
{
    const job_table &table;
    const fleet_config &config;
    //! The most that any worker of a service has of each resource.
    const std::map<std::string, resources, std::less<>> &largestWorkers;
    time_point now{};
};

//! Updates \a averages from the present state in \a view. Waiting tasks that need a label or that fit on no
//! worker don't count: free capacity may be of no use to them.
void updateBatchDemands(average_demands &averages, const batch_reserve_rules &rules, const batch_view &view);

//! Sums \a averages and the assigned tasks in \a table over the queues of each service and priority.
batch_shares batchShares(const average_demands &averages, const job_table &table, const fleet_config &config);

//! Returns whether \a task, a new long-running one, may be placed beside the batch tasks of the same and of
//! higher priorities.
bool hasRoomBesideBatch(planning_round &round, const placement_request &task);
//! Counts \a task, a new long-running one, as placed.
void takeBesideBatch(planning_round &round, const placement_request &task);

} // namespace almond::jobs
