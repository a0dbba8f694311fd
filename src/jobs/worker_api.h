#pragma once

#include "jobs/worker_info.h"
#include "kernel/task.h"
#include "kernel/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace almond::jobs {

//! Result of an order to a worker.
enum class order_outcome {
    accepted,
    //! The worker did nothing; order_response::refusal gives the reason.
    refused,
    //! No byte of the order has left this process.
    notSent,
    //! No response: the order may have been carried out, or may still be.
    unknown,
    //! The permission for the order ended on the way to the worker, which has not received it.
    expired
};

enum class order_refusal {
    none,
    //! The worker has received an order of a later term.
    fenced,
    //! This run or a later one has been stopped or has ended on the worker.
    obsolete,
    //! The deadline of the order had passed on the worker's clock.
    deadlinePassed,
    noRoom,
    //! Another incarnation of a worker responds at this address.
    otherIncarnation,
    //! The worker is unhealthy or overloaded.
    unhealthy,
    malformed,
    //! The step's admission ticket is missing or no longer valid.
    ticket,
    //! The worker closed the new connection without a response, as one that has too many does. Whether it has
    //! read the order is unknown.
    connection,
    //! The worker has restarted; the order was not sent to its present incarnation.
    restarted
};

struct order_response
{
    order_outcome outcome = order_outcome::unknown;
    order_refusal refusal = order_refusal::none;
    //! The worker's clock at the time of the response, in milliseconds.
    std::optional<std::int64_t> workerClockMs;
    std::string detail;
};

//! The receiver of an order and the term of the sender.
struct order_target
{
    std::string workerId;
    std::string address;
    //! Term of the owner that sends the order. A worker accepts only the highest term that it has seen.
    std::uint64_t term = 0;
    //! Birth of the incarnation that the order is meant for, in milliseconds since the epoch; 0 for any.
    //! Start orders, and polls that renew a lease or acknowledge ends, reach no other incarnation.
    std::int64_t bornMs = 0;
};

struct start_order
{
    task_name task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    //! End of the lease for all tasks of the worker, on the worker's clock.
    std::int64_t leaseEndMs = 0;
    //! When the permission for the start ends, on the clock of the process that decided on it.
    kernel::time_point notAfter = kernel::time_point::max();
};

struct poll_order
{
    //! Ended runs up to this number are durable; the worker may forget them.
    std::uint64_t acknowledge = 0;
    //! New end of the worker's lease on the worker's clock; nothing leaves it unchanged.
    std::optional<std::int64_t> leaseEndMs;
    //! Long polling: how long the worker may delay its response until a run ends.
    kernel::milliseconds wait{0};
};

//! A run in progress on a worker.
struct running_report
{
    task_name task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percent = 0;
    //! Tail latency in milliseconds for a serving task, CPU usage in millicores for any other.
    std::int64_t measurement = 0;
};

struct ended_report
{
    //! Sequence number of the ended run within one incarnation of the worker, from 1.
    std::uint64_t number = 0;
    task_name task;
    std::uint32_t run = 0;
    run_end end = run_end::done;
    std::string checkpoint;
};

struct poll_response
{
    order_response result;
    //! When the incarnation of the worker started, in milliseconds since the epoch.
    std::int64_t bornMs = 0;
    std::vector<running_report> running;
    std::vector<ended_report> ended;
    //! The worker has more ended runs than fit into one response.
    bool moreEnded = false;
};

//! The calls to workers, independent of the transport. A poll that is meant for an earlier incarnation
//! returns the list of the present one, renews no lease and acknowledges nothing.
struct worker_api
{
    std::function<kernel::task<order_response>(order_target, start_order)> start;
    std::function<kernel::task<order_response>(order_target, task_name, std::uint32_t run)> stop;
    std::function<kernel::task<poll_response>(order_target, poll_order)> poll;
    std::function<kernel::task<order_response>(order_target, task_name, std::uint32_t run, int percent)>
        throttle;
};

} // namespace almond::jobs
