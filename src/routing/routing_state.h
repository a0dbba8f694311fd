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

//! How a gateway picks among the minions that may take a request.
enum class routing_policy { random, roundRobin, twoChoices, leastLoaded };

//! Returns the policy that the settings call \a name.
routing_policy policyFromName(std::string_view name);

//! Bounds of routing; the defaults are those of the product.
struct routing_settings
{
    routing_policy policy = routing_policy::leastLoaded;
    //! Failures in a row after which a minion is left out.
    int ejectionThreshold = 3;
    milliseconds initialEjection{1000};
    milliseconds maximumEjection{30'000};
    //! A minion that refused for lack of a slot is left out for this long while others are free.
    milliseconds refusalBackoff{5};
    //! A minion that said it was leaving gets nothing for this long, until the host list says so too.
    milliseconds leavingBackoff{30'000};
    //! An attempt at an idempotent request is given up after this many typical answer times.
    double attemptLatencyFactor = 8;
    milliseconds minimumAttemptTimeout{250};
    //! Retries that may reach a minion, as a share of first attempts.
    double retryRatio = 0.1;
    //! A request that has waited is dropped when fewer usual answer times than this are left to it.
    double shedLatencyFactor = 3;
    double maximumRetryTokens = 20;
};

//! What a gateway knows of one minion.
struct minion_state
{
    std::string id;
    std::string address;
    std::string failureDomain;
    bool leaving = false;
    //! Requests of this gateway at the minion.
    std::int64_t inFlight = 0;
    std::int64_t slots = 0;
    int failuresInRow = 0;
    int ejections = 0;
    time_point ejectedUntil{};
    time_point backoffUntil{};
    time_point leavingUntil{};
    double averageLatencyMs = 0; // moving average of answer times; 0 before the first
    //! Requests of all gateways at the minion, as it said with its newest answer; unknown before the first.
    std::optional<std::int64_t> reportedBusy;
    //! Requests that this gateway has sent since that answer.
    std::int64_t sentSinceReport = 0;
};

//! All minions of one service as one gateway sees them.
struct routing_state
{
    std::vector<minion_state> minions;
    std::size_t nextInTurn = 0;
    double averageLatencyMs = 0; // moving average of answer times over all minions; 0 before the first
    double retryTokens = 0;
    std::mt19937_64 random{1};
};

//! How an attempt at a minion ended, for the minion's record.
enum class attempt_result { answered, refusedFull, refusedLeaving, failed };

//! Returns the index of the minion for the next attempt; none when every one is full, leaving or excluded.
//! Minions in \a tried are used again only if no other may take the request.
std::optional<std::size_t> chooseMinion(routing_state &state, const routing_settings &settings,
                                        const std::vector<std::string> &tried, time_point now);

//! Records that a request is sent to \a minion.
void recordSend(minion_state &minion);

//! How an attempt ended, and what the minion said with its answer.
struct attempt_report
{
    attempt_result result = attempt_result::answered;
    milliseconds elapsed{0};
    //! Slots taken at the minion after this request, if it said so.
    std::optional<std::int64_t> busy;
};

//! Records how an attempt at \a minion ended.
void recordAttempt(minion_state &minion, const routing_settings &settings, const attempt_report &report,
                   time_point now);

//! Takes an answer time into the average over all minions.
void recordLatency(routing_state &state, milliseconds elapsed);

//! Tells whether a request with \a left until its deadline would most likely be answered too late. Sending it
//! would take a slot from one that can still be answered in time.
bool wouldMissDeadline(const routing_state &state, const routing_settings &settings, milliseconds left);

//! Earns the retry budget for one first attempt.
void addRetryTokens(routing_state &state, const routing_settings &settings);
//! Spends one retry; false when the budget is used up.
bool takeRetryToken(routing_state &state);

//! How long an attempt may take: until the deadline, or less for an idempotent request at a minion
//! whose answers usually come sooner.
milliseconds attemptTimeout(const minion_state &minion, const routing_settings &settings, bool idempotent,
                            milliseconds untilDeadline);

//! One minion as the host list gives it.
struct listed_minion
{
    std::string id;
    std::string address;
    std::string failureDomain;
    bool leaving = false;
    std::int64_t slots = 0;
};

//! Takes the list up; what is known of minions that stay is kept. A minion that is no longer listed stays
//! as leaving while it has requests in flight.
void updateMinions(routing_state &state, const std::vector<listed_minion> &listed);

} // namespace almond::routing
