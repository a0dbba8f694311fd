#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace almond::history {

using nlohmann::json;

//! All events of one run, merged from the records of its processes.
using events = std::vector<json>;

//! One promise that a run broke, and the event that broke it.
struct violation
{
    std::string promise;
    std::string text;
};

//! Limits that the brief leaves to the product.
struct checker_limits
{
    //! Time after a withdrawal from which nothing may start, and after leaving from which nothing may be
    //! sent.
    std::int64_t settleMs = 3000;
};

//! What a run did, counted.
struct history_summary
{
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t lost = 0;
    std::size_t doubled = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t jobs = 0;
    std::size_t finishedOnce = 0;
    std::vector<violation> violations;
};

//! Reads a record file, one JSON object a line; an unfinished last line is passed over.
events readRecord(const std::string &path);

//! Checks the requests: whole answers to their own callers, true outcomes, nothing non-idempotent twice,
//! nothing sent to a leaving minion, no minion over its slots.
void checkRequests(const events &all, const checker_limits &limits, history_summary &summary);

//! Checks the tasks: no overcommitment, no job in two places, each job finished once, each eviction resumed
//! once from its checkpoint, no start in a withdrawn failure domain.
void checkTasks(const events &all, const checker_limits &limits, history_summary &summary);

} // namespace almond::history
