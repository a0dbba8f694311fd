#pragma once

#include "jobs/job_id.h"
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

//! One step of a job: a number of identical tasks and what they need.
struct step_spec
{
    std::uint32_t count = 0;
    //! Resources that one task takes on its worker.
    resources demand;
    //! The submitter's rough estimate of how long one task runs.
    milliseconds declaredDuration{0};
    //! Indexes of earlier steps; all of their tasks must be done before this step starts.
    std::vector<std::uint32_t> after;
    //! The tasks report checkpoints, from which a later run can resume.
    bool checkpointing = false;
    //! Gang scheduling: all tasks start together, with one run number.
    bool gang = false;
    //! The tasks of a gang are slower when they run on more than one rack.
    bool sameRack = false;
    //! Copies of a task may run in parallel.
    bool speculative = false;
    //! The tasks run until the job is cancelled and are restarted however they end.
    bool longRunning = false;
    //! The tasks use only CPU that other tasks leave unused.
    bool bestEffort = false;
    //! Label that a worker must have; empty for none.
    std::string requiredLabel;
    //! Rack that stores the input data; empty for none.
    std::string dataRack;
    //! Maximum number of tasks of this step on one worker; 0 for no limit.
    std::uint32_t perWorkerLimit = 0;
    //! Name of what the tasks run. Tasks of one image are assumed to behave alike.
    std::string image;
    //! Upper bound on the tail latency of a long-running task; 0 for none.
    milliseconds tailLatencyTarget{0};
    //! How many long-running tasks the scheduler may have down at the same time.
    std::uint32_t maxUnavailable = 0;
};

struct queue_version;

//! A job as a caller hands it in.
struct job
{
    job_id id;
    //! Name of the queue that accepted the job.
    std::string queue;
    //! Opaque to the scheduler; passed to the workers unchanged.
    std::string payload;
    std::vector<step_spec> steps;
    //! Number of scheduled occurrences; 0 for a job that runs once, immediately.
    std::uint32_t repetitions = 0;
    //! Due time of the first occurrence, in milliseconds since the epoch.
    std::int64_t firstDueMs = 0;
    //! Time between the due times of two occurrences.
    milliseconds interval{0};
    //! When a gateway accepted the job, in milliseconds since the epoch.
    std::int64_t acceptedAtMs = 0;
    //! Rules of the queue when the job was accepted, for an owner that never read that configuration; null
    //! when unknown.
    std::shared_ptr<const queue_version> queueAtAcceptance;
};

//! Identifies one task by its job, the occurrence, the step and the index within the step.
struct task_name
{
    job_id job;
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

//! How a run of a task ended. The values are stored as numbers in the journal.
enum class run_end {
    done,
    failed,
    stopped,
    //! The lease of its worker expired, or its worker is gone.
    lost,
    //! It did not begin and never will.
    notStarted
};

//! Status of a job as reported to callers.
enum class job_status { queued, running, completed, failed, cancelled };

} // namespace almond::jobs
