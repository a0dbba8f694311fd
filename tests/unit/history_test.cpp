#include "tests/history/history_checker.h"

#include <gtest/gtest.h>

//! Tests the history checker with histories that violate one invariant each. They guard against a checker
//! that passes every scenario because it overlooks a violation.
namespace {

using namespace almond::history;

json makeEvent(std::int64_t timeMs, const char *event, json fields)
{
    fields["at"] = timeMs;
    fields["event"] = event;
    return fields;
}

json taskStarted(std::int64_t timeMs, const char *job, int attempt, const char *worker,
                 const char *checkpoint = "")
{
    return makeEvent(timeMs, "task-started",
                     {{"job", job},
                      {"attempt", attempt},
                      {"worker", worker},
                      {"checkpoint", checkpoint},
                      {"millicores", 600},
                      {"memoryMb", 1},
                      {"accelerators", 0}});
}

json taskEnded(std::int64_t timeMs, const char *job, int attempt, const char *worker, const char *outcome,
               int progressMs = 0)
{
    return makeEvent(timeMs, "task-ended",
                     {{"job", job},
                      {"attempt", attempt},
                      {"worker", worker},
                      {"outcome", outcome},
                      {"progressMs", progressMs},
                      {"endedAt", timeMs}});
}

json taskPublished(std::int64_t timeMs, const char *job)
{
    return makeEvent(timeMs, "task-published", {{"job", job}});
}

json workerStarted(const char *name, const char *domain)
{
    return makeEvent(0, "worker-started",
                     {{"worker", name},
                      {"failureDomain", domain},
                      {"capacity", {{"millicores", 1000}, {"memoryMb", 1000}, {"accelerators", 0}}}});
}

json answerReceived(const char *request, bool idempotent, const char *outcome, bool own = true)
{
    return makeEvent(9, "answer",
                     {{"request", request}, {"idempotent", idempotent}, {"outcome", outcome}, {"own", own}});
}

json requestExecuted(const char *request, const char *minion, std::int64_t timeMs = 5)
{
    return makeEvent(timeMs, "execute", {{"request", request}, {"minion", minion}});
}

std::string firstViolatedInvariant(const events &all)
{
    history_summary summary;
    checkRequests(all, {}, summary);
    checkTasks(all, {}, summary);
    return summary.violations.empty() ? "" : summary.violations.front().invariant;
}

TEST(HistoryChecker, CorrectHistoryHasNoViolations)
{
    EXPECT_EQ(
        firstViolatedInvariant({workerStarted("w", "a"), makeEvent(1, "request", {{"request", "r"}}),
                                requestExecuted("r", "m"), answerReceived("r", false, "run"),
                                makeEvent(1, "job-accepted", {{"job", "j"}}), taskStarted(2, "j", 1, "w"),
                                taskEnded(3, "j", 1, "w", "evicted", 7), taskStarted(4, "j", 2, "w", "7"),
                                taskEnded(5, "j", 2, "w", "done"), taskPublished(6, "j")}),
        "");
}

TEST(HistoryChecker, DetectsRequestViolations)
{
    EXPECT_EQ(firstViolatedInvariant(
                  {requestExecuted("r", "m"), requestExecuted("r", "n"), answerReceived("r", false, "run")}),
              "at-most-once");
    EXPECT_EQ(firstViolatedInvariant({requestExecuted("r", "m"), answerReceived("r", true, "not-run")}),
              "true-outcome");
    EXPECT_EQ(firstViolatedInvariant({answerReceived("r", true, "run")}), "true-outcome");
    EXPECT_EQ(firstViolatedInvariant({requestExecuted("r", "m"), answerReceived("r", true, "run", false)}),
              "whole-own-answer");
    EXPECT_EQ(firstViolatedInvariant({makeEvent(1, "request", {{"request", "r"}})}), "answered");
    EXPECT_EQ(firstViolatedInvariant({makeEvent(1, "leaving", {{"minion", "m"}}),
                                      requestExecuted("r", "m", 5000), answerReceived("r", true, "run")}),
              "nothing-to-leaving");
}

TEST(HistoryChecker, DetectsTaskViolations)
{
    EXPECT_EQ(firstViolatedInvariant({workerStarted("w", "a"), workerStarted("v", "a"),
                                      taskStarted(2, "j", 1, "w"), taskStarted(3, "j", 2, "v")}),
              "one-place");
    EXPECT_EQ(firstViolatedInvariant(
                  {workerStarted("w", "a"), taskStarted(2, "j", 1, "w"), taskStarted(3, "k", 1, "w")}),
              "no-overcommitment");
    EXPECT_EQ(firstViolatedInvariant({workerStarted("w", "a"), makeEvent(1, "job-accepted", {{"job", "j"}}),
                                      taskStarted(2, "j", 1, "w"), taskEnded(3, "j", 1, "w", "done"),
                                      taskPublished(4, "j"), taskPublished(5, "j")}),
              "finished-once");
    EXPECT_EQ(firstViolatedInvariant({makeEvent(1, "job-accepted", {{"job", "j"}})}), "finished-once");
    EXPECT_EQ(
        firstViolatedInvariant({workerStarted("w", "a"), taskStarted(2, "j", 1, "w"),
                                taskEnded(3, "j", 1, "w", "evicted", 7), taskStarted(4, "j", 2, "w", "3")}),
        "resumed-once");
    EXPECT_EQ(
        firstViolatedInvariant({workerStarted("w", "a"), makeEvent(1, "withdrawn", {{"failureDomain", "a"}}),
                                taskStarted(5000, "j", 1, "w")}),
        "no-start-when-withdrawn");
}

TEST(HistoryChecker, KilledWorkerEndsItsRuns)
{
    EXPECT_EQ(firstViolatedInvariant({workerStarted("w", "a"), workerStarted("v", "a"),
                                      taskStarted(2, "j", 1, "w"), makeEvent(3, "killed", {{"process", "w"}}),
                                      taskStarted(4, "j", 2, "v"), taskEnded(5, "j", 2, "v", "done")}),
              "");
}

} // namespace
