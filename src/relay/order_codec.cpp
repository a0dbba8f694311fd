#include "relay/order_codec.h"

#include <algorithm>
#include <stdexcept>

namespace almond::relay {

using codec::packed_reader;
using codec::packed_writer;

namespace {

constexpr std::int64_t longestWaitMs = 60'000;
//! Bytes of most orders and responses, without their texts and lists.
constexpr std::size_t usualRowBytes = 128;
//! Bytes of a row of a list of runs without its checkpoint.
constexpr std::size_t usualRunBytes = 32;

//! Fewest bytes of an item of a list: each of its values has at least one.
constexpr std::size_t smallestRun = 8;
constexpr std::size_t smallestEnd = 8;
constexpr std::size_t smallestChange = 4;

//! Kind of a relayed order: the index of its alternative in relayed_order::order.
enum class order_kind : std::uint8_t { start, stop, poll, throttle };

void writeTask(packed_writer &out, const jobs::task_name &task)
{
    out.text(task.job);
    out.number(task.occurrence);
    out.number(task.step);
    out.number(task.index);
}

jobs::task_name readTask(packed_reader &in)
{
    const std::string_view text = in.text();
    const auto job = jobs::job_id::from(text);
    // A task's name is written with dots elsewhere.
    if (!job || text.find('.') != std::string_view::npos)
        throw std::invalid_argument("not the id of a job: " + std::to_string(text.size()) + " bytes");
    jobs::task_name task;
    task.job = *job;
    task.occurrence = in.numberOf<std::uint32_t>();
    task.step = in.numberOf<std::uint32_t>();
    task.index = in.numberOf<std::uint32_t>();
    return task;
}

void writeOptional(packed_writer &out, std::optional<std::int64_t> value)
{
    out.flag(value.has_value());
    if (value)
        out.signedNumber(*value);
}

std::optional<std::int64_t> readOptional(packed_reader &in)
{
    return in.flag() ? std::optional(in.signedNumber()) : std::nullopt;
}

void writeDetails(packed_writer &out, const relayed_order &relayed)
{
    if (const auto *start = std::get_if<jobs::start_order>(&relayed.order)) {
        writeTask(out, start->task);
        out.number(start->run);
        out.flag(relayed.payloadOmitted);
        if (!relayed.payloadOmitted)
            out.text(start->payload);
        out.text(start->checkpoint);
        out.signedNumber(start->leaseEndMs);
        const bool isLimited = start->notAfter != kernel::time_point::max();
        out.flag(isLimited);
        if (isLimited)
            out.signedNumber(kernel::toMillis(start->notAfter));
    } else if (const auto *stop = std::get_if<stop_order>(&relayed.order)) {
        writeTask(out, stop->task);
        out.number(stop->run);
    } else if (const auto *throttle = std::get_if<throttle_order>(&relayed.order)) {
        writeTask(out, throttle->task);
        out.number(throttle->run);
        out.signedNumber(throttle->percent);
    } else if (const auto *poll = std::get_if<jobs::poll_order>(&relayed.order)) {
        out.number(poll->acknowledge);
        writeOptional(out, poll->leaseEndMs);
        out.signedNumber(poll->wait.count());
        out.number(relayed.knownList);
    }
}

jobs::start_order readStart(packed_reader &in, bool &payloadOmitted)
{
    jobs::start_order start;
    start.task = readTask(in);
    start.run = in.numberOf<std::uint32_t>();
    payloadOmitted = in.flag();
    if (!payloadOmitted)
        start.payload = in.text();
    start.checkpoint = in.text();
    start.leaseEndMs = in.signedNumber();
    if (in.flag())
        start.notAfter = kernel::fromMillis(in.signedNumber(0, latestTimeMs));
    return start;
}

jobs::poll_order readPoll(packed_reader &in)
{
    jobs::poll_order poll;
    poll.acknowledge = in.number();
    poll.leaseEndMs = readOptional(in);
    poll.wait = kernel::milliseconds(in.signedNumber(0, longestWaitMs));
    return poll;
}

stop_order readStop(packed_reader &in)
{
    stop_order stop;
    stop.task = readTask(in);
    stop.run = in.numberOf<std::uint32_t>();
    return stop;
}

throttle_order readThrottle(packed_reader &in)
{
    throttle_order throttle;
    throttle.task = readTask(in);
    throttle.run = in.numberOf<std::uint32_t>();
    throttle.percent = static_cast<int>(in.signedNumber(0, 100));
    return throttle;
}

int readPercent(packed_reader &in)
{
    return static_cast<int>(
        in.signedNumber(std::numeric_limits<int>::min(), std::numeric_limits<int>::max()));
}

void writeRuns(packed_writer &out, std::span<const jobs::running_report> rows)
{
    out.number(rows.size());
    for (const jobs::running_report &row : rows) {
        writeTask(out, row.task);
        out.number(row.run);
        out.text(row.checkpoint);
        out.signedNumber(row.percent);
        out.signedNumber(row.measurement);
    }
}

std::vector<jobs::running_report> readRuns(packed_reader &in)
{
    std::vector<jobs::running_report> rows(in.count(smallestRun));
    for (jobs::running_report &row : rows) {
        row.task = readTask(in);
        row.run = in.numberOf<std::uint32_t>();
        row.checkpoint = in.text();
        row.percent = readPercent(in);
        row.measurement = in.signedNumber();
    }
    return rows;
}

void writeDelta(packed_writer &out, const list_delta &delta)
{
    out.number(delta.gone.size());
    for (const std::uint32_t index : delta.gone)
        out.number(index);
    out.number(delta.changed.size());
    for (const changed_row &row : delta.changed) {
        out.number(row.index);
        out.signedNumber(row.percent);
        out.signedNumber(row.measurement);
        out.flag(row.checkpoint.has_value());
        if (row.checkpoint)
            out.text(*row.checkpoint);
    }
    writeRuns(out, delta.added);
}

list_delta readDelta(packed_reader &in)
{
    list_delta delta;
    delta.gone.resize(in.count(1));
    for (std::uint32_t &index : delta.gone)
        index = in.numberOf<std::uint32_t>();
    delta.changed.resize(in.count(smallestChange));
    for (changed_row &row : delta.changed) {
        row.index = in.numberOf<std::uint32_t>();
        row.percent = readPercent(in);
        row.measurement = in.signedNumber();
        if (in.flag())
            row.checkpoint = in.text();
    }
    delta.added = readRuns(in);
    return delta;
}

void writeEnds(packed_writer &out, std::span<const jobs::ended_report> rows)
{
    out.number(rows.size());
    for (const jobs::ended_report &row : rows) {
        out.number(row.number);
        writeTask(out, row.task);
        out.number(row.run);
        out.choice(row.end);
        out.text(row.checkpoint);
    }
}

std::vector<jobs::ended_report> readEnds(packed_reader &in)
{
    std::vector<jobs::ended_report> rows(in.count(smallestEnd));
    for (jobs::ended_report &row : rows) {
        row.number = in.number();
        row.task = readTask(in);
        row.run = in.numberOf<std::uint32_t>();
        row.end = in.choice(jobs::run_end::notStarted);
        row.checkpoint = in.text();
    }
    return rows;
}

std::size_t expectedBytes(const relayed_order &relayed)
{
    const auto *start = std::get_if<jobs::start_order>(&relayed.order);
    if (!start)
        return usualRowBytes;
    return usualRowBytes + start->checkpoint.size() + (relayed.payloadOmitted ? 0 : start->payload.size());
}

} // namespace

packed_bytes encodeOrder(const relayed_order &relayed)
{
    packed_writer out(expectedBytes(relayed));
    out.number(relayed.number);
    out.number(relayed.order.index());
    out.text(relayed.target.workerId);
    out.text(relayed.target.address);
    out.number(relayed.target.term);
    out.signedNumber(relayed.target.bornMs);
    writeDetails(out, relayed);
    return out.take();
}

relayed_order decodeOrder(packed_view row)
{
    packed_reader in(row);
    relayed_order relayed;
    relayed.number = in.number();
    const auto kind = in.choice(order_kind::throttle);
    relayed.target.workerId = in.text();
    relayed.target.address = in.text();
    relayed.target.term = in.number();
    relayed.target.bornMs = in.signedNumber();
    switch (kind) {
    case order_kind::start:
        relayed.order = readStart(in, relayed.payloadOmitted);
        break;
    case order_kind::stop:
        relayed.order = readStop(in);
        break;
    case order_kind::poll:
        relayed.order = readPoll(in);
        relayed.knownList = in.number();
        break;
    case order_kind::throttle:
        relayed.order = readThrottle(in);
        break;
    }
    in.expectEnd();
    return relayed;
}

packed_bytes encodeResponse(const relayed_response &relayed)
{
    const jobs::poll_response &response = relayed.response;
    const std::size_t runs = response.running.size() + response.ended.size() + relayed.delta.added.size();
    packed_writer out(usualRowBytes + usualRunBytes * runs);
    out.number(relayed.number);
    out.choice(response.result.outcome);
    out.choice(response.result.refusal);
    writeOptional(out, response.result.workerClockMs);
    out.text(response.result.detail);
    out.signedNumber(response.bornMs);
    out.number(relayed.baseList);
    if (relayed.baseList > 0)
        writeDelta(out, relayed.delta);
    else
        writeRuns(out, response.running);
    writeEnds(out, response.ended);
    out.flag(response.moreEnded);
    return out.take();
}

relayed_response decodeResponse(packed_view row)
{
    packed_reader in(row);
    relayed_response relayed;
    jobs::poll_response &response = relayed.response;
    relayed.number = in.number();
    response.result.outcome = in.choice(jobs::order_outcome::expired);
    response.result.refusal = in.choice(jobs::order_refusal::restarted);
    response.result.workerClockMs = readOptional(in);
    response.result.detail = in.text();
    response.bornMs = in.signedNumber();
    relayed.baseList = in.number();
    if (relayed.baseList > 0)
        relayed.delta = readDelta(in);
    else
        response.running = readRuns(in);
    response.ended = readEnds(in);
    response.moreEnded = in.flag();
    in.expectEnd();
    return relayed;
}

} // namespace almond::relay
