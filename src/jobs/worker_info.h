#pragma once

#include "jobs/job.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace almond::jobs {

//! One life of a worker, as the host list tells of it.
struct worker_info
{
    std::string id;
    //! Milliseconds since the epoch at which this life began.
    std::int64_t bornMs = 0;
    std::string service;
    std::string address;
    std::string failureDomain;
    //! Empty when the list names none.
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    //! It shuts down gracefully and takes no new work.
    bool leaving = false;
    //! How much longer it stays slow after its start.
    milliseconds coldRemaining{0};

    bool operator==(const worker_info &) const = default;
};

//! Names one life of a worker: two lives never share it.
inline std::string incarnationOf(const worker_info &worker)
{
    return worker.id + '@' + std::to_string(worker.bornMs);
}

inline bool hasLabel(const worker_info &worker, std::string_view label)
{
    return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

} // namespace almond::jobs
