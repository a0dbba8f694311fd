#include "fleet/caller_service.h"

#include "jobs/job_codec.h"
#include "observe/log.h"

namespace almond::fleet {

using kernel::task;
using observe::log_level;
using store::store_reply;
using store::store_status;

namespace {

constexpr const char *statusCall = "job.status";
constexpr const char *pendingCall = "queue.pending";
constexpr const char *waitCall = "service.wait";

json encodeStep(const jobs::guaranteed_step &step)
{
    return {{"demand", step.demand}, {"tasks", step.tasks}};
}

jobs::guaranteed_step decodeStep(const json &in)
{
    return {in.value("demand", jobs::resources{}), in.value("tasks", std::uint32_t{0})};
}

} // namespace

std::string_view outcomeName(call_outcome outcome)
{
    static constexpr std::array<std::string_view, 7> names{
        "ok",         "absent",   "refused: the store turned it away", "unknown: the store did not answer",
        "overloaded", "outdated", "cancelled before it was accepted"};
    return names.at(static_cast<std::size_t>(outcome));
}

caller_service::caller_service(caller_service_dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_tombstoneLease(m_dependencies.store, m_dependencies.clock, m_dependencies.rules.tombstoneRetention,
                       m_dependencies.rules.tombstonePeriod)
{
}

void caller_service::provideCalls()
{
    m_dependencies.peers->provide(statusCall, [this](json arguments) -> task<json> {
        json response = handleStatus(arguments);
        co_return response;
    });
    m_dependencies.peers->provide(pendingCall, [this](json arguments) -> task<json> {
        json response = handlePending(arguments);
        co_return response;
    });
    m_dependencies.peers->provide(waitCall, [this](json arguments) -> task<json> {
        json response = handleWait(arguments);
        co_return response;
    });
}

json caller_service::handleStatus(const json &arguments) const
{
    const part_timer timed(m_dependencies.times, owner_part::callers);
    const std::shared_ptr<job_owner> owner = m_dependencies.local();
    if (!owner)
        return nullptr;
    const auto status = owner->statusOf(arguments.value("job", ""));
    return status ? json(jobs::statusName(*status)) : json("");
}

json caller_service::handlePending(const json &arguments)
{
    const part_timer timed(m_dependencies.times, owner_part::callers);
    const std::shared_ptr<job_owner> owner = m_dependencies.local();
    if (!owner)
        return nullptr;
    if (!owner->knowsRecentJobs())
        return {{"outdated", true}};
    const time_point now = m_dependencies.clock();
    if (m_pendingCountedBy.lock() != owner
        || now - m_pendingCountedAt >= m_dependencies.rules.pendingValidity) {
        m_pendingCounts = owner->pendingJobCounts();
        m_pendingCountedAt = now;
        m_pendingCountedBy = owner;
    }
    const auto found = m_pendingCounts.find(arguments.value("queue", ""));
    return found == m_pendingCounts.end() ? std::size_t{0} : found->second;
}

json caller_service::handleWait(const json &arguments) const
{
    const part_timer timed(m_dependencies.times, owner_part::callers);
    const std::shared_ptr<job_owner> owner = m_dependencies.local();
    if (!owner)
        return nullptr;
    const std::string service = arguments.value("service", "");
    const int priority = arguments.value("priority", 0);
    jobs::wait_estimate longest;
    for (const std::string &image : arguments.value("images", std::vector<std::string>{}))
        longest = jobs::longest(longest, owner->expectedWait(service, priority, image));
    // Hosts of earlier versions don't send the steps.
    for (const json &step : arguments.value("guaranteed", json::array()))
        longest = jobs::longest(longest, owner->expectedWait(service, priority, decodeStep(step)));
    return {{"waitMs", longest.wait.count()}, {"backlogMs", longest.backlog.count()}};
}

task<std::optional<json>> caller_service::askOwner(std::string method, json arguments,
                                                   milliseconds ownerTimeout)
{
    std::optional<json> response;
    if (m_dependencies.local()) {
        response = method == statusCall ? handleStatus(arguments)
            : method == pendingCall     ? handlePending(arguments)
                                        : handleWait(arguments);
        co_return response;
    }
    const std::string address = m_dependencies.owner().address;
    if (address.empty())
        co_return response;
    response = co_await m_dependencies.peers->call(address, method, std::move(arguments), ownerTimeout);
    if (response && response->is_null())
        response.reset();
    co_return response;
}

//! Creates the \a key of an accepted job. If it exists already, the outcome is that of storedOutcome(). If a
//! response is lost, creating it again shows whether the key exists.
task<call_outcome> caller_service::createKey(std::string key, std::string value, time_point deadline)
{
    bool mayBeWritten = false;
    while (true) {
        const store_reply written = co_await m_dependencies.store.create(key, value, "");
        if (written.status == store_status::ok)
            co_return call_outcome::ok;
        call_outcome outcome = call_outcome::refused;
        if (written.status == store_status::conflict)
            outcome = co_await storedOutcome(key);
        if (outcome == call_outcome::ok || outcome == call_outcome::cancelled)
            co_return outcome;
        mayBeWritten
            = mayBeWritten || written.status == store_status::unavailable || outcome == call_outcome::unknown;
        const bool isFree = outcome == call_outcome::absent;
        if (!mayBeWritten && !isFree)
            co_return call_outcome::refused;
        if (m_dependencies.clock() + m_dependencies.rules.retryDelay >= deadline)
            co_return mayBeWritten ? call_outcome::unknown : call_outcome::refused;
        co_await kernel::sleepFor(m_dependencies.rules.retryDelay);
    }
}

//! What the value of the existing \a key means for a caller that wanted to create it: ok for a job, cancelled
//! for a tombstone. Absent if the key has been removed since, unknown without a response.
task<call_outcome> caller_service::storedOutcome(std::string key)
{
    const store_reply stored = co_await m_dependencies.store.get(key);
    if (stored.status == store_status::absent)
        co_return call_outcome::absent;
    if (stored.status != store_status::ok)
        co_return call_outcome::unknown;
    co_return jobs::isTombstone(stored.value) ? call_outcome::cancelled : call_outcome::ok;
}

//! Returns how long the tasks that \a arguments describe wait, as the owner knows it; nothing without
//! its response.
task<std::optional<jobs::wait_estimate>> caller_service::expectedWait(json arguments)
{
    const time_point now = m_dependencies.clock();
    const milliseconds validity = m_dependencies.rules.waitValidity;
    std::erase_if(m_waits, [&](const auto &entry) { return now - entry.second.askedAt >= validity; });
    const std::string key = arguments.dump();
    const auto cached = m_waits.find(key);
    if (cached != m_waits.end())
        co_return cached->second.wait;
    m_waits[key].askedAt = now;
    const auto response = co_await askOwner(waitCall, std::move(arguments), m_dependencies.rules.waitTimeout);
    known_wait &known = m_waits[key];
    known.askedAt = m_dependencies.clock();
    if (response && response->is_object()) {
        const milliseconds wait(response->value("waitMs", std::int64_t{0}));
        const milliseconds backlog(response->value("backlogMs", std::int64_t{0}));
        known.wait = jobs::wait_estimate{wait, backlog};
    }
    co_return known.wait;
}

//! Returns after which time \a candidate may be handed in again if it is to be rejected.
task<std::optional<milliseconds>> caller_service::rejectionOf(const jobs::job &candidate)
{
    if (!candidate.queueAtAcceptance || !jobs::dependsOnWait(candidate))
        co_return std::nullopt;
    const jobs::queue_rules &queue = candidate.queueAtAcceptance->rules;
    json arguments;
    arguments["service"] = queue.service;
    arguments["priority"] = queue.priority;
    arguments["images"] = jobs::bestEffortImages(candidate);
    const std::vector<jobs::guaranteed_step> guaranteed = jobs::guaranteedSteps(candidate);
    if (!guaranteed.empty()) {
        // An owner of an earlier version knows no wait for these steps, so the job is accepted.
        json &steps = arguments["guaranteed"] = json::array();
        for (const jobs::guaranteed_step &step : guaranteed)
            steps.push_back(encodeStep(step));
    }
    const std::optional<jobs::wait_estimate> expected = co_await expectedWait(std::move(arguments));
    if (!expected)
        co_return std::nullopt;
    const auto rejection = jobs::rejectionOf(candidate, queue, m_dependencies.rules.admission, *expected);
    if (!rejection)
        co_return std::nullopt;
    // A job that an earlier request has handed in stays accepted.
    const store_reply stored = co_await m_dependencies.store.get(job_key::accepted + candidate.id.str());
    if (stored.status != store_status::absent)
        co_return std::nullopt;
    co_return rejection;
}

task<submit_result> caller_service::submit(jobs::job accepted, milliseconds timeout)
{
    const std::optional<milliseconds> rejection = co_await rejectionOf(accepted);
    if (rejection) {
        ++m_counters.jobsRejected;
        observe::log(log_level::info, "job rejected: it could not complete in time",
                     {{"job", accepted.id}, {"queue", accepted.queue}, {"retryAfterMs", rejection->count()}});
        const submit_result rejected{call_outcome::overloaded, *rejection};
        co_return rejected;
    }
    accepted.acceptedAtMs = kernel::toMillis(m_dependencies.unixClock());
    const std::string key = job_key::accepted + accepted.id.str();
    const time_point startedAt = m_dependencies.clock();
    const time_point deadline = startedAt + timeout - m_dependencies.rules.responseMargin;
    const call_outcome outcome = co_await createKey(key, jobs::encodeJob(accepted).dump(), deadline);
    observe::log(outcome == call_outcome::ok ? log_level::info : log_level::warning, "job submitted",
                 {{"job", accepted.id},
                  {"queue", accepted.queue},
                  {"outcome", outcomeName(outcome)},
                  {"tookMs", (m_dependencies.clock() - startedAt).count()}});
    const submit_result result{outcome, m_dependencies.rules.retryAfter};
    co_return result;
}

task<status_result> caller_service::status(std::string id, milliseconds timeout)
{
    status_result result;
    const time_point deadline = m_dependencies.clock() + timeout - m_dependencies.rules.responseMargin;
    json arguments;
    arguments["job"] = id;
    const milliseconds ownerTimeout = std::min(m_dependencies.rules.ownerTimeout, timeout / 2);
    const auto response = co_await askOwner(statusCall, arguments, ownerTimeout);
    const auto parsed = response && response->is_string() ? jobs::statusNamed(response->get<std::string>())
                                                          : std::optional<jobs::job_status>();
    if (parsed) {
        result.outcome = call_outcome::ok;
        result.status = *parsed;
        co_return result;
    }
    m_counters.statusUnanswered += response ? 0 : 1;
    // The owner did not respond or does not know the job yet; the store shows whether it was accepted.
    while (m_dependencies.clock() < deadline) {
        const store_reply stored = co_await m_dependencies.store.get(job_key::accepted + id);
        if (stored.status == store_status::ok || stored.status == store_status::absent) {
            const bool isJob = stored.status == store_status::ok && !jobs::isTombstone(stored.value);
            result.outcome = isJob ? call_outcome::ok : call_outcome::absent;
            break;
        }
        if (stored.status == store_status::refused) {
            result.outcome = call_outcome::refused;
            break;
        }
        co_await kernel::sleepFor(m_dependencies.rules.retryDelay);
    }
    if (result.outcome == call_outcome::ok && !response) {
        // Without the owner the status of the job is unknown.
        result.outcome = call_outcome::refused;
    }
    observe::log(
        log_level::info, "status requested without a usable response of the owner",
        {{"job", id}, {"ownerAnswered", response.has_value()}, {"outcome", outcomeName(result.outcome)}});
    co_return result;
}

task<call_outcome> caller_service::cancel(std::string id, milliseconds timeout)
{
    const time_point deadline = m_dependencies.clock() + timeout - m_dependencies.rules.responseMargin;
    const std::string key = job_key::accepted + id;
    call_outcome outcome = call_outcome::refused;
    while (true) {
        const store_reply stored = co_await m_dependencies.store.get(key);
        const bool exists = stored.status == store_status::ok;
        const bool isJob = exists && !jobs::isTombstone(stored.value);
        store_status written = store_status::refused;
        if (isJob)
            written = co_await writeCancellation(id, stored.revision);
        else if (exists || stored.status == store_status::absent)
            written = co_await writeTombstone(key, exists ? stored.revision : 0);
        if (written == store_status::ok) {
            outcome = isJob ? call_outcome::ok : call_outcome::absent;
            break;
        }
        if (written == store_status::unavailable)
            outcome = call_outcome::unknown;
        const bool mayBeWritten = outcome == call_outcome::unknown;
        if (written == store_status::refused && !mayBeWritten)
            break;
        if (m_dependencies.clock() + m_dependencies.rules.retryDelay >= deadline)
            break;
        co_await kernel::sleepFor(m_dependencies.rules.retryDelay);
    }
    observe::log(log_level::info, "cancel requested", {{"job", id}, {"outcome", outcomeName(outcome)}});
    co_return outcome;
}

//! Records that the job \a id, whose key has \a revision, shall be cancelled. Conflict if the job was
//! removed.
task<store_status> caller_service::writeCancellation(std::string id, std::int64_t revision)
{
    store::transaction change;
    change.preconditions.push_back({job_key::accepted + id, revision});
    change.puts.push_back({job_key::cancelled + id, "{}", ""});
    const store_reply written = co_await m_dependencies.store.commit(change);
    co_return written.status;
}

//! Writes a tombstone to \a key if that still has \a revision. Conflict if it has not, or if the lease for it
//! has ended early: the caller may try again.
task<store_status> caller_service::writeTombstone(std::string key, std::int64_t revision)
{
    const store_status leased = co_await m_tombstoneLease.ensure();
    // Nothing has been written yet.
    if (leased != store_status::ok)
        co_return store_status::refused;
    store::transaction change;
    change.preconditions.push_back({key, revision});
    change.puts.push_back({key, jobs::encodeTombstone(), m_tombstoneLease.id()});
    const store_reply written = co_await m_dependencies.store.commit(change);
    if (written.status != store_status::absent)
        co_return written.status;
    m_tombstoneLease.forget();
    co_return store_status::conflict;
}

task<pending_result> caller_service::pending(std::string queue, milliseconds timeout)
{
    pending_result result;
    json arguments;
    arguments["queue"] = queue;
    const auto response
        = co_await askOwner(pendingCall, arguments, std::min(m_dependencies.rules.ownerTimeout, timeout));
    const bool counted = response && response->is_number_unsigned();
    const bool outdated = response && response->is_object();
    result.outcome = counted ? call_outcome::ok : outdated ? call_outcome::outdated : call_outcome::refused;
    if (counted)
        result.count = response->get<std::size_t>();
    co_return result;
}

} // namespace almond::fleet
