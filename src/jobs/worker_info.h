#pragma once

#include "jobs/job.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace almond::jobs {

//! One incarnation of a worker, as the host list describes it.
struct worker_info
{
    std::string id;
    //! When this incarnation started, in milliseconds since the epoch.
    std::int64_t bornMs = 0;
    std::string service;
    std::string address;
    std::string failureDomain;
    //! Empty when the host list names none.
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    //! It shuts down gracefully and accepts no new tasks.
    bool leaving = false;
    //! How much longer the worker is slow after its start.
    milliseconds coldRemaining{0};

    bool operator==(const worker_info &) const = default;
};

//! Unique name of one incarnation of a worker.
inline std::string incarnationOf(const worker_info &worker)
{
    return worker.id + '@' + std::to_string(worker.bornMs);
}

//! Inverse of incarnationOf(): the id of the worker.
inline std::string workerIdOf(std::string_view incarnation)
{
    return std::string(incarnation.substr(0, incarnation.rfind('@')));
}

inline bool hasLabel(const worker_info &worker, std::string_view label)
{
    return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

} // namespace almond::jobs
