#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace almond::history {

using nlohmann::json;

//! Events of one scenario run, merged from the record files of its processes.
using events = std::vector<json>;

//! Name of an invariant that a run violated and a description of the violation.
struct violation
{
    std::string invariant;
    std::string description;
};

//! Time limits of the checks.
struct checker_limits
{
    //! Time in ms that the system has to react: later than this after the withdrawal of a failure domain no
    //! task may start there, and later than this after a minion began to leave no request may reach it.
    std::int64_t gracePeriodMs = 3000;
};

//! Counts of the requests and jobs of a run, and the violations found.
struct history_summary
{
    std::size_t requests = 0;
    std::size_t answered = 0;
    //! Requests without a response and jobs that had to finish and did not.
    std::size_t lost = 0;
    //! Non-idempotent requests that were executed, and jobs that finished, more than once.
    std::size_t doubled = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t jobs = 0;
    std::size_t finishedOnce = 0;
    std::vector<violation> violations;
};

//! Reads a record file with one JSON object per line. Lines that are not a JSON object are skipped, such as a
//! partly written last line of a killed process.
events readRecordFile(const std::string &path);

//! Checks the requests: each gets a complete response of its own, reported outcomes match the executions,
//! non-idempotent requests are executed at most once, and leaving minions receive nothing after the grace
//! period.
void checkRequests(const events &all, const checker_limits &limits, history_summary &summary);

//! Checks the tasks: no worker is overcommitted, no job runs on two workers at the same time, each job
//! finishes once, evicted jobs resume from their checkpoint, and no task starts in a withdrawn failure domain
//! after the grace period.
void checkTasks(const events &all, const checker_limits &limits, history_summary &summary);

} // namespace almond::history
