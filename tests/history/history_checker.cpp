#include "tests/history/history_checker.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <set>

namespace almond::history {

namespace {

std::int64_t timeMsOf(const json &event)
{
    return event.at("at");
}

bool isEvent(const json &event, const char *name)
{
    return event.value("event", "") == name;
}

void addViolation(history_summary &summary, const std::string &invariant, const std::string &description)
{
    summary.violations.push_back({invariant, description});
}

//! Returns the number of executions of each executed request.
std::map<std::string, std::size_t> countExecutions(const events &all)
{
    std::map<std::string, std::size_t> executions;
    for (const json &event : all) {
        if (isEvent(event, "execute"))
            ++executions[event.at("request")];
    }
    return executions;
}

void checkOutcome(const json &event, std::size_t executionCount, history_summary &summary)
{
    const std::string request = event.at("request");
    const std::string outcome = event.at("outcome");
    const bool idempotent = event.at("idempotent");
    summary.answered += outcome == "run" ? 1 : 0;
    summary.notRun += outcome == "not-run" ? 1 : 0;
    summary.unknown += outcome == "unknown" ? 1 : 0;
    if (outcome == "run" && !event.at("own").get<bool>())
        addViolation(summary, "whole-own-answer",
                     request + " got a truncated response or one of another request");
    if (outcome == "run" && executionCount == 0)
        addViolation(summary, "true-outcome", request + " was reported as run, but no minion executed it");
    if (outcome == "not-run" && executionCount > 0)
        addViolation(summary, "true-outcome", request + " was reported as not run, but a minion executed it");
    if (!idempotent && executionCount > 1) {
        ++summary.doubled;
        addViolation(summary, "at-most-once",
                     request + " is not idempotent and was executed " + std::to_string(executionCount)
                         + " times");
    }
}

void checkLeavingMinions(const events &all, const checker_limits &limits, history_summary &summary)
{
    std::map<std::string, std::int64_t> leavingSince;
    for (const json &event : all) {
        if (isEvent(event, "leaving"))
            leavingSince.emplace(event.at("minion"), timeMsOf(event));
    }
    for (const json &event : all) {
        if (!isEvent(event, "execute"))
            continue;
        const auto since = leavingSince.find(event.at("minion"));
        if (since != leavingSince.end() && timeMsOf(event) > since->second + limits.gracePeriodMs)
            addViolation(summary, "nothing-to-leaving",
                         event.at("request").get<std::string>()
                             + " reached a leaving minion after the grace period");
    }
}

//! One run of an attempt on a worker. A run without an end was still in progress at the end of the history.
struct run_interval
{
    std::string job;
    std::uint32_t attempt = 0;
    std::string worker;
    std::int64_t startedAt = 0;
    std::optional<std::int64_t> endedAt;
    std::string outcome;
    std::int64_t progressMs = 0;
    std::string checkpoint;
    json start;
};

using attempt_key = std::pair<std::string, std::uint32_t>;

attempt_key attemptKeyOf(const json &event)
{
    return {event.at("job"), event.at("attempt")};
}

void closeIntervalsAtWorker(std::vector<run_interval> &intervals, const std::string &worker, std::int64_t at)
{
    for (run_interval &interval : intervals) {
        if (interval.worker == worker && !interval.endedAt)
            interval.endedAt = at;
    }
}

void closeInterval(std::vector<run_interval> &intervals, const json &event)
{
    for (run_interval &interval : intervals) {
        if (interval.endedAt || interval.job != event.at("job") || interval.attempt != event.at("attempt")
            || interval.worker != event.at("worker"))
            continue;
        interval.endedAt = event.at("endedAt");
        interval.outcome = event.at("outcome");
        interval.progressMs = event.at("progressMs");
    }
}

std::vector<run_interval> collectIntervals(const events &all, history_summary &summary)
{
    std::vector<run_interval> intervals;
    std::set<attempt_key> startedAttempts;
    for (const json &event : all) {
        if (isEvent(event, "task-started")) {
            if (!startedAttempts.insert(attemptKeyOf(event)).second)
                addViolation(summary, "one-place",
                             event.at("job").get<std::string>() + " started an attempt twice");
            intervals.push_back({event.at("job"),
                                 event.at("attempt"),
                                 event.at("worker"),
                                 timeMsOf(event),
                                 {},
                                 "",
                                 0,
                                 event.at("checkpoint"),
                                 event});
        } else if (isEvent(event, "task-ended")) {
            closeInterval(intervals, event);
        } else if (isEvent(event, "killed")) {
            closeIntervalsAtWorker(intervals, event.at("process"), timeMsOf(event));
        }
    }
    return intervals;
}

void checkSinglePlacement(std::map<std::string, std::vector<const run_interval *>> &byJob,
                          history_summary &summary)
{
    for (auto &[job, runs] : byJob) {
        std::sort(runs.begin(), runs.end(), [](const run_interval *left, const run_interval *right) {
            return left->startedAt < right->startedAt;
        });
        for (std::size_t index = 1; index < runs.size(); ++index) {
            const run_interval &previous = *runs[index - 1];
            if (!previous.endedAt || *previous.endedAt > runs[index]->startedAt)
                addViolation(summary, "one-place",
                             job + " ran on " + previous.worker + " and " + runs[index]->worker
                                 + " at the same time");
        }
    }
}

//! Checks that the run after an evicted one starts from the progress that the evicted run had reached.
void checkResumption(const std::map<std::string, std::vector<const run_interval *>> &byJob,
                     history_summary &summary)
{
    for (const auto &[job, runs] : byJob) {
        for (std::size_t index = 1; index < runs.size(); ++index) {
            const run_interval &previous = *runs[index - 1];
            if (previous.outcome == "evicted"
                && runs[index]->checkpoint != std::to_string(previous.progressMs))
                addViolation(summary, "resumed-once",
                             job + " resumed from checkpoint " + runs[index]->checkpoint + " instead of "
                                 + std::to_string(previous.progressMs));
        }
    }
}

void checkCompletion(const events &all, history_summary &summary)
{
    std::map<std::string, std::size_t> completionsByJob;
    for (const json &event : all) {
        if (isEvent(event, "task-published"))
            ++completionsByJob[event.at("job")];
    }
    for (const json &event : all) {
        if (!isEvent(event, "job-accepted"))
            continue;
        ++summary.jobs;
        const std::string job = event.at("job");
        const std::size_t completions = completionsByJob[job];
        summary.finishedOnce += completions == 1 ? 1 : 0;
        if (completions > 1) {
            ++summary.doubled;
            addViolation(summary, "finished-once",
                         job + " finished " + std::to_string(completions) + " times");
        }
        if (completions == 0 && event.value("mustFinish", true)) {
            ++summary.lost;
            addViolation(summary, "finished-once", job + " did not finish");
        }
    }
}

//! Start or end of a run, which changes the resources that are committed on its worker.
struct commitment_change
{
    std::int64_t at = 0;
    bool isEnd = false;
    const run_interval *run = nullptr;
};

void checkCapacity(const events &all, const std::vector<run_interval> &intervals, history_summary &summary)
{
    std::map<std::string, json> capacity;
    for (const json &event : all) {
        if (isEvent(event, "worker-started"))
            capacity[event.at("worker")] = event.at("capacity");
    }
    std::map<std::string, std::vector<commitment_change>> changes;
    for (const run_interval &interval : intervals) {
        changes[interval.worker].push_back({interval.startedAt, false, &interval});
        if (interval.endedAt)
            changes[interval.worker].push_back({*interval.endedAt, true, &interval});
    }
    for (auto &[worker, list] : changes) {
        std::stable_sort(list.begin(), list.end(), [](const auto &left, const auto &right) {
            return left.at != right.at ? left.at < right.at : left.isEnd && !right.isEnd;
        });
        for (const char *resource : {"millicores", "memoryMb", "accelerators"}) {
            std::int64_t used = 0;
            for (const commitment_change &change : list) {
                const std::int64_t amount = change.run->start.at(resource);
                used += change.isEnd ? -amount : amount;
                if (used > capacity[worker].value(resource, std::int64_t{0}))
                    addViolation(summary, "no-overcommitment",
                                 worker + " is overcommitted: it runs tasks with " + std::to_string(used)
                                     + " " + resource);
            }
        }
    }
}

void checkWithdrawnDomains(const events &all, const checker_limits &limits, history_summary &summary)
{
    std::map<std::string, std::string> domainOf;
    for (const json &event : all) {
        if (isEvent(event, "worker-started"))
            domainOf[event.at("worker")] = event.at("failureDomain");
    }
    std::map<std::string, std::int64_t> withdrawnSince;
    for (const json &event : all) {
        if (isEvent(event, "withdrawn"))
            withdrawnSince[event.at("failureDomain")] = timeMsOf(event);
        else if (isEvent(event, "returned"))
            withdrawnSince.erase(event.at("failureDomain"));
        else if (isEvent(event, "task-started")) {
            const auto since = withdrawnSince.find(domainOf[event.at("worker")]);
            if (since != withdrawnSince.end() && timeMsOf(event) > since->second + limits.gracePeriodMs)
                addViolation(summary, "no-start-when-withdrawn",
                             event.at("job").get<std::string>() + " started in withdrawn failure domain "
                                 + since->first);
        }
    }
}

} // namespace

events readRecordFile(const std::string &path)
{
    events all;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        json event = json::parse(line, nullptr, false);
        if (event.is_object())
            all.push_back(std::move(event));
    }
    return all;
}

