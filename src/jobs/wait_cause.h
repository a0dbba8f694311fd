#pragma once

#include "jobs/fleet_config.h"
#include "jobs/worker_session.h"

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <tuple>

namespace almond::jobs {

//! What keeps a task from running.
enum class wait_cause : std::uint8_t {
    earlierSteps,
    //! Its start is decided and on the way.
    startUnderWay,
    //! Its start is on the way to a worker that leaves orders unanswered.
    startUnanswered,
    //! Its last run, on a silent or vanished worker, does not count as over yet.
    runNotOver,
    //! Usable workers have room, but the planner has not placed it.
    notPlaced,
    noRoom,
    //! Only workers in quarantine have room.
    onlyQuarantined,
    //! Only workers that have just turned an order away have room.
    onlyRefusing,
    //! Only workers in withdrawn failure domains have room.
    onlyWithdrawn,
    //! Only workers that are leaving, silent or have not answered this owner have room.
    onlyUnreachable,
    staleConfig,
    staleWorkerList,
    //! The configuration does not have its queue.
    noQueue
};
inline constexpr std::size_t waitCauseCount = 13;

//! Name of \a cause for logs and metrics.
std::string_view causeName(wait_cause cause);

//! A worker with what the owner holds against it.
struct worker_view
{
    const worker_session *session = nullptr;
    //! Null for an idle one.
    const worker_load *load = nullptr;
    bool quarantined = false;
    //! It turned an order away a moment ago.
    bool refusing = false;
};

//! All that decides why a task waits.
struct fleet_view
{
    const job_table &table;
    const fleet_config &config;
    const session_rules &sessions;
    //! Sorted by incarnation.
    std::span<const worker_view> workers;
    bool configStale = false;
    bool workerListStale = false;
    //! When this owner took office.
    time_point termStart{};
    time_point now{};
    time_point unixNow{};
};

//! Workers with room for one task, each counted by the first thing that keeps it from being used.
struct fitting_workers
{
    std::size_t usable = 0;
    std::size_t quarantined = 0;
    std::size_t refusing = 0;
    std::size_t withdrawn = 0;
    std::size_t unreachable = 0;
    //! Share of the service's processor time that is assigned.
    int servicePercent = 0;
};

//! What decides which workers have room, but for a step's limit for each worker.
using fitting_workers_key
    = std::tuple<std::string_view, std::string_view, std::int64_t, std::int64_t, std::int64_t, bool>;
//! Counts of one moment, by kind of task.
using fitting_workers_cache = std::map<fitting_workers_key, fitting_workers>;

//! The worker of \a view that is named \a incarnation; null for none.
const worker_view *findWorker(const fleet_view &view, std::string_view incarnation);

//! Tells whether what runs on \a session can't be known: its worker is gone or silent.
bool isUnobservable(const worker_session &session, const session_rules &rules, time_point now);

//! Workers of \a service with room for one task of \a spec, the step of \a task. What a task that fills
//! would do to its neighbours is not judged. \a known keeps the counts of one moment.
fitting_workers countFittingWorkers(const fleet_view &view, std::string_view service, const step_spec &spec,
                                    const task_name &task, fitting_workers_cache &known);

//! Why \a task does not run; empty when it does, is done, or its job has ended.
std::optional<wait_cause> causeOf(const fleet_view &view, const task_name &task,
                                  fitting_workers_cache &known);

//! The same for a waiting task of \a step of \a owner.
wait_cause causeOfWaiting(const fleet_view &view, const job_state &owner, const task_name &task,
                          fitting_workers_cache &known);

} // namespace almond::jobs
