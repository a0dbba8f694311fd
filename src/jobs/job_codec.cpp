#include "jobs/job_codec.h"

#include "jobs/fleet_config.h"

#include <array>
#include <charconv>

namespace almond::jobs {

using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 5> statusNames{"queued", "running", "completed", "failed",
                                                      "cancelled"};

//! No job begins so, which tells the two apart without decoding them.
constexpr std::string_view tombstoneStart = R"({"tombstone":)";

template<typename T>
void put(json &out, const char *key, const T &value)
{
    if (value != T{})
        out[key] = value;
}

json encodeStep(const step_spec &step)
{
    json out = json::object();
    put(out, "count", step.count);
    put(out, "millicores", step.demand.millicores);
    put(out, "memoryMb", step.demand.memoryMb);
    put(out, "accelerators", step.demand.accelerators);
    put(out, "declaredMs", step.declaredDuration.count());
    if (!step.after.empty())
        out["after"] = step.after;
    put(out, "checkpointing", step.checkpointing);
    put(out, "gang", step.gang);
    put(out, "sameRack", step.sameRack);
    put(out, "speculative", step.speculative);
    put(out, "lasting", step.longRunning);
    put(out, "fills", step.bestEffort);
    put(out, "requiredLabel", step.requiredLabel);
    put(out, "dataRack", step.dataRack);
    put(out, "perWorkerLimit", step.perWorkerLimit);
    put(out, "image", step.image);
    put(out, "tailTargetMs", step.tailLatencyTarget.count());
    put(out, "mayBeAway", step.maxUnavailable);
    return out;
}

step_spec decodeStep(const json &in)
{
    step_spec step;
    step.count = in.value("count", 0U);
    step.demand = {in.value("millicores", std::int64_t{0}), in.value("memoryMb", std::int64_t{0}),
                   in.value("accelerators", std::int64_t{0})};
    step.declaredDuration = milliseconds(in.value("declaredMs", std::int64_t{0}));
    step.after = in.value("after", std::vector<std::uint32_t>{});
    step.checkpointing = in.value("checkpointing", false);
    step.gang = in.value("gang", false);
    step.sameRack = in.value("sameRack", false);
    step.speculative = in.value("speculative", false);
    step.longRunning = in.value("lasting", false);
    step.bestEffort = in.value("fills", false);
    step.requiredLabel = in.value("requiredLabel", "");
    step.dataRack = in.value("dataRack", "");
    step.perWorkerLimit = in.value("perWorkerLimit", 0U);
    step.image = in.value("image", "");
    step.tailLatencyTarget = milliseconds(in.value("tailTargetMs", std::int64_t{0}));
    step.maxUnavailable = in.value("mayBeAway", 0U);
    return step;
}

//! Encodes only what the planner needs of a queue. The host and prefix are omitted, since these rules are not
//! used to route requests.
json encodeQueue(const queue_version &value)
{
    return {{"version", value.version},         {"service", value.rules.service},
            {"priority", value.rules.priority}, {"attempts", value.rules.attempts},
            {"stretch", value.rules.stretch},   {"targetMs", value.rules.targetDuration.count()}};
}

queue_version decodeQueue(const std::string &name, const json &in)
{
    queue_version value;
    value.version = in.at("version");
    value.rules.name = name;
    value.rules.service = in.at("service");
    value.rules.priority = in.at("priority");
    value.rules.attempts = in.at("attempts");
    value.rules.stretch = in.at("stretch");
    value.rules.targetDuration = milliseconds(in.at("targetMs").get<std::int64_t>());
    return value;
}

//! Removes a number and the dot after it from the beginning of \a text.
bool takeNumber(std::string_view &text, std::uint32_t &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end == text.data())
        return false;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    if (!text.empty() && text.front() == '.')
        text.remove_prefix(1);
    return true;
}

} // namespace

json encodeJob(const job &value)
{
    json out{{"id", value.id}, {"queue", value.queue}, {"acceptedAtMs", value.acceptedAtMs}};
    put(out, "payload", value.payload);
    put(out, "repetitions", value.repetitions);
    put(out, "firstDueMs", value.firstDueMs);
    put(out, "intervalMs", value.interval.count());
    if (value.queueAtAcceptance)
        out["acceptedUnder"] = encodeQueue(*value.queueAtAcceptance);
    json &steps = out["steps"] = json::array();
    for (const step_spec &step : value.steps)
        steps.push_back(encodeStep(step));
    return out;
}

job decodeJob(const json &document)
{
    job value;
    value.id = document.at("id");
    value.queue = document.at("queue");
    value.payload = document.value("payload", "");
    value.repetitions = document.value("repetitions", 0U);
    value.firstDueMs = document.value("firstDueMs", std::int64_t{0});
    value.interval = milliseconds(document.value("intervalMs", std::int64_t{0}));
    value.acceptedAtMs = document.value("acceptedAtMs", std::int64_t{0});
    if (document.contains("acceptedUnder"))
        value.queueAtAcceptance
            = std::make_shared<const queue_version>(decodeQueue(value.queue, document.at("acceptedUnder")));
    for (const json &step : document.at("steps"))
        value.steps.push_back(decodeStep(step));
    return value;
}

std::string encodeTombstone()
{
    return std::string(tombstoneStart) + "true}";
}

bool isTombstone(std::string_view text)
{
    return text.starts_with(tombstoneStart);
}

std::string formatTask(const task_name &name)
{
    return name.job.str() + '.' + std::to_string(name.occurrence) + '.' + std::to_string(name.step) + '.'
        + std::to_string(name.index);
}

std::optional<task_name> parseTask(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const auto job = job_id::from(text.substr(0, dot));
    if (!job)
        return std::nullopt;
    task_name name;
    name.job = *job;
    text.remove_prefix(dot + 1);
    const bool whole = takeNumber(text, name.occurrence) && takeNumber(text, name.step)
        && takeNumber(text, name.index) && text.empty();
    return whole ? std::optional(name) : std::nullopt;
}

std::string_view statusName(job_status status)
{
    return statusNames.at(static_cast<std::size_t>(status));
}

std::optional<job_status> statusNamed(std::string_view name)
{
    for (std::size_t index = 0; index < statusNames.size(); ++index) {
        if (statusNames.at(index) == name)
            return static_cast<job_status>(index);
    }
    return std::nullopt;
}

} // namespace almond::jobs
