#pragma once

#include "jobs/job_table.h"
#include "jobs/worker_session.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

//! A model of one owner and one sound worker with one task. The owner uses the functions of worker_session
//! and job_table as job_owner does; each call of step() is one event, and the test decides on their order.
namespace almond::tests {

//! How often each event can happen.
struct event_budget
{
    int runs = 2;
    int startAttempts = 2;
    int polls = 2;
    int lostResponses = 0;
    int lateRefusals = 0;
    int lapses = 0;
    int restarts = 0;
    //! Pauses in which all leases end.
    int pauses = 0;
    //! Runs that end as failed by themselves.
    int failures = 0;
    //! Start and stop orders without a response that a later incarnation carries out than the one that has
    //! received them.
    int lateOrdersAcrossRestarts = 0;
    //! The same for polls.
    int latePollsAcrossRestarts = 0;
};

enum class event {
    prepareCommit,
    finishCommit,
    sendStart,
    executeStart,
    receiveStart,
    loseStart,
    sendStop,
    executeStop,
    receiveStop,
    loseStop,
    endStoppedRun,
    sendPoll,
    makeList,
    receivePoll,
    losePoll,
    executeStrayPoll,
    executeStrayStart,
    failRun,
    lapse,
    list,
    restart,
    pause,
    checkLeases,
    refuseStart,
    executeStrayStop
};
inline constexpr int eventCount = 25;
const char *nameOf(event which);

//! The worker itself. What it knows ends with its incarnation.
struct model_worker
{
    std::int64_t bornMs = 1;
    //! The owner's time at which the worker's clock was zero.
    std::int64_t clockBeganMs = 0;
    std::uint32_t running = 0;
    bool stopping = false;
    std::uint32_t highestEnded = 0;
    std::int64_t leaseEndMs = 0;
    std::vector<jobs::ended_report> ended;
    std::uint64_t endCount = 0;
};

struct poll_under_way
{
    jobs::time_point sentAt{};
    std::string incarnation;
    std::int64_t meantForMs = 0;
    //! The incarnation to which the connection of the poll leads, and with which it ends.
    std::int64_t connectedToMs = 0;
    jobs::poll_order order;
    std::optional<jobs::poll_response> response;
};

struct start_under_way
{
    jobs::time_point sentAt{};
    std::int64_t leaseEndMs = 0;
    std::string incarnation;
    std::int64_t meantForMs = 0;
    //! The incarnation to which the connection of the order leads, and with which it ends.
    std::int64_t connectedToMs = 0;
    std::optional<jobs::order_response> response;
};

//! Like job_owner::startTask().
struct start_procedure
{
    std::uint32_t run = 0;
    std::string worker;
    int attempt = 1;
    bool mayHaveArrived = false;
    bool stopping = false;
    std::optional<start_under_way> order;
};

//! Like job_owner::stopRun().
struct stop_procedure
{
    std::uint32_t run = 0;
    bool sent = false;
    bool executed = false;
    //! Incarnation of the session when the order was sent.
    std::string sentTo;
    //! Like job_owner::stopUnansweredStart().
    bool settlesStart = false;
};

//! An order without a response that the incarnation to which it was sent may still carry out, or a later one
//! (event_budget::lateOrdersAcrossRestarts).
struct stray_order
{
    std::int64_t bornMs = 0;
    std::uint32_t run = 0; // 0 for a poll
    bool isStop = false;
    std::uint64_t acknowledge = 0;
    std::int64_t leaseEndMs = 0;
};

struct model_state
{
    event_budget left;
    std::int64_t nowMs = 1'000'000;
    model_worker worker;
    bool listed = true;
    //! Nothing if the owner has forgotten the worker.
    std::optional<jobs::worker_session> session;
    jobs::job_table table;
    std::vector<jobs::journal_record> queued;
    bool committing = false;
    std::optional<start_procedure> planned;
    std::pair<std::string, std::uint64_t> committingEnds;
    std::optional<poll_under_way> poll;
    std::vector<start_procedure> starts;
    std::vector<stop_procedure> stops;
    std::vector<stray_order> strays;
    //! Runs that the owner has counted as lost or as not started.
    std::set<std::uint32_t> countedAsOver;
    //! Empty as long as the promise holds.
    std::string violation;
};

model_state makeModel(const event_budget &budget);
//! Returns what follows if \a which happens next to part \a index of the state; nothing if it can't happen.
std::optional<model_state> step(const model_state &before, event which, std::size_t index);
//! Two states with the same description behave alike: times count by their order and by their rounded age.
std::string describe(const model_state &state);

jobs::task_name modelTask();
//! The worker's clock.
std::int64_t clockOf(const model_state &state);
jobs::worker_info listingOf(const model_state &state);
void endRun(model_worker &worker, jobs::run_end end);
jobs::order_response respond(const model_state &state, jobs::order_refusal why = jobs::order_refusal::none);
jobs::order_response executeStart(model_state &state, std::uint32_t run, std::int64_t leaseEndMs);
void executeStop(model_state &state, std::uint32_t run);
void executePoll(model_state &state, std::uint64_t acknowledge, std::optional<std::int64_t> leaseEndMs);

} // namespace almond::tests
