#include "relay/order_codec.h"

#include "codec/bounded_json.h"
#include "jobs/job_codec.h"

#include <stdexcept>

namespace almond::relay {

using nlohmann::json;

namespace {

constexpr std::int64_t longestWaitMs = 60'000;

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
    if (const auto *start = std::get_if<jobs::start_order>(&relayed.order)) {
        json payload = nullptr;
        if (!relayed.payloadOmitted)
            payload = start->payload;
        json notAfter = nullptr;
        if (start->notAfter != kernel::time_point::max())
            notAfter = kernel::toMillis(start->notAfter);
        return json::array({jobs::formatTask(start->task), start->run, std::move(payload), start->checkpoint,
                            start->leaseEndMs, std::move(notAfter)});
    }
    if (const auto *stop = std::get_if<stop_order>(&relayed.order))
        return json::array({jobs::formatTask(stop->task), stop->run});
    if (const auto *throttle = std::get_if<throttle_order>(&relayed.order))
        return json::array({jobs::formatTask(throttle->task), throttle->run, throttle->percent});
    const auto &poll = std::get<jobs::poll_order>(relayed.order);
    json lease = nullptr;
    if (poll.leaseEndMs)
        lease = *poll.leaseEndMs;
    return json::array({poll.acknowledge, std::move(lease), poll.wait.count(), relayed.knownList});
}

jobs::poll_order decodePollOrder(const json &in)
{
    jobs::poll_order poll;
    poll.acknowledge = codec::integerOf<std::uint64_t>(in.at(0));
    if (!in.at(1).is_null())
        poll.leaseEndMs = codec::integerOf<std::int64_t>(in.at(1));
    poll.wait = kernel::milliseconds(codec::integerOf<std::int64_t>(in.at(2), 0, longestWaitMs));
    return poll;
}

jobs::start_order decodeStartOrder(const json &in)
{
    jobs::start_order start;
    start.task = decodeTaskName(in.at(0));
    start.run = codec::integerOf<std::uint32_t>(in.at(1));
    if (!in.at(2).is_null())
        start.payload = in.at(2);
    start.checkpoint = in.at(3);
    start.leaseEndMs = codec::integerOf<std::int64_t>(in.at(4));
    if (in.size() > 5 && !in.at(5).is_null())
        start.notAfter = kernel::fromMillis(codec::integerOf<std::int64_t>(in.at(5), 0, latestTimeMs));
    return start;
}

json encodeRow(const jobs::running_report &row)
{
    return json::array({jobs::formatTask(row.task), row.run, row.checkpoint, row.percent, row.measurement});
}

jobs::running_report decodeRow(const json &in)
{
    return {decodeTaskName(in.at(0)), codec::integerOf<std::uint32_t>(in.at(1)), in.at(2),
            codec::integerOf<int>(in.at(3)), codec::integerOf<std::int64_t>(in.at(4))};
}

json encodeRows(std::span<const jobs::running_report> rows)
{
    json out = json::array();
    for (const jobs::running_report &row : rows)
        out.push_back(encodeRow(row));
    return out;
}

json encodeDelta(const list_delta &delta)
{
    json changed = json::array();
    for (const changed_row &row : delta.changed) {
        json out = json::array({row.index, row.percent, row.measurement});
        if (row.checkpoint)
            out.push_back(*row.checkpoint);
        changed.push_back(std::move(out));
    }
    return json::array({delta.gone, std::move(changed), encodeRows(delta.added)});
}

list_delta decodeDelta(const json &in)
{
    list_delta delta;
    for (const json &index : in.at(0))
        delta.gone.push_back(codec::integerOf<std::uint32_t>(index));
    for (const json &row : in.at(1)) {
        changed_row change{codec::integerOf<std::uint32_t>(row.at(0)), codec::integerOf<int>(row.at(1)),
                           codec::integerOf<std::int64_t>(row.at(2)), std::nullopt};
        if (row.size() > 3)
            change.checkpoint = row.at(3).get<std::string>();
        delta.changed.push_back(std::move(change));
    }
    for (const json &row : in.at(2))
        delta.added.push_back(decodeRow(row));
    return delta;
}

//! Throws std::out_of_range unless \a in is the number of a value of \a Enum up to \a last.
template<typename Enum>
Enum decodeEnum(const json &in, Enum last)
{
    return static_cast<Enum>(codec::integerOf<int>(in, 0, static_cast<int>(last)));
}

} // namespace

