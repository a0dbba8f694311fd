#pragma once

#include "jobs/fleet_config.h"
#include "jobs/worker_session.h"

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <tuple>

namespace almond::jobs {

//! Why a task does not run. The order matches the names of causeName().
enum class wait_cause : std::uint8_t {
    earlierSteps,
    //! Its start is decided and the order has not been answered yet.
    startUnderWay,
    //! Its start was ordered on a worker that leaves orders without a response.
    startUnanswered,
    //! Its last run, on an unresponsive or vanished worker, does not count as ended yet.
    runNotOver,
    //! Usable workers have enough free capacity, but the planner has not placed it.
    notPlaced,
    //! No worker has enough free capacity.
    noRoom,
    //! Only quarantined workers have enough free capacity.
    onlyQuarantined,
    //! Only workers that have just refused an order have enough free capacity.
    onlyRefusing,
    //! Only workers in withdrawn failure domains have enough free capacity.
    onlyWithdrawn,
    //! Only workers that are leaving, are unresponsive, or have not responded in this term have enough free
    //! capacity.
    onlyUnreachable,
    staleConfig,
    staleWorkerList,
    staleJobs,
    //! The configuration lacks its queue.
    noQueue
};
inline constexpr std::size_t waitCauseCount = 14;

//! Name of \a cause in logs and metrics.
std::string_view causeName(wait_cause cause);

//! A worker and why the owner may not use it at the moment.
struct worker_view
{
    const worker_session *session = nullptr;
    //! Null for an idle worker.
    const worker_load *load = nullptr;
    bool quarantined = false;
    //! It refused an order a moment ago.
    bool refusing = false;
};

//! All inputs that determine why a task waits.
struct fleet_view
{
    const job_table &table;
    const fleet_config &config;
    const session_rules &sessions;
    //! Sorted by incarnation.
    std::span<const worker_view> workers;
    //! The configuration, the list of workers or the jobs were last confirmed too long ago to start tasks.
    bool configStale = false;
    bool workerListStale = false;
    bool jobsStale = false;
    //! When the term of this owner began.
    time_point termStart{};
    time_point now{};
    time_point unixNow{};
};

//! Numbers of workers with enough free capacity for one task. A worker that cannot be used is counted by the
//! first reason that applies.
struct fitting_workers
{
    std::size_t usable = 0;
    std::size_t quarantined = 0;
    std::size_t refusing = 0;
    std::size_t withdrawn = 0;
    std::size_t unreachable = 0;
    //! Shares of the service's CPU and memory that are assigned.
    int servicePercent = 0;
    int serviceMemoryPercent = 0;
};

//! All properties of a task that determine which workers fit, except the limit per worker.
using fitting_workers_key
    = std::tuple<std::string_view, std::string_view, std::int64_t, std::int64_t, std::int64_t, bool>;
//! Counts for one point in time.
using fitting_workers_cache = std::map<fitting_workers_key, fitting_workers>;

//! Returns the worker of \a view with the given \a incarnation; null for none.
const worker_view *findWorker(const fleet_view &view, std::string_view incarnation);

//! Returns whether the owner cannot know what runs on \a session, because the worker is gone or unresponsive.
bool isUnobservable(const worker_session &session, const session_rules &rules, time_point now);

//! Counts workers of \a service with enough free capacity for one task of \a spec, the step of \a task. The
//! interference of a best-effort task with its neighbours is not considered. \a cache holds the counts of
//! one point in time.
fitting_workers countFittingWorkers(const fleet_view &view, std::string_view service, const step_spec &spec,
                                    const task_name &task, fitting_workers_cache &cache);

//! Returns why \a task does not run; nothing if it runs, is done, or its job has ended.
std::optional<wait_cause> causeOf(const fleet_view &view, const task_name &task,
                                  fitting_workers_cache &cache);

//! Returns why \a task of \a jobState waits; its phase must be waiting.
wait_cause causeOfWaiting(const fleet_view &view, const job_state &jobState, const task_name &task,
                          fitting_workers_cache &cache);

} // namespace almond::jobs
