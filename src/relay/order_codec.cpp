#include "relay/order_codec.h"

#include "jobs/job_codec.h"

#include <stdexcept>

namespace almond::relay {

using nlohmann::json;

namespace {

//! Kind of a carried order: the index of its variant.
enum class order_kind : std::uint8_t { start, stop, look, pace };

jobs::task_name taskOf(const json &in)
{
    const auto name = jobs::parseTask(in.get_ref<const std::string &>());
    if (!name)
        throw std::invalid_argument("not a task: " + in.dump());
    return *name;
}

json detailsOf(const carried_order &carried)
{
    if (const auto *start = std::get_if<jobs::start_order>(&carried.order))
        return json::array({jobs::formatTask(start->task), start->run, start->payload, start->checkpoint,
                            start->leaseEndMs});
    if (const auto *stop = std::get_if<stop_order>(&carried.order))
        return json::array({jobs::formatTask(stop->task), stop->run});
    if (const auto *pace = std::get_if<pace_order>(&carried.order))
        return json::array({jobs::formatTask(pace->task), pace->run, pace->percent});
    const auto &look = std::get<jobs::poll_order>(carried.order);
    json lease = nullptr;
    if (look.leaseEndMs)
        lease = *look.leaseEndMs;
    return json::array({look.acknowledge, std::move(lease), look.wait.count()});
}

jobs::poll_order lookOf(const json &in)
{
    jobs::poll_order look;
    look.acknowledge = in.at(0);
    if (!in.at(1).is_null())
        look.leaseEndMs = in.at(1).get<std::int64_t>();
    look.wait = kernel::milliseconds(in.at(2).get<std::int64_t>());
    return look;
}

} // namespace

json encodeOrder(const carried_order &order)
{
    return json::array({order.number, order.order.index(), order.target.workerId, order.target.address,
                        order.target.term, detailsOf(order)});
}

carried_order decodeOrder(const json &in)
{
    carried_order order;
    order.number = in.at(0);
    order.target = {in.at(2), in.at(3), in.at(4)};
    const json &details = in.at(5);
    switch (static_cast<order_kind>(in.at(1).get<int>())) {
    case order_kind::start:
        order.order = jobs::start_order{taskOf(details.at(0)), details.at(1), details.at(2), details.at(3),
                                        details.at(4)};
        return order;
    case order_kind::stop:
        order.order = stop_order{taskOf(details.at(0)), details.at(1)};
        return order;
    case order_kind::look:
        order.order = lookOf(details);
        return order;
    case order_kind::pace:
        order.order = pace_order{taskOf(details.at(0)), details.at(1), details.at(2)};
        return order;
    }
    throw std::invalid_argument("unknown kind of order " + in.at(1).dump());
}

json encodeAnswer(const carried_answer &carried)
{
    const jobs::poll_response &answer = carried.answer;
    json running = json::array();
    for (const jobs::running_report &row : answer.running)
        running.push_back(
            json::array({jobs::formatTask(row.task), row.run, row.checkpoint, row.percent, row.measurement}));
    json ended = json::array();
    for (const jobs::ended_report &row : answer.ended)
        ended.push_back(json::array(
            {row.number, jobs::formatTask(row.task), row.run, static_cast<int>(row.end), row.checkpoint}));
    json clock = nullptr;
    if (answer.result.workerClockMs)
        clock = *answer.result.workerClockMs;
    return json::array({carried.number, static_cast<int>(answer.result.outcome),
                        static_cast<int>(answer.result.refusal), std::move(clock), answer.result.detail,
                        answer.bornMs, std::move(running), std::move(ended), answer.moreEnded});
}

carried_answer decodeAnswer(const json &in)
{
    carried_answer carried;
    carried.number = in.at(0);
    jobs::poll_response &answer = carried.answer;
    answer.result.outcome = static_cast<jobs::order_outcome>(in.at(1).get<int>());
    answer.result.refusal = static_cast<jobs::order_refusal>(in.at(2).get<int>());
    if (!in.at(3).is_null())
        answer.result.workerClockMs = in.at(3).get<std::int64_t>();
    answer.result.detail = in.at(4);
    answer.bornMs = in.at(5);
    for (const json &row : in.at(6))
        answer.running.push_back({taskOf(row.at(0)), row.at(1), row.at(2), row.at(3), row.at(4)});
    for (const json &row : in.at(7))
        answer.ended.push_back({row.at(0), taskOf(row.at(1)), row.at(2),
                                static_cast<jobs::run_end>(row.at(3).get<int>()), row.at(4)});
    answer.moreEnded = in.at(8);
    return carried;
}

} // namespace almond::relay