json encodeOrder(const relayed_order &order)
{
    return json::array({order.number, order.order.index(), order.target.workerId, order.target.address,
                        order.target.term, encodeDetails(order), order.target.bornMs});
}

relayed_order decodeOrder(const json &in)
{
    relayed_order order;
    order.number = codec::integerOf<std::uint64_t>(in.at(0));
    order.target = {in.at(2), in.at(3), codec::integerOf<std::uint64_t>(in.at(4)), 0};
    order.target.bornMs = codec::integerOf<std::int64_t>(in.at(6));
    const json &details = in.at(5);
    switch (decodeEnum(in.at(1), order_kind::throttle)) {
    case order_kind::start:
        order.order = decodeStartOrder(details);
        order.payloadOmitted = details.at(2).is_null();
        return order;
    case order_kind::stop:
        order.order
            = stop_order{decodeTaskName(details.at(0)), codec::integerOf<std::uint32_t>(details.at(1))};
        return order;
    case order_kind::poll:
        order.order = decodePollOrder(details);
        order.knownList = codec::integerOf<std::uint64_t>(details.at(3));
        return order;
    case order_kind::throttle:
        order.order
            = throttle_order{decodeTaskName(details.at(0)), codec::integerOf<std::uint32_t>(details.at(1)),
                             codec::integerOf<int>(details.at(2), 0, 100)};
        return order;
    }
    throw std::invalid_argument("unknown kind of order " + in.at(1).dump());
}

json encodeResponse(const relayed_response &relayed)
{
    const jobs::poll_response &response = relayed.response;
    json running = relayed.baseList == 0 ? encodeRows(response.running) : encodeDelta(relayed.delta);
    json ended = json::array();
    for (const jobs::ended_report &row : response.ended)
        ended.push_back(json::array(
            {row.number, jobs::formatTask(row.task), row.run, static_cast<int>(row.end), row.checkpoint}));
    json clock = nullptr;
    if (response.result.workerClockMs)
        clock = *response.result.workerClockMs;
    return json::array({relayed.number, static_cast<int>(response.result.outcome),
                        static_cast<int>(response.result.refusal), std::move(clock), response.result.detail,
                        response.bornMs, std::move(running), std::move(ended), response.moreEnded,
                        relayed.baseList});
}

relayed_response decodeResponse(const json &in)
{
    relayed_response relayed;
    relayed.number = codec::integerOf<std::uint64_t>(in.at(0));
    jobs::poll_response &response = relayed.response;
    response.result.outcome = decodeEnum(in.at(1), jobs::order_outcome::expired);
    response.result.refusal = decodeEnum(in.at(2), jobs::order_refusal::restarted);
    if (!in.at(3).is_null())
        response.result.workerClockMs = codec::integerOf<std::int64_t>(in.at(3));
    response.result.detail = in.at(4);
    response.bornMs = codec::integerOf<std::int64_t>(in.at(5));
    relayed.baseList = codec::integerOf<std::uint64_t>(in.at(9));
    if (relayed.baseList > 0) {
        relayed.delta = decodeDelta(in.at(6));
    } else {
        for (const json &row : in.at(6))
            response.running.push_back(decodeRow(row));
    }
    for (const json &row : in.at(7))
        response.ended.push_back({codec::integerOf<std::uint64_t>(row.at(0)), decodeTaskName(row.at(1)),
                                  codec::integerOf<std::uint32_t>(row.at(2)),
                                  decodeEnum(row.at(3), jobs::run_end::notStarted), row.at(4)});
    response.moreEnded = in.at(8);
    return relayed;
}

} // namespace almond::relay
