#pragma once

#include "jobs/wait_cause.h"

#include <map>
#include <span>
#include <string>

//! Jobs of which nothing runs although they have a turn: a ready task fits on several workers while little of
//! the service is in use.
namespace almond::jobs {

struct turn_rules
{
    //! Number of workers that must have room for the task.
    std::size_t workers = 2;
    //! Less than this share of the service's CPU must be assigned. Memory does not count: lost runs hold it
    //! here.
    int servicePercent = 50;
};

struct missed_turn
{
    time_point since{};
    time_point seenAt{};
};

//! The missed turns of one term, for logs and metrics only.
struct missed_turns
{
    turn_rules rules;
    std::map<job_id, missed_turn> present;
    milliseconds longest{};
};

//! Number of workers with room, those included that the owner may not use at the moment.
std::size_t countWithRoom(const fitting_workers &workers);
//! Counts workers for \a task of \a jobState; none if its queue is not configured.
fitting_workers countWorkersFor(const fleet_view &view, const job_state &jobState, const task_name &task,
                                fitting_workers_cache &cache);

//! Follows \a jobState, of which nothing runs. Its tasks in \a down are assigned but do not run.
void updateMissedTurn(missed_turns &turns, const fleet_view &view, const job_state &jobState,
                      std::span<const task_name> down, fitting_workers_cache &cache);
//! Forgets the turns that were not updated at \a now.
void endMissedTurns(missed_turns &turns, time_point now);

} // namespace almond::jobs
