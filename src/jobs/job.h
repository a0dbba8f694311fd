#pragma once

#include "kernel/time.h"
#include "placement/types.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace almond::jobs {

using kernel::milliseconds;
using kernel::time_point;
using placement::resources;

//! One step of a job: a number of equal tasks and what they need.
struct step_spec
{
    std::uint32_t count = 0;
    //! What each task takes of a worker.
    resources demand;
    //! The submitter's rough guess of a task's duration.
    milliseconds declaredDuration{0};
    //! Indexes of earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> after;
    bool checkpointing = false;
    //! The tasks work only together, all of one run.
    bool gang = false;
    //! The tasks of a gang are slower when they run on more than one rack.
    bool sameRack = false;
    //! Copies of a task may run in parallel.
    bool speculative = false;
    //! The tasks run until the job is cancelled and are restarted however they end.
    bool longRunning = false;
    //! The tasks take only processor time that others leave unused.
    bool bestEffort = false;
    //! Label that a worker must have; empty for none.
    std::string requiredLabel;
    //! Rack where the data lies; empty for none.
    std::string dataRack;
    //! Most tasks of this step on one worker; 0 for no limit.
    std::uint32_t perWorkerLimit = 0;
    //! Names what the tasks run; tasks of one image behave alike.
    std::string image;
    //! Upper bound of the response time's tail of a lasting task; 0 for none.
    milliseconds tailLatencyTarget{0};
    //! How many lasting tasks may be away at once because of the scheduler.
    std::uint32_t maxUnavailable = 0;
};

struct queue_version;

//! A job as a caller hands it in.
struct job
{
    std::string id;
    //! Name of the queue that took it.
    std::string queue;
    //! Passed to workers unread.
    std::string payload;
    std::vector<step_spec> steps;
    //! Number of occurrences by time; 0 for a job that runs once, now.
    std::uint32_t repetitions = 0;
    //! Time of the first occurrence, in milliseconds since the epoch.
    std::int64_t firstDueMs = 0;
    milliseconds interval{0};
    //! When a gateway accepted it, in milliseconds since the epoch.
    std::int64_t acceptedAtMs = 0;
    //! Rules of the queue then, for an owner that never saw that configuration; null for an unknown one.
    std::shared_ptr<const queue_version> queueAtAcceptance;
};

//! Names one task: the job, its occurrence, the step and the index within it.
struct task_name
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const task_name &) const = default;
    bool operator<(const task_name &other) const
    {
        return std::tie(job, occurrence, step, index)
            < std::tie(other.job, other.occurrence, other.step, other.index);
    }
};

//! How a run of a task ended.
enum class run_end {
    done,
    failed,
    stopped,
    //! Its lease ran out or its worker is gone.
    lost,
    //! It never began and never will.
    notStarted
};

//! What a caller is told about a job.
enum class job_status { queued, running, completed, failed, cancelled };

} // namespace almond::jobs
