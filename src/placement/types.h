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

//! Amounts of the resources that a worker has, a job needs or a team may use.
struct resources
{
    std::int64_t millicores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const resources &) const = default;
};

resources operator+(const resources &left, const resources &right);
resources operator-(const resources &left, const resources &right);
//! Tells whether \a demand is at most \a available in every resource.
bool fits(const resources &demand, const resources &available);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(resources, millicores, memoryMb, accelerators)

//! Determines when the scheduler may stop a job that was not cancelled: it may evict batch jobs, stops
//! services only when their failure domain is withdrawn, and never stops register tasks.
enum class job_class { batch, service, registerTask };

NLOHMANN_JSON_SERIALIZE_ENUM(job_class,
                             {{job_class::batch, "batch"},
                              {job_class::service, "service"},
                              {job_class::registerTask, "register"}})

//! A job as submitted. The declared demand and run time are only prior estimates.
struct job_spec
{
    std::string id;
    std::string team;
    //! Type of work, such as "reconciliation". Estimates are learned per kind.
    std::string kind;
    job_class jobClass = job_class::batch;
    resources demand;
    std::int64_t declaredRunMs = 0;
    bool urgent = false;
    //! Opaque to the scheduler; passed to the worker unchanged.
    json payload = json::object();
};

void to_json(json &out, const job_spec &spec);
void from_json(const json &in, job_spec &spec);

//! How an attempt ended.
enum class attempt_outcome {
    done,
    failed,
    //! Checkpointed and stopped at the scheduler's request.
    evicted,
    //! The worker restarted, or its task lease has certainly expired.
    lost,
    //! The worker refused to start the attempt.
    notStarted
};

NLOHMANN_JSON_SERIALIZE_ENUM(attempt_outcome,
                             {{attempt_outcome::done, "done"},
                              {attempt_outcome::failed, "failed"},
                              {attempt_outcome::evicted, "evicted"},
                              {attempt_outcome::lost, "lost"},
                              {attempt_outcome::notStarted, "not-started"}})

//! Identifies an attempt to run a job. The first attempt has the number 1.
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
