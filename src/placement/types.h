#pragma once

#include "kernel/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace almond::placement {

using json = nlohmann::json;
using kernel::time_point;

//! An amount of what a worker has.
struct resources
{
    std::int64_t millicores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const resources &) const = default;
};

resources operator+(const resources &left, const resources &right);
resources operator-(const resources &left, const resources &right);
//! Tells whether \a demand is at most \a available in each member.
bool fits(const resources &demand, const resources &available);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(resources, millicores, memoryMb, accelerators)

//! What the scheduler may do to a task: batch work may be evicted, a service only when its failure
//! domain is withdrawn, and a register task never.
enum class job_class { batch, service, registerTask };

NLOHMANN_JSON_SERIALIZE_ENUM(job_class,
                             {{job_class::batch, "batch"},
                              {job_class::service, "service"},
                              {job_class::registerTask, "register"}})

//! One job as its submitter declares it. Declared sizes and run times are only a prior.
struct job_spec
{
    std::string id;
    std::string team;
    //! Names what the job runs, such as "reconciliation"; estimates are learned for each kind.
    std::string kind;
    job_class jobClass = job_class::batch;
    resources demand;
    std::int64_t declaredRunMs = 0;
    bool urgent = false;
    //! Passed on to the worker unread.
    json payload = json::object();
};

void to_json(json &out, const job_spec &spec);
void from_json(const json &in, job_spec &spec);

//! How an attempt ended.
enum class attempt_outcome {
    done,
    failed,
    //! Stopped on the scheduler's request, with a checkpoint.
    evicted,
    //! The worker restarted or its task lease is certainly over.
    lost,
    //! The worker refused to start it.
    notStarted
};

NLOHMANN_JSON_SERIALIZE_ENUM(attempt_outcome,
                             {{attempt_outcome::done, "done"},
                              {attempt_outcome::failed, "failed"},
                              {attempt_outcome::evicted, "evicted"},
                              {attempt_outcome::lost, "lost"},
                              {attempt_outcome::notStarted, "not-started"}})

//! One attempt at one job.
struct attempt_id
{
    std::string job;
    std::uint32_t attempt = 0;

    bool operator==(const attempt_id &) const = default;
    bool operator<(const attempt_id &other) const
    {
        return std::tie(job, attempt) < std::tie(other.job, other.attempt);
    }
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_id, job, attempt)

} // namespace almond::placement