void checkRequests(const events &all, const checker_limits &limits, history_summary &summary)
{
    const std::map<std::string, std::size_t> executions = countExecutions(all);
    std::set<std::string> answered;
    for (const json &event : all) {
        if (!isEvent(event, "answer"))
            continue;
        const auto found = executions.find(event.at("request"));
        checkOutcome(event, found == executions.end() ? 0 : found->second, summary);
        answered.insert(event.at("request").get<std::string>());
    }
    for (const json &event : all) {
        if (!isEvent(event, "request"))
            continue;
        ++summary.requests;
        if (!answered.contains(event.at("request"))) {
            ++summary.lost;
            addViolation(summary, "answered", event.at("request").get<std::string>() + " was never answered");
        }
    }
    checkLeavingMinions(all, limits, summary);
}

void checkTasks(const events &all, const checker_limits &limits, history_summary &summary)
{
    const std::vector<run_interval> intervals = collectIntervals(all, summary);
    std::map<std::string, std::vector<const run_interval *>> byJob;
    for (const run_interval &interval : intervals)
        byJob[interval.job].push_back(&interval);
    checkSinglePlacement(byJob, summary);
    checkResumption(byJob, summary);
    checkCompletion(all, summary);
    checkCapacity(all, intervals, summary);
    checkWithdrawnDomains(all, limits, summary);
}

} // namespace almond::history
