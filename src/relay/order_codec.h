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

struct pace_order
{
    jobs::task_name task;
    std::uint32_t run = 0;
    int percent = 100;
};

//! One order to a worker, as it travels between our hosts.
struct carried_order
{
    //! Names the order between the two hosts.
    std::uint64_t number = 0;
    jobs::order_target target;
    std::variant<jobs::start_order, stop_order, jobs::poll_order, pace_order> order;
};

//! The answer to a carried order; only a look has rows.
struct carried_answer
{
    std::uint64_t number = 0;
    jobs::poll_response answer;
};

nlohmann::json encodeOrder(const carried_order &order);
//! Inverse of encodeOrder(). Throws nlohmann::json::exception or std::invalid_argument for another shape.
carried_order decodeOrder(const nlohmann::json &in);
nlohmann::json encodeAnswer(const carried_answer &answer);
//! Inverse of encodeAnswer(). Throws as decodeOrder() does.
carried_answer decodeAnswer(const nlohmann::json &in);

} // namespace almond::relay
