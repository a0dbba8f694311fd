#pragma once

#include "jobs/worker_api.h"

#include <nlohmann/json.hpp>

#include <variant>

namespace almond::relay {

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
};

//! The response to a relayed order. Only that to a poll has running and ended runs.
struct relayed_response
{
    std::uint64_t number = 0;
    jobs::poll_response response;
};

nlohmann::json encodeOrder(const relayed_order &order);
//! Inverse of encodeOrder(). Throws nlohmann::json::exception or std::invalid_argument if \a in is malformed.
relayed_order decodeOrder(const nlohmann::json &in);
nlohmann::json encodeResponse(const relayed_response &response);
//! Inverse of encodeResponse(). Throws as decodeOrder() does.
relayed_response decodeResponse(const nlohmann::json &in);

} // namespace almond::relay
