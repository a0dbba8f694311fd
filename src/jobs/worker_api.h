#pragma once

#include "jobs/worker_info.h"
#include "kernel/task.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace almond::jobs {

//! How an order to a worker ended.
enum class order_outcome {
    accepted,
    //! The worker did nothing; order_response::refusal says why.
    refused,
    //! No byte of the order left this process.
    notSent,
    //! No answer: the order may have been carried out, or may be carried out later.
    unknown
};

enum class order_refusal {
    none,
    //! A later owner has given orders.
    fenced,
    //! This run, or a later one, was stopped or has ended there.
    obsolete,
    //! The order's deadline had passed on the worker's clock.
    deadlinePassed,
    noRoom,
    //! Another life of a worker answers at this address.
    otherIncarnation,
    //! The worker is unhealthy or overloaded.
    unhealthy,
    malformed,
    //! The step's admission ticket is missing or no longer valid.
    ticket
};

struct order_response
{
    order_outcome outcome = order_outcome::unknown;
    order_refusal refusal = order_refusal::none;
    //! The worker's own clock, in milliseconds, when it answered.
    std::optional<std::int64_t> workerClockMs;
    std::string detail;
};

//! To whom an order goes, and on whose authority.
struct order_target
{
    std::string workerId;
    std::string address;
    //! Term of the owner who gives the order; a worker obeys only the highest that it has seen.
    std::uint64_t term = 0;
};

struct start_order
{
    task_name task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    //! Until when everything on the worker may run, on its own clock.
    std::int64_t leaseEndMs = 0;
};

struct poll_order
{
    //! Ends up to this number are durable; the worker may forget them.
    std::uint64_t acknowledge = 0;
    //! New end of the worker's lease on its own clock; empty leaves it.
    std::optional<std::int64_t> leaseEndMs;
    //! How long the answer may wait for an end.
    kernel::milliseconds wait{0};
};

//! A run that is at work on a worker.
struct running_report
{
    task_name task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percent = 0;
    //! Tail of the response times in milliseconds for a task that serves, thousandths of a core in use for
    //! any other.
    std::int64_t measurement = 0;
};

struct ended_report
{
    //! Counts the ends of one life of a worker, from 1.
    std::uint64_t number = 0;
    task_name task;
    std::uint32_t run = 0;
    run_end end = run_end::done;
    std::string checkpoint;
};

struct poll_response
{
    order_response result;
    //! Start of the worker's life, in milliseconds since the epoch.
    std::int64_t bornMs = 0;
    std::vector<running_report> running;
    std::vector<ended_report> ended;
    //! More ends stand at the worker than fit into one answer.
    bool moreEnded = false;
};

//! Orders to workers, whichever way they travel.
struct worker_api
{
    std::function<kernel::task<order_response>(order_target, start_order)> start;
    std::function<kernel::task<order_response>(order_target, task_name, std::uint32_t run)> stop;
    std::function<kernel::task<poll_response>(order_target, poll_order)> poll;
    std::function<kernel::task<order_response>(order_target, task_name, std::uint32_t run, int percent)>
        throttle;
};

} // namespace almond::jobs
