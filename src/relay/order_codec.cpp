#include "relay/order_codec.h"

#include "jobs/job_codec.h"

#include <stdexcept>

namespace almond::relay {

using nlohmann::json;

namespace {

//! Kind of a relayed order: the index of its alternative in relayed_order::order.
enum class order_kind : std::uint8_t { start, stop, poll, throttle };

jobs::task_name decodeTaskName(const json &in)
{
    const auto name = jobs::parseTask(in.get_ref<const std::string &>());
    if (!name)
        throw std::invalid_argument("not a task: " + in.dump());
    return *name;
}

json encodeDetails(const relayed_order &relayed)
{
    if (const auto *start = std::get_if<jobs::start_order>(&relayed.order))
        return json::array({jobs::formatTask(start->task), start->run, start->payload, start->checkpoint,
                            start->leaseEndMs});
    if (const auto *stop = std::get_if<stop_order>(&relayed.order))
        return json::array({jobs::formatTask(stop->task), stop->run});
    if (const auto *throttle = std::get_if<throttle_order>(&relayed.order))
        return json::array({jobs::formatTask(throttle->task), throttle->run, throttle->percent});
    const auto &poll = std::get<jobs::poll_order>(relayed.order);
    json lease = nullptr;
    if (poll.leaseEndMs)
        lease = *poll.leaseEndMs;
    return json::array({poll.acknowledge, std::move(lease), poll.wait.count()});
}

jobs::poll_order decodePollOrder(const json &in)
{
    jobs::poll_order poll;
    poll.acknowledge = in.at(0);
    if (!in.at(1).is_null())
        poll.leaseEndMs = in.at(1).get<std::int64_t>();
    poll.wait = kernel::milliseconds(in.at(2).get<std::int64_t>());
    return poll;
}

} // namespace

json encodeOrder(const relayed_order &order)
{
    return json::array({order.number, order.order.index(), order.target.workerId, order.target.address,
                        order.target.term, encodeDetails(order)});
}

relayed_order decodeOrder(const json &in)
{
    relayed_order order;
    order.number = in.at(0);
    order.target = {in.at(2), in.at(3), in.at(4)};
    const json &details = in.at(5);
    switch (static_cast<order_kind>(in.at(1).get<int>())) {
    case order_kind::start:
        order.order = jobs::start_order{decodeTaskName(details.at(0)), details.at(1), details.at(2),
                                        details.at(3), details.at(4)};
        return order;
    case order_kind::stop:
        order.order = stop_order{decodeTaskName(details.at(0)), details.at(1)};
        return order;
    case order_kind::poll:
        order.order = decodePollOrder(details);
        return order;
    case order_kind::throttle:
        order.order = throttle_order{decodeTaskName(details.at(0)), details.at(1), details.at(2)};
        return order;
    }
    throw std::invalid_argument("unknown kind of order " + in.at(1).dump());
}

json encodeResponse(const relayed_response &relayed)
{
    const jobs::poll_response &response = relayed.response;
    json running = json::array();
    for (const jobs::running_report &row : response.running)
        running.push_back(
            json::array({jobs::formatTask(row.task), row.run, row.checkpoint, row.percent, row.measurement}));
    json ended = json::array();
    for (const jobs::ended_report &row : response.ended)
        ended.push_back(json::array(
            {row.number, jobs::formatTask(row.task), row.run, static_cast<int>(row.end), row.checkpoint}));
    json clock = nullptr;
    if (response.result.workerClockMs)
        clock = *response.result.workerClockMs;
    return json::array({relayed.number, static_cast<int>(response.result.outcome),
                        static_cast<int>(response.result.refusal), std::move(clock), response.result.detail,
                        response.bornMs, std::move(running), std::move(ended), response.moreEnded});
}

relayed_response decodeResponse(const json &in)
{
    relayed_response relayed;
    relayed.number = in.at(0);
    jobs::poll_response &response = relayed.response;
    response.result.outcome = static_cast<jobs::order_outcome>(in.at(1).get<int>());
    response.result.refusal = static_cast<jobs::order_refusal>(in.at(2).get<int>());
    if (!in.at(3).is_null())
        response.result.workerClockMs = in.at(3).get<std::int64_t>();
    response.result.detail = in.at(4);
    response.bornMs = in.at(5);
    for (const json &row : in.at(6))
        response.running.push_back({decodeTaskName(row.at(0)), row.at(1), row.at(2), row.at(3), row.at(4)});
    for (const json &row : in.at(7))
        response.ended.push_back({row.at(0), decodeTaskName(row.at(1)), row.at(2),
                                  static_cast<jobs::run_end>(row.at(3).get<int>()), row.at(4)});
    response.moreEnded = in.at(8);
    return relayed;
}

} // namespace almond::relay
