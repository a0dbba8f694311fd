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

} // namespace

caller_service::caller_service(caller_service_dependencies context)
    : m_context(std::move(context))
{
}

void caller_service::provideCalls()
{
    m_context.peers->provide(statusCall, [this](json arguments) -> task<json> {
        json answer = answerStatus(arguments);
        co_return answer;
    });
    m_context.peers->provide(pendingCall, [this](json arguments) -> task<json> {
        json answer = answerPending(arguments);
        co_return answer;
    });
}

json caller_service::answerStatus(const json &arguments) const
{
    const std::shared_ptr<job_owner> owner = m_context.local();
    if (!owner)
        return nullptr;
    const auto status = owner->statusOf(arguments.value("job", ""));
    return status ? json(jobs::statusName(*status)) : json("");
}

json caller_service::answerPending(const json &arguments) const
{
    const std::shared_ptr<job_owner> owner = m_context.local();
    if (!owner)
        return nullptr;
    return owner->pendingJobCount(arguments.value("queue", ""));
}

task<std::optional<json>> caller_service::askOwner(std::string method, json arguments, milliseconds timeout)
{
    std::optional<json> answer;
    if (m_context.local()) {
        answer = method == statusCall ? answerStatus(arguments) : answerPending(arguments);
        co_return answer;
    }
    const std::string address = m_context.owner().address;
    if (address.empty())
        co_return answer;
    answer = co_await m_context.peers->call(address, method, std::move(arguments), timeout);
    if (answer && answer->is_null())
        answer.reset();
    co_return answer;
}

//! Creates \a key, or finds that it stands. A lost answer is settled by reading it back.
task<call_outcome> caller_service::createKey(std::string key, std::string value, milliseconds patience)
{
    const time_point end = m_context.clock() + patience - m_context.rules.answerMargin;
    bool maybeWritten = false;
    while (true) {
        const store_reply written = co_await m_context.store.create(key, value, "");
        if (written.status == store_status::ok || written.status == store_status::conflict)
            co_return call_outcome::ok;
        maybeWritten = maybeWritten || written.status == store_status::unavailable;
        if (!maybeWritten)
            co_return call_outcome::refused;
        if (m_context.clock() + m_context.rules.retryPause >= end)
            co_return call_outcome::unknown;
        co_await kernel::sleepFor(m_context.rules.retryPause);
    }
}

task<call_outcome> caller_service::submit(jobs::job accepted, milliseconds patience)
{
    accepted.acceptedAtMs = kernel::toMillis(m_context.unixClock());
    const std::string key = job_key::accepted + accepted.id;
    const time_point begun = m_context.clock();
    const call_outcome outcome = co_await createKey(key, jobs::encodeJob(accepted).dump(), patience);
    static constexpr std::array outcomes{"accepted", "absent", "refused: the store turned it away",
                                         "unknown: the store did not answer"};
    observe::log(outcome == call_outcome::ok ? log_level::info : log_level::warning, "job handed in",
                 {{"job", accepted.id},
                  {"queue", accepted.queue},
                  {"outcome", outcomes.at(static_cast<std::size_t>(outcome))},
                  {"tookMs", (m_context.clock() - begun).count()}});
    co_return outcome;
}

task<status_result> caller_service::status(std::string id, milliseconds patience)
{
    status_result result;
    const time_point end = m_context.clock() + patience - m_context.rules.answerMargin;
    json arguments;
    arguments["job"] = id;
    const milliseconds timeout = std::min(m_context.rules.ownerTimeout, patience / 2);
    const auto answer = co_await askOwner(statusCall, arguments, timeout);
    const auto named = answer && answer->is_string() ? jobs::statusNamed(answer->get<std::string>())
                                                     : std::optional<jobs::job_status>();
    if (named) {
        result.outcome = call_outcome::ok;
        result.status = *named;
        co_return result;
    }
    m_counters.statusUnanswered += answer ? 0 : 1;
    // The owner is away or has not heard of the job yet; the store tells whether it was accepted.
    while (m_context.clock() < end) {
        const store_reply standing = co_await m_context.store.get(job_key::accepted + id);
        if (standing.status == store_status::ok || standing.status == store_status::absent) {
            result.outcome = standing.status == store_status::ok ? call_outcome::ok : call_outcome::absent;
            break;
        }
        if (standing.status == store_status::refused) {
            result.outcome = call_outcome::refused;
            break;
        }
        co_await kernel::sleepFor(m_context.rules.retryPause);
    }
    if (result.outcome == call_outcome::ok && !answer) {
        // Without the owner nobody can tell how far the job has come.
        result.outcome = call_outcome::refused;
    }
    observe::log(
        log_level::info, "status without the owner",
        {{"job", id}, {"ownerAnswered", answer.has_value()}, {"outcome", static_cast<int>(result.outcome)}});
    co_return result;
}

task<call_outcome> caller_service::cancel(std::string id, milliseconds patience)
{
    const time_point end = m_context.clock() + patience;
    const store_reply standing = co_await m_context.store.get(job_key::accepted + id);
    if (standing.status == store_status::absent)
        co_return call_outcome::absent;
    if (standing.status != store_status::ok)
        co_return call_outcome::refused;
    const call_outcome outcome = co_await createKey(job_key::cancelled + id, "{}", end - m_context.clock());
    observe::log(log_level::info, "cancel requested", {{"job", id}, {"outcome", static_cast<int>(outcome)}});
    co_return outcome;
}

task<pending_result> caller_service::pending(std::string queue, milliseconds patience)
{
    pending_result result;
    json arguments;
    arguments["queue"] = queue;
    const auto answer
        = co_await askOwner(pendingCall, arguments, std::min(m_context.rules.ownerTimeout, patience));
    result.outcome = answer ? call_outcome::ok : call_outcome::refused;
    if (answer)
        result.count = answer->get<std::size_t>();
    co_return result;
}

} // namespace almond::fleet
