#include "tests/history/history_checker.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <set>

namespace almond::history {

namespace {

std::int64_t timeOf(const json &event)
{
    return event.at("at");
}

bool is(const json &event, const char *name)
{
    return event.value("event", "") == name;
}

void add(history_summary &summary, const std::string &promise, const std::string &text)
{
    summary.violations.push_back({promise, text});
}

//! How often each request was executed.
std::map<std::string, std::size_t> executionsOf(const events &all)
{
    std::map<std::string, std::size_t> executions;
    for (const json &event : all) {
        if (is(event, "execute"))
            ++executions[event.at("request")];
    }
    return executions;
}

void checkAnswer(const json &event, std::size_t executed, history_summary &summary)
{
    const std::string request = event.at("request");
    const std::string outcome = event.at("outcome");
    const bool idempotent = event.at("idempotent");
    summary.answered += outcome == "run" ? 1 : 0;
    summary.notRun += outcome == "not-run" ? 1 : 0;
    summary.unknown += outcome == "unknown" ? 1 : 0;
    if (outcome == "run" && !event.at("own").get<bool>())
        add(summary, "whole-own-answer", request + " got a wrong or short answer");
    if (outcome == "run" && executed == 0)
        add(summary, "true-outcome", request + " was reported as run and no minion ran it");
    if (outcome == "not-run" && executed > 0)
        add(summary, "true-outcome", request + " was reported as not run and was run");
    if (!idempotent && executed > 1) {
        ++summary.doubled;
        add(summary, "at-most-once",
            request + " is not idempotent and ran " + std::to_string(executed) + " times");
    }
}

void checkLeaving(const events &all, const checker_limits &limits, history_summary &summary)
{
    std::map<std::string, std::int64_t> leavingSince;
    for (const json &event : all) {
        if (is(event, "leaving"))
            leavingSince.emplace(event.at("minion"), timeOf(event));
    }
    for (const json &event : all) {
        if (!is(event, "execute"))
            continue;
        const auto since = leavingSince.find(event.at("minion"));
        if (since != leavingSince.end() && timeOf(event) > since->second + limits.settleMs)
            add(summary, "nothing-to-leaving",
                event.at("request").get<std::string>() + " reached a leaving minion");
    }
}

//! The time in which an attempt ran at a worker.
struct run_interval
{
    std::string job;
    std::uint32_t attempt = 0;
    std::string worker;
    std::int64_t from = 0;
    std::optional<std::int64_t> until;
    std::string outcome;
    std::int64_t progressMs = 0;
    std::string checkpoint;
    json start;
};

using attempt_key = std::pair<std::string, std::uint32_t>;

attempt_key keyOf(const json &event)
{
    return {event.at("job"), event.at("attempt")};
}

void closeIntervalsOf(std::vector<run_interval> &intervals, const std::string &worker, std::int64_t at)
{
    for (run_interval &interval : intervals) {
        if (interval.worker == worker && !interval.until)
            interval.until = at;
    }
}

void closeInterval(std::vector<run_interval> &intervals, const json &event)
{
    for (run_interval &interval : intervals) {
        if (interval.until || interval.job != event.at("job") || interval.attempt != event.at("attempt")
            || interval.worker != event.at("worker"))
            continue;
        interval.until = event.at("endedAt");
        interval.outcome = event.at("outcome");
        interval.progressMs = event.at("progressMs");
    }
}

std::vector<run_interval> intervalsOf(const events &all, history_summary &summary)
{
    std::vector<run_interval> intervals;
    std::set<attempt_key> started;
    for (const json &event : all) {
        if (is(event, "task-started")) {
            if (!started.insert(keyOf(event)).second)
                add(summary, "one-place", event.at("job").get<std::string>() + " started an attempt twice");
            intervals.push_back({event.at("job"),
                                 event.at("attempt"),
                                 event.at("worker"),
                                 timeOf(event),
                                 {},
                                 "",
                                 0,
                                 event.at("checkpoint"),
                                 event});
        } else if (is(event, "task-ended")) {
            closeInterval(intervals, event);
        } else if (is(event, "killed")) {
            closeIntervalsOf(intervals, event.at("process"), timeOf(event));
        }
    }
    return intervals;
}

void checkOnePlace(std::map<std::string, std::vector<const run_interval *>> &byJob, history_summary &summary)
{
    for (auto &[job, runs] : byJob) {
        std::sort(runs.begin(), runs.end(), [](const run_interval *left, const run_interval *right) {
            return left->from < right->from;
        });
        for (std::size_t index = 1; index < runs.size(); ++index) {
            const run_interval &before = *runs[index - 1];
            if (!before.until || *before.until > runs[index]->from)
                add(summary, "one-place",
                    job + " ran at " + before.worker + " and " + runs[index]->worker + " at once");
        }
    }
}

//! A run that was evicted is followed by one that starts at its checkpoint.
void checkResumed(const std::map<std::string, std::vector<const run_interval *>> &byJob,
                  history_summary &summary)
{
    for (const auto &[job, runs] : byJob) {
        for (std::size_t index = 1; index < runs.size(); ++index) {
            const run_interval &before = *runs[index - 1];
            if (before.outcome == "evicted" && runs[index]->checkpoint != std::to_string(before.progressMs))
                add(summary, "resumed-once",
                    job + " resumed at " + runs[index]->checkpoint + " and not at "
                        + std::to_string(before.progressMs));
        }
    }
}

void checkFinished(const events &all, history_summary &summary)
{
    std::map<std::string, std::size_t> done;
    for (const json &event : all) {
        if (is(event, "task-published"))
            ++done[event.at("job")];
    }
    for (const json &event : all) {
        if (!is(event, "job-accepted"))
            continue;
        ++summary.jobs;
        const std::string job = event.at("job");
        const std::size_t times = done[job];
        summary.finishedOnce += times == 1 ? 1 : 0;
        if (times > 1) {
            ++summary.doubled;
            add(summary, "finished-once", job + " finished " + std::to_string(times) + " times");
        }
        if (times == 0 && event.value("mustFinish", true)) {
            ++summary.lost;
            add(summary, "finished-once", job + " did not finish");
        }
    }
}

//! A change of what is committed on a worker.
struct commitment_change
{
    std::int64_t at = 0;
    bool ends = false;
    const run_interval *run = nullptr;
};

void checkCapacity(const events &all, const std::vector<run_interval> &intervals, history_summary &summary)
{
    std::map<std::string, json> capacity;
    for (const json &event : all) {
        if (is(event, "worker-started"))
            capacity[event.at("worker")] = event.at("capacity");
    }
    std::map<std::string, std::vector<commitment_change>> changes;
    for (const run_interval &interval : intervals) {
        changes[interval.worker].push_back({interval.from, false, &interval});
        if (interval.until)
            changes[interval.worker].push_back({*interval.until, true, &interval});
    }
    for (auto &[worker, list] : changes) {
        std::stable_sort(list.begin(), list.end(), [](const auto &left, const auto &right) {
            return left.at != right.at ? left.at < right.at : left.ends && !right.ends;
        });
        for (const char *resource : {"millicores", "memoryMb", "accelerators"}) {
            std::int64_t used = 0;
            for (const commitment_change &change : list) {
                const std::int64_t amount = change.run->start.at(resource);
                used += change.ends ? -amount : amount;
                if (used > capacity[worker].value(resource, std::int64_t{0}))
                    add(summary, "no-overcommitment",
                        worker + " had " + std::to_string(used) + " " + resource);
            }
        }
    }
}

void checkWithdrawn(const events &all, const checker_limits &limits, history_summary &summary)
{
    std::map<std::string, std::string> domainOf;
    for (const json &event : all) {
        if (is(event, "worker-started"))
            domainOf[event.at("worker")] = event.at("failureDomain");
    }
    std::map<std::string, std::int64_t> withdrawnSince;
    for (const json &event : all) {
        if (is(event, "withdrawn"))
            withdrawnSince[event.at("failureDomain")] = timeOf(event);
        else if (is(event, "returned"))
            withdrawnSince.erase(event.at("failureDomain"));
        else if (is(event, "task-started")) {
            const auto since = withdrawnSince.find(domainOf[event.at("worker")]);
            if (since != withdrawnSince.end() && timeOf(event) > since->second + limits.settleMs)
                add(summary, "no-start-when-withdrawn",
                    event.at("job").get<std::string>() + " started in " + since->first);
        }
    }
}

} // namespace

events readRecord(const std::string &path)
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
    const std::map<std::string, std::size_t> executions = executionsOf(all);
    std::set<std::string> answered;
    for (const json &event : all) {
        if (!is(event, "answer"))
            continue;
        const auto found = executions.find(event.at("request"));
        checkAnswer(event, found == executions.end() ? 0 : found->second, summary);
        answered.insert(event.at("request").get<std::string>());
    }
    for (const json &event : all) {
        if (!is(event, "request"))
            continue;
        ++summary.requests;
        if (!answered.contains(event.at("request"))) {
            ++summary.lost;
            add(summary, "answered", event.at("request").get<std::string>() + " was never answered");
        }
    }
    checkLeaving(all, limits, summary);
}

void checkTasks(const events &all, const checker_limits &limits, history_summary &summary)
{
    const std::vector<run_interval> intervals = intervalsOf(all, summary);
    std::map<std::string, std::vector<const run_interval *>> byJob;
    for (const run_interval &interval : intervals)
        byJob[interval.job].push_back(&interval);
    checkOnePlace(byJob, summary);
    checkResumed(byJob, summary);
    checkFinished(all, summary);
    checkCapacity(all, intervals, summary);
    checkWithdrawn(all, limits, summary);
}

} // namespace almond::history
