#include "placement/job_service.h"

#include "placement/cell_directory.h"
#include "settings/object_reader.h"

#include <algorithm>

namespace almond::placement {

using kernel::task;
using settings::findings;

namespace {

constexpr kernel::milliseconds commitTimeout{4000};
constexpr kernel::milliseconds callTimeout{5000};
//! The owner of a cell may be changing.
constexpr kernel::milliseconds ownerRetryDelay{300};
constexpr int ownerAttempts = 12;
constexpr settings::integer_range resourceRange{0, 100'000'000};
constexpr settings::integer_range runTimeRange{0, 365LL * 24 * 3600 * 1000};
constexpr std::size_t maximumIdLength = 200;

json findingsToJson(const findings &found)
{
    json result = json::array();
    for (const settings::finding &item : found)
        result.push_back({{"place", item.place}, {"message", item.message}});
    return result;
}

json jobToJson(const std::string &cell, const job_entry &job)
{
    return {{"id", job.spec.id},
            {"cell", cell},
            {"phase", job.phase},
            {"team", job.spec.team},
            {"kind", job.spec.kind},
            {"class", job.spec.jobClass},
            {"attempt", job.attempt},
            {"worker", job.worker},
            {"checkpoint", job.checkpoint},
            {"evictions", job.evictions},
            {"failures", job.failures},
            {"reason", job.reason},
            {"cancelRequested", job.cancelRequested},
            {"phaseSinceMs", job.phaseSinceMs}};
}

std::vector<resources> capacitiesOf(const store::host_list &hosts)
{
    std::vector<resources> capacities;
    for (const auto &[id, host] : hosts.hosts()) {
        if (host.role == "worker" && !host.capacity.empty())
            capacities.push_back(host.capacity.get<resources>());
    }
    return capacities;
}

bool matchesFilter(const json &arguments, const job_entry &job)
{
    if (job.phase == job_phase::moved)
        return false;
    const std::string phase = arguments.value("phase", "");
    return phase.empty() || json(job.phase) == phase;
}

} // namespace

job_spec readJob(const json &value, const std::string &path, findings &found)
{
    settings::object_reader reader(value, path, found);
    job_spec spec;
    spec.id = reader.requiredString("id");
    spec.team = reader.requiredString("team");
    spec.kind = reader.string("kind", "default");
    const std::string className = reader.choice("class", "batch", {"batch", "service", "register"});
    spec.jobClass = json(className).get<job_class>();
    spec.demand.millicores = reader.requiredInteger("millicores", {1, resourceRange.maximum});
    spec.demand.memoryMb = reader.requiredInteger("memoryMb", resourceRange);
    spec.demand.accelerators = reader.integer("accelerators", 0, resourceRange);
    spec.declaredRunMs = reader.integer("declaredRunMs", 0, runTimeRange);
    spec.urgent = reader.boolean("urgent", false);
    spec.payload = reader.object("payload");
    reader.finish();
    if (spec.id.size() > maximumIdLength)
        found.push_back({path + "/id", "must be at most 200 characters long"});
    return spec;
}

job_service::job_service(scheduler_service &scheduler, owner_dependencies dependencies,
                         wire::peer_link &peers)
    : m_scheduler(scheduler)
    , m_dependencies(std::move(dependencies))
    , m_peers(peers)
{
    peers.provide("job.submit", [this](json arguments) { return submit(std::move(arguments)); });
    peers.provide("job.cancel", [this](json arguments) { return cancel(std::move(arguments)); });
    peers.provide("job.list", [this](json arguments) { return list(std::move(arguments)); });
    peers.provide("cell.cancel", [this](json arguments) { return cancelInCell(std::move(arguments)); });
    peers.provide("cell.list",
                  [this](json arguments) -> task<json> { co_return listInOwnedCells(arguments); });
    peers.provide("cell.adopt", [this](json arguments) -> task<json> {
        const auto owner = m_scheduler.find(arguments.at("cell"));
        const bool committed
            = owner && co_await owner->commitRecords(decodeRecords(arguments.at("records")), commitTimeout);
        co_return json{{"committed", committed}};
    });
}

job_service::checked_job job_service::check(const json &value, std::size_t index) const
{
    checked_job checked;
    const std::string path = "/jobs/" + std::to_string(index);
    checked.spec = readJob(value, path, checked.findings);
    if (!checked.findings.empty())
        return checked;
    const std::string reason = impossibleReason(checked.spec, capacitiesOf(*m_dependencies.hosts),
                                                m_dependencies.config()->parsed);
    if (!reason.empty())
        checked.findings.push_back({path, "can never run: " + reason});
    return checked;
}

task<json> job_service::submit(json arguments)
{
    if (!m_scheduler.knowsOwners(m_dependencies.clock()))
        co_return json();
    json results = json::array();
    std::map<std::string, std::vector<job_spec>> byCell;
    const std::vector<std::string> cells = cellNames(m_dependencies.config()->parsed);
    const json jobs = arguments.value("jobs", json::array());
    for (std::size_t index = 0; index < jobs.size(); ++index) {
        checked_job checked = check(jobs[index], index);
        if (!checked.findings.empty()) {
            results.push_back({{"id", checked.spec.id},
                               {"status", "refused"},
                               {"findings", findingsToJson(checked.findings)}});
        } else if (cells.empty()) {
            results.push_back({{"id", checked.spec.id}, {"status", "unknown"}});
        } else {
            byCell[rendezvous(checked.spec.id, cells)].push_back(std::move(checked.spec));
        }
    }
    for (auto &[cell, specs] : byCell) {
        for (const json &result : co_await admit(cell, std::move(specs)))
            results.push_back(result);
    }
    co_return json{{"results", results}};
}

task<json> job_service::admit(std::string cell, std::vector<job_spec> specs)
{
    std::vector<cell_record> records;
    const std::int64_t now = kernel::toMillis(m_dependencies.clock());
    for (const job_spec &spec : specs)
        records.emplace_back(admitted_record{spec, now, 0, 0, "", 0});
    json arguments;
    arguments["cell"] = cell;
    arguments["records"] = encodeRecords(records);
    bool committed = false;
    // Repeating the call is safe, since a job is admitted only once.
    for (int attempt = 0; attempt < ownerAttempts && !committed; ++attempt) {
        if (attempt > 0)
            co_await kernel::sleepFor(ownerRetryDelay);
        const json response = co_await callOwner(cell, "cell.adopt", arguments);
        committed = response.value("committed", false);
    }
    json results = json::array();
    for (const job_spec &spec : specs)
        results.push_back({{"id", spec.id}, {"cell", cell}, {"status", committed ? "accepted" : "unknown"}});
    co_return results;
}

task<json> job_service::callOwner(std::string cell, std::string method, json arguments)
{
    const auto owner = m_scheduler.view().owners.find(cell);
    if (owner == m_scheduler.view().owners.end())
        co_return json::object();
    const auto response
        = co_await m_peers.call(owner->second.peerAddress, method, std::move(arguments), callTimeout);
    co_return response.value_or(json::object());
}

task<json> job_service::cancel(json arguments)
{
    if (!m_scheduler.knowsOwners(m_dependencies.clock()))
        co_return json();
    const json ids = arguments.value("ids", json::array());
    std::map<std::string, std::string> statuses;
    std::size_t unreachable = 0;
    for (const std::string &cell : cellNames(m_dependencies.config()->parsed)) {
        json request;
        request["cell"] = cell;
        request["ids"] = ids;
        json response = co_await callOwner(cell, "cell.cancel", request);
        for (int attempt = 1; attempt < ownerAttempts && !response.contains("results"); ++attempt) {
            co_await kernel::sleepFor(ownerRetryDelay);
            response = co_await callOwner(cell, "cell.cancel", request);
        }
        unreachable += response.contains("results") ? 0 : 1;
        const json found = response.value("results", json::object());
        for (const auto &[id, status] : found.items())
            statuses[id] = status.get<std::string>();
    }
    json results = json::array();
    for (const json &id : ids) {
        const auto found = statuses.find(id.get<std::string>());
        const std::string statusIfNotFound = unreachable > 0 ? "unknown" : "absent";
        results.push_back(
            {{"id", id}, {"status", found == statuses.end() ? statusIfNotFound : found->second}});
    }
    co_return json{{"results", results}};
}

task<json> job_service::cancelInCell(json arguments)
{
    const auto owner = m_scheduler.find(arguments.at("cell"));
    if (!owner)
        co_return json::object();
    json results = json::object();
    std::vector<cell_record> records;
    std::vector<std::string> cancelled;
    for (const json &item : arguments.at("ids")) {
        const auto id = item.get<std::string>();
        const auto job = owner->state().jobs.find(id);
        if (job == owner->state().jobs.end() || job->second.phase == job_phase::moved)
            continue;
        if (job->second.phase == job_phase::moving)
            results[id] = "unknown"; // between two cells; the submitter repeats the request
        else if (isFinal(job->second.phase))
            results[id] = job->second.phase == job_phase::cancelled ? "cancelled" : "ended";
        else
            cancelled.push_back(id);
    }
    for (const std::string &id : cancelled)
        records.emplace_back(cancelled_record{id, kernel::toMillis(m_dependencies.clock())});
    const bool committed
        = records.empty() || co_await owner->commitRecords(std::move(records), commitTimeout);
    for (const std::string &id : cancelled)
        results[id] = committed ? "cancelled" : "unknown";
    co_return json{{"results", results}};
}

json job_service::listInOwnedCells(const json &arguments) const
{
    json jobs = json::array();
    const json ids = arguments.value("ids", json::array());
    for (const auto &[name, owner] : m_scheduler.cells()) {
        const cell_state &state = owner->state();
        for (const json &id : ids) {
            const auto job = state.jobs.find(id.get<std::string>());
            if (job != state.jobs.end() && matchesFilter(arguments, job->second))
                jobs.push_back(jobToJson(name, job->second));
        }
        if (!ids.empty())
            continue;
        for (const auto &[id, job] : state.jobs) {
            if (matchesFilter(arguments, job))
                jobs.push_back(jobToJson(name, job));
        }
    }
    return {{"jobs", jobs}, {"cells", m_scheduler.cells().size()}};
}

task<json> job_service::list(json arguments)
{
    if (m_scheduler.view().owners.empty())
        co_return json();
    json jobs = json::array();
    std::size_t cells = 0;
    std::set<std::string> addresses;
    for (const auto &[cell, owner] : m_scheduler.view().owners)
        addresses.insert(owner.peerAddress);
    for (const std::string &address : addresses) {
        const auto response = co_await m_peers.call(address, "cell.list", arguments, callTimeout);
        if (!response)
            continue;
        cells += response->at("cells").get<std::size_t>();
        for (const json &job : response->at("jobs"))
            jobs.push_back(job);
    }
    const bool complete = cells >= cellNames(m_dependencies.config()->parsed).size();
    co_return json{{"jobs", jobs}, {"complete", complete}};
}

} // namespace almond::placement
