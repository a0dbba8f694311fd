#pragma once

#include "codec/packed.h"
#include "jobs/worker_api.h"
#include "relay/list_delta.h"

#include <variant>

namespace almond::relay {

using codec::packed_bytes;
using codec::packed_view;

//! Upper limit of the times that a batch of orders contains, in milliseconds.
inline constexpr std::int64_t latestTimeMs = std::int64_t(1) << 52;

struct stop_order
{
    jobs::task_name task;
    std::uint32_t run = 0;
};

struct throttle_order
{
    jobs::task_name task;
    std::uint32_t run = 0;
    int percent = 100;
};

//! An order to a worker, as the owner sends it to a relay.
struct relayed_order
{
    //! Identifies the order, to match its response.
    std::uint64_t number = 0;
    jobs::order_target target;
    std::variant<jobs::start_order, stop_order, jobs::poll_order, throttle_order> order;
    //! For a poll: number of the last poll to this worker through this relay whose list of runs the owner
    //! has; 0 for none. The response may then contain only what has changed since.
    std::uint64_t knownList = 0;
    //! For a start: the payload is left out since this relay has had it with another task of the job.
    bool payloadOmitted = false;
};

//! Detail of the response to a start order whose payload was left out and is unknown to the relay. Nothing
//! was sent to the worker.
inline constexpr const char *payloadUnknown = "payload unknown";

//! The response to a relayed order. Only that to a poll has running and ended runs.
struct relayed_response
{
    std::uint64_t number = 0;
    jobs::poll_response response;
    //! Instead of response.running: what has changed since the list of the poll \c baseList.
    std::uint64_t baseList = 0;
    list_delta delta;
};

packed_bytes encodeOrder(const relayed_order &order);
//! Inverse of encodeOrder(). Throws std::out_of_range or std::invalid_argument if \a row is malformed.
relayed_order decodeOrder(packed_view row);
packed_bytes encodeResponse(const relayed_response &response);
//! Inverse of encodeResponse(). Throws as decodeOrder() does.
relayed_response decodeResponse(packed_view row);

} // namespace almond::relay
