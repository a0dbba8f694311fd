#pragma once

#include "jobs/interference_model.h"
#include "jobs/job_table.h"
#include "jobs/worker_api.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace almond::jobs {

//! A run in a worker's list with what is known of it, looked up once for all that is made of a poll. Valid
//! as long as neither the list nor the job table changes.
struct listed_run
{
    const running_report *report = nullptr;
    //! Null if the job table has no such task.
    const step_spec *spec = nullptr;
    //! Its job is known and has not ended.
    bool isOpen = false;
    //! The run is assigned to the worker.
    bool isAssigned = false;
    //! Number of the image of a serving or best-effort task in the model, where it was looked up.
    std::optional<image_number> image;
};

//! Returns the run of \a name that is assigned to the worker with the load \a load; 0 for none.
std::uint32_t assignedRun(const worker_load &load, const task_name &name);

//! Returns the runs \a running that the incarnation \a worker lists, in the same order.
std::vector<listed_run> listRuns(const job_table &table, std::string_view worker,
                                 std::span<const running_report> running);

//! Whether the step of a task is one of a serving job; false for an unknown one.
bool isServing(const step_spec *spec);

//! Whether the step of a task is a best-effort one; false for an unknown one.
bool isBestEffort(const step_spec *spec);

} // namespace almond::jobs
