#pragma once

#include "jobs/fleet_config.h"
#include "jobs/job_table.h"
#include "jobs/lateness.h"

#include <cstdint>
#include <optional>
#include <vector>

//! What a planning round has to know of the tasks that wait.
namespace almond::jobs {

//! A step whose tasks may start.
struct ready_step
{
    int priority = 0;
    //! False sorts first.
    bool longRunning = false;
    lateness expectedLateness = lateness::inTime;
    std::int64_t acceptedAtMs = 0;
    const job_state *jobState = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    const queue_rules *queue = nullptr;
};

//! What the waiting tasks have to know of the serving tasks on a candidate.
struct waiting_demand
{
    //! Smallest CPU demand of the best-effort tasks, in millicores; nothing if there are none.
    std::optional<std::int64_t> smallestBestEffort;
    //! There are serving tasks; they are grouped by image.
    bool serving = false;
    //! Some of the best-effort tasks may have to share their CPU.
    bool mayCrowd = false;
};

//! Only for one planning round: it refers to the job table and the configuration.
struct round_work
{
    //! In the order of planStarts().
    std::vector<ready_step> ready;
    waiting_demand demand;
};

//! Finds the work that waits in one walk over the jobs.
round_work findRoundWork(const job_table &table, const fleet_config &config, time_point unixNow);
waiting_demand waitingDemand(const job_table &table);

} // namespace almond::jobs
