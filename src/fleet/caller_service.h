#pragma once

#include "fleet/job_owner.h"
#include "store/retention_lease.h"
#include "wire/peer_link.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace almond::fleet {

//! Outcome of a caller's request.
enum class call_outcome {
    ok,
    //! No such job.
    absent,
    //! Nothing was done and nothing will be; the caller may try again later.
    refused,
    //! The request may have taken effect; the caller finds out by asking again.
    unknown,
    //! Not accepted: the job could not complete in time.
    overloaded,
    //! The owner can't tell: what it knows of the accepted jobs is too old.
    outdated,
    //! Not accepted: the job was cancelled before. It never runs.
    cancelled
};

//! Name of \a outcome in logs.
std::string_view outcomeName(call_outcome outcome);

struct caller_rules
{
    //! Time that one request may take if the caller gives no timeout.
    milliseconds defaultTimeout{3000};
    //! Subtracted from the caller's timeout to leave time for sending the response.
    milliseconds responseMargin{150};
    //! Time for a response of the owner; several such calls must fit into a caller's timeout.
    milliseconds ownerTimeout{600};
    //! Delay before an unanswered call to the store is repeated.
    milliseconds retryDelay{50};
    //! Time after which a refused caller should try again.
    milliseconds retryAfter{1000};
    //! Time for the owner's response on the wait of batch tasks.
    milliseconds waitTimeout{250};
    //! How long that response, or its absence, counts.
    milliseconds waitValidity{300};
    //! How long the owner's count of waiting jobs is given out; callers may get one that is 2 s old.
    milliseconds pendingValidity{300};
    //! Shortest time for which the store keeps a tombstone. Must exceed the time for which the submission of
    //! a cancelled job can be under way: at a frozen host, as a late write to the store, or repeated by its
    //! caller.
    milliseconds tombstoneRetention{60'000};
    //! Time for which tombstones share a lease.
    milliseconds tombstonePeriod{60'000};
    jobs::admission_rules admission;
};

struct status_result
{
    call_outcome outcome = call_outcome::unknown;
    jobs::job_status status = jobs::job_status::queued;
};

struct submit_result
{
    call_outcome outcome = call_outcome::unknown;
    //! When overloaded: time until the job has a prospect of completing in time.
    milliseconds retryAfter{0};
};

struct pending_result
{
    call_outcome outcome = call_outcome::unknown;
    std::size_t count = 0;
};

struct caller_counters
{
    //! Status requests to which the owner did not respond.
    std::uint64_t statusUnanswered = 0;
    //! Jobs that were rejected since they could not complete in time.
    std::uint64_t jobsRejected = 0;
};

//! What a caller_service needs from its process.
struct caller_service_dependencies
{
    store::store_api store;
    kernel::clock_source clock;
    kernel::clock_source unixClock;
    wire::peer_link *peers = nullptr;
    //! The current owner as far as this process knows.
    std::function<owner_view()> owner;
    //! The job_owner of this process while it is the owner; null otherwise.
    std::function<std::shared_ptr<job_owner>()> local;
    //! Null if the time is not measured; must outlive the service otherwise.
    owner_time *times = nullptr;
    caller_rules rules;
};

//! Handles the requests of callers about jobs; runs on every gateway. Jobs are accepted and cancelled through
//! the store alone; the status of a job comes from the owner.
class caller_service
{
public:
    explicit caller_service(caller_service_dependencies dependencies);

    //! Registers the handlers of the calls that other processes send to the owner.
    void provideCalls();
    //! Stores \a accepted durably within \a timeout. Idempotent: submitting a job again returns ok and does
    //! not create a second one. The outcome is cancelled if the job was cancelled before it was accepted. A
    //! job that could not complete in time is not accepted; while the owner doesn't respond, every job is.
    kernel::task<submit_result> submit(jobs::job accepted, milliseconds timeout);
    //! Status of the job \a id from the owner. An accepted job that the owner does not know yet is queued. If
    //! the owner does not respond, the outcome is absent for a job that the store does not have, and refused
    //! for any other.
    kernel::task<status_result> status(std::string id, milliseconds timeout);
    //! Records durably that the job \a id shall be cancelled. If there is no such job, the outcome is absent,
    //! and a submission of it that is still under way will not be accepted.
    kernel::task<call_outcome> cancel(std::string id, milliseconds timeout);
    //! Number of jobs of \a queue of which no task has started, as the owner knows it. Outdated if the owner
    //! may lack jobs that were accepted a while ago.
    kernel::task<pending_result> pending(std::string queue, milliseconds timeout);
    const caller_counters &counters() const { return m_counters; }

private:
    kernel::task<call_outcome> createKey(std::string key, std::string value, time_point deadline);
    kernel::task<call_outcome> storedOutcome(std::string key);
    kernel::task<store::store_status> writeCancellation(std::string id, std::int64_t revision);
    kernel::task<store::store_status> writeTombstone(std::string key, std::int64_t revision);
    kernel::task<std::optional<json>> askOwner(std::string method, json arguments, milliseconds timeout);
    kernel::task<std::optional<jobs::wait_estimate>> expectedWait(json arguments);
    kernel::task<std::optional<milliseconds>> rejectionOf(const jobs::job &candidate);
    json handleStatus(const json &arguments) const;
    json handlePending(const json &arguments);
    json handleWait(const json &arguments) const;

    struct known_wait
    {
        time_point askedAt{};
        std::optional<jobs::wait_estimate> wait;
    };

    caller_service_dependencies m_dependencies;
    store::retention_lease m_tombstoneLease;
    std::map<std::string, known_wait> m_waits; // by arguments of the question
    //! Waiting jobs as this process counted them as the owner. The count goes over all jobs that wait.
    job_counts m_pendingCounts;
    time_point m_pendingCountedAt{};
    //! The owner that counted them.
    std::weak_ptr<job_owner> m_pendingCountedBy;
    caller_counters m_counters;
};

} // namespace almond::fleet
