#pragma once

#include "fleet/job_owner.h"
#include "wire/peer_link.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace almond::fleet {

//! How a call of a caller ended.
enum class call_outcome {
    ok,
    //! No such job.
    absent,
    //! Nothing was done and nothing will be; the caller may come again later.
    refused,
    //! It may have been done; the caller finds out by asking again.
    unknown
};

struct caller_rules
{
    //! Time that one call may take when the caller names none.
    milliseconds defaultTimeout{3000};
    //! Kept back from the caller's patience for the way of the answer.
    milliseconds answerMargin{150};
    //! Time for an answer of the owner; several must fit into a caller's patience.
    milliseconds ownerTimeout{600};
    milliseconds retryPause{50};
    //! What a refused caller is told to wait.
    milliseconds retryAfter{1000};
};

struct status_result
{
    call_outcome outcome = call_outcome::unknown;
    jobs::job_status status = jobs::job_status::queued;
};

struct pending_result
{
    call_outcome outcome = call_outcome::unknown;
    std::size_t count = 0;
};

struct caller_counters
{
    //! Questions for a job's status that the owner left without an answer.
    std::uint64_t statusUnanswered = 0;
};

//! What a caller service needs from its process.
struct caller_service_dependencies
{
    store::store_api store;
    kernel::clock_source clock;
    kernel::clock_source unixClock;
    wire::peer_link *peers = nullptr;
    //! Present owner as far as it is known.
    std::function<owner_view()> owner;
    //! The owner if this process is it; null otherwise.
    std::function<std::shared_ptr<job_owner>()> local;
    caller_rules rules;
};

//! Answers callers about jobs on every gateway. Accepting and cancelling need only the store; states come
//! from the owner.
class caller_service
{
public:
    explicit caller_service(caller_service_dependencies context);

    //! Registers the owner's side of the calls between processes.
    void provideCalls();
    //! Makes \a accepted durable. A job that was accepted before is ok and stays one job.
    kernel::task<call_outcome> submit(jobs::job accepted, milliseconds patience);
    kernel::task<status_result> status(std::string id, milliseconds patience);
    kernel::task<call_outcome> cancel(std::string id, milliseconds patience);
    kernel::task<pending_result> pending(std::string queue, milliseconds patience);
    const caller_counters &counters() const { return m_counters; }

private:
    kernel::task<call_outcome> createKey(std::string key, std::string value, milliseconds patience);
    kernel::task<std::optional<json>> askOwner(std::string method, json arguments, milliseconds timeout);
    json answerStatus(const json &arguments) const;
    json answerPending(const json &arguments) const;

    caller_service_dependencies m_context;
    caller_counters m_counters;
};

} // namespace almond::fleet
