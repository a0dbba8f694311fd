#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace almond::routing {

using kernel::milliseconds;
using kernel::time_point;

//! How a gateway chooses among the minions that can take a request. twoChoices takes the minion with fewer
//! requests in flight of two random ones. leastLoaded takes the minion with the fewest requests of all
//! gateways, and among several such minions prefers a lower average latency.
enum class routing_policy { random, roundRobin, twoChoices, leastLoaded };

//! Returns the policy with the name that the process settings use; leastLoaded if there is none.
routing_policy policyFromName(std::string_view name);

//! Parameters of routing. The gateway uses the defaults, except for the policy.
struct routing_settings
{
    routing_policy policy = routing_policy::leastLoaded;
    //! Number of consecutive failures after which a minion is ejected: it gets no requests for some time.
    //! After its first ejection, every failure ejects it again until it answers a request.
    int ejectionThreshold = 3;
    //! Duration of the first ejection. Each further one lasts twice as long, up to maximumEjection.
    milliseconds initialEjection{1000};
    milliseconds maximumEjection{30'000};
    //! Time without requests for a minion that is full.
    milliseconds refusalBackoff{5};
    //! Time without requests for a minion that refused a request because it is leaving. By then the host list
    //! shows that it is leaving.
    milliseconds leavingBackoff{30'000};
    //! Timeout of an attempt at an idempotent request, as a multiple of the minion's average latency.
    double attemptLatencyFactor = 8;
    milliseconds minimumAttemptTimeout{250};
    //! Tokens that each request adds to the retry budget: the ratio of retries to requests that is sustained.
    //! Only retries after an attempt that may have reached its minion take a token.
    double retryRatio = 0.1;
    //! A queued request is shed when the time to its deadline is less than this multiple of the average
    //! latency.
    double shedLatencyFactor = 3;
    //! Limit of the retry budget, and thereby of a burst of retries.
    double maximumRetryTokens = 20;
};

//! The state of one minion as seen by one gateway.
struct minion_state
{
    std::string id;
    std::string address;
    std::string failureDomain;
    bool leaving = false;
    //! Requests that this gateway has in flight at the minion.
    std::int64_t inFlight = 0;
    std::int64_t slots = 0;
    int failuresInRow = 0;
    int ejections = 0;
    time_point ejectedUntil{};
    time_point backoffUntil{};
    time_point leavingUntil{};
    //! Exponential moving average; 0 before the first response.
    double averageLatencyMs = 0;
    //! Requests of all gateways at the minion, as reported with its latest response; unknown before the first
    //! report.
    std::optional<std::int64_t> reportedBusy;
    //! Requests that this gateway has sent since that report.
    std::int64_t sentSinceReport = 0;
};

//! The minions of one service as seen by one gateway, and the retry budget of the service.
struct routing_state
{
    std::vector<minion_state> minions;
    std::size_t nextRoundRobin = 0;
    //! Exponential moving average over all minions; 0 before the first response.
    double averageLatencyMs = 0;
    double retryTokens = 0;
    std::mt19937_64 random{1};
};

//! How an attempt at a minion ended. A refused attempt has not run.
enum class attempt_result { answered, refusedFull, refusedLeaving, failed };

//! Returns the index of the minion for the next attempt; none if every minion is full, leaving or backing
//! off. Ejected minions, and after them the minions in \a tried, are used only if no other can take the
//! request.
std::optional<std::size_t> chooseMinion(routing_state &state, const routing_settings &settings,
                                        const std::vector<std::string> &tried, time_point now);

//! Counts a request that is about to be sent to \a minion.
void recordSend(minion_state &minion);

//! The result of an attempt, and the load that the minion reported with its response.
struct attempt_report
{
    attempt_result result = attempt_result::answered;
    milliseconds elapsed{0};
    //! Slots in use at the minion after this request, if it reported them.
    std::optional<std::int64_t> busy;
};

//! Updates \a minion after an attempt: its load, average latency, backoff and ejection.
void recordAttempt(minion_state &minion, const routing_settings &settings, const attempt_report &report,
                   time_point now);

//! Adds a latency to the average over all minions.
void recordLatency(routing_state &state, milliseconds elapsed);

//! Returns whether a request with \a left until its deadline would probably miss it. Sending such a request
//! would take a slot from a request that can still meet its deadline.
bool wouldMissDeadline(const routing_state &state, const routing_settings &settings, milliseconds left);

//! Adds the share of the retry budget that one request earns.
void addRetryTokens(routing_state &state, const routing_settings &settings);
//! Takes one retry from the budget; returns false if less than one is left.
bool takeRetryToken(routing_state &state);

//! Returns the timeout of an attempt: the time to the deadline, or less for an idempotent request, so that
//! time remains for a retry. Half of the time to the deadline if the minion's latency is not known yet.
milliseconds attemptTimeout(const minion_state &minion, const routing_settings &settings, bool idempotent,
                            milliseconds untilDeadline);

//! One minion of the host list.
struct listed_minion
{
    std::string id;
    std::string address;
    std::string failureDomain;
    bool leaving = false;
    std::int64_t slots = 0;
};

//! Replaces the minions of \a state by \a listed. A minion whose address is unchanged keeps its state. A
//! minion that is no longer listed remains, marked as leaving, while it has requests in flight.
void updateMinions(routing_state &state, const std::vector<listed_minion> &listed);

} // namespace almond::routing
