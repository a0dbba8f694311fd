#pragma once

#include "jobs/fleet_config.h"
#include "jobs/job_table.h"
#include "jobs/worker_info.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

//! Admission of jobs with batch tasks: a job that has no prospect of completing in time is rejected when it
//! is handed in. Without a bound on what is accepted, the backlog of an overloaded service grows until most
//! accepted jobs wait for good.
namespace almond::jobs {

//! Declared work of tasks: their CPU demand times their declared duration, in millicore-milliseconds.
using declared_work = double;

struct admission_rules
{
    //! Time constant of the average throughput.
    milliseconds throughputWindow{4000};
    //! Share of the CPU that is left to best-effort tasks which they are expected to use at least while more
    //! of them wait.
    int leastUsePercent = 60;
    //! Share of the time that a job can spare within its objective which may pass until its tasks start: the
    //! tasks of later steps wait as well.
    int waitPercent = 60;
    //! A wait up to this long is never a reason for rejection.
    milliseconds acceptableWait{1000};
    //! Work of steps that are not ready counts up to this multiple of the work that is ready. While nothing
    //! that is ready waits, the service has capacity to spare.
    int laterWorkFactor = 5;
};

//! Declared work of batch tasks that were done, as a decaying sum.
struct work_meter
{
    declared_work done = 0.0;
    time_point startedAt{};
    time_point updatedAt{};
};

//! Declared work of batch tasks that have not started.
struct waiting_work
{
    //! Of tasks that are ready to start, in jobs that can still be in time.
    declared_work ready = 0.0;
    //! Of those that wait for earlier steps.
    declared_work later = 0.0;
    //! Of late jobs, whose tasks go after those of a new job.
    declared_work late = 0.0;
};

//! What determines how long a batch task with guaranteed resources of one service waits.
struct guaranteed_load
{
    //! By priority of the queue. Jobs that are far too late don't count: their tasks go last. Nor do tasks
    //! that need a label or more than the largest worker has: what is free may be of no use to them.
    std::map<int, waiting_work> waiting;
    //! Resources and number of the tasks that are ready.
    resources readyDemand;
    std::int64_t readyTasks = 0;
    //! CPU of the tasks that are assigned.
    std::int64_t assignedMillicores = 0;
    //! Resources that are free on each worker that accepts tasks and has any.
    std::vector<resources> free;
};

//! What determines how long a batch task of one service waits.
struct service_load
{
    //! By image of the tasks and priority of the queue.
    std::map<std::pair<std::string, int>, waiting_work> waiting;
    //! CPU that is left to best-effort tasks.
    std::int64_t bestEffortMillicores = 0;
    //! The most that any worker has of each resource.
    resources largestWorker;
    guaranteed_load guaranteed;
};

struct service_throughput
{
    //! Of best-effort tasks.
    work_meter all;
    std::map<std::string, work_meter, std::less<>> byImage;
    //! Of batch tasks with guaranteed resources.
    work_meter guaranteed;
};

//! What a new batch task has to expect.
struct wait_estimate
{
    //! Until it starts.
    milliseconds wait{0};
    //! Until all tasks that wait now have been done, late ones included.
    milliseconds backlog{0};
};

//! How long batch tasks of one service wait. The first two maps are for best-effort tasks.
struct service_waits
{
    std::map<int, wait_estimate> all; // by priority of the queue
    //! Behind tasks of the same image alone: where tasks that disturb serving tasks find no worker, others
    //! may.
    std::map<std::pair<std::string, int>, wait_estimate> byImage;
    //! For tasks with guaranteed resources, by priority of the queue.
    std::map<int, wait_estimate> guaranteed;
    std::vector<resources> free;
};

//! Batch tasks with guaranteed resources of one step of a job.
struct guaranteed_step
{
    resources demand;
    std::uint32_t tasks = 0;
};

//! By service.
using service_throughputs = std::map<std::string, service_throughput, std::less<>>;
using service_loads = std::map<std::string, service_load, std::less<>>;
using expected_waits = std::map<std::string, service_waits, std::less<>>;

//! Counts the work of the tasks that were done according to \a records, which have been applied to \a table.
void recordDoneWork(service_throughputs &throughputs, const admission_rules &rules, const job_table &table,
                    const fleet_config &config, std::span<const journal_record> records, time_point now);

//! Removes the throughput of images of which no task was done lately, since callers choose their names.
void forgetIdleImages(service_throughputs &throughputs, const admission_rules &rules, time_point now);

//! Adds \a worker to \a service without the resources in \a load; \a load is null for an idle worker.
void addWorker(service_load &service, const worker_info &worker, const worker_load *load);

//! Adds what is free on \a worker, which accepts tasks, to \a service; \a load is null for an idle worker.
void addFreeCapacity(service_load &service, const worker_info &worker, const worker_load *load);

//! Adds the work of the batch tasks that have not started to \a loads, which describe the workers. To be
//! called after a planning round, since what the round has placed does not wait. Late tasks that need a label
//! or more than the largest worker has don't count: they may never run.
void addWaitingWork(service_loads &loads, const job_table &table, const fleet_config &config,
                    time_point unixNow);

//! Returns how long a batch task that becomes ready at \a now is expected to wait behind those of the
//! same and of higher priorities, for each service and priority in \a loads.
expected_waits expectedWaits(const service_loads &loads, const service_throughputs &throughputs,
                             const admission_rules &rules, time_point now);

//! Returns the wait of best-effort tasks of \a image and \a priority on \a service: behind all others or
//! behind those of the same image, whichever is shorter.
wait_estimate expectedWait(const expected_waits &waits, std::string_view service, int priority,
                           const std::string &image);

//! Returns the wait of the tasks of \a step with \a priority on \a service; none while the service has room
//! for all of them.
wait_estimate expectedWait(const expected_waits &waits, std::string_view service, int priority,
                           const guaranteed_step &step);

//! Returns the longer of both in each respect.
wait_estimate longest(const wait_estimate &left, const wait_estimate &right);

//! Returns the images of the best-effort tasks of \a candidate.
std::set<std::string> bestEffortImages(const job &candidate);

//! Returns the steps of \a candidate that have batch tasks with guaranteed resources.
std::vector<guaranteed_step> guaranteedSteps(const job &candidate);

//! Returns whether the prospects of \a candidate depend on the wait of batch tasks.
bool dependsOnWait(const job &candidate);

//! Returns after which time \a candidate may be handed in again if it can't complete within the objective of
//! \a queue, or if what waits already takes a multiple of that; nothing if it is to be accepted.
std::optional<milliseconds> rejectionOf(const job &candidate, const queue_rules &queue,
                                        const admission_rules &rules, wait_estimate expected);

} // namespace almond::jobs
