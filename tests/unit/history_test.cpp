#include "tests/history/history_checker.h"

#include <gtest/gtest.h>

//! The history checker on histories that break one promise each.
namespace {

using namespace almond::history;

json at(std::int64_t time, const char *event, json fields)
{
    fields["at"] = time;
    fields["event"] = event;
    return fields;
}

json started(std::int64_t time, const char *job, int attempt, const char *worker, const char *checkpoint = "")
{
    return at(time, "task-started",
              {{"job", job},
               {"attempt", attempt},
               {"worker", worker},
               {"checkpoint", checkpoint},
               {"millicores", 600},
               {"memoryMb", 1},
               {"accelerators", 0}});
}

json ended(std::int64_t time, const char *job, int attempt, const char *worker, const char *outcome,
           int progress = 0)
{
    return at(time, "task-ended",
              {{"job", job},
               {"attempt", attempt},
               {"worker", worker},
               {"outcome", outcome},
               {"progressMs", progress},
               {"endedAt", time}});
}

json published(std::int64_t time, const char *job)
{
    return at(time, "task-published", {{"job", job}});
}

json worker(const char *name, const char *domain)
{
    return at(0, "worker-started",
              {{"worker", name},
               {"failureDomain", domain},
               {"capacity", {{"millicores", 1000}, {"memoryMb", 1000}, {"accelerators", 0}}}});
}

json answer(const char *request, bool idempotent, const char *outcome, bool own = true)
{
    return at(9, "answer",
              {{"request", request}, {"idempotent", idempotent}, {"outcome", outcome}, {"own", own}});
}

json executed(const char *request, const char *minion, std::int64_t time = 5)
{
    return at(time, "execute", {{"request", request}, {"minion", minion}});
}

std::string brokenBy(const events &all)
{
    history_summary summary;
    checkRequests(all, {}, summary);
    checkTasks(all, {}, summary);
    return summary.violations.empty() ? "" : summary.violations.front().promise;
}

TEST(HistoryChecker, GoodHistoryBreaksNothing)
{
    EXPECT_EQ(brokenBy({worker("w", "a"), at(1, "request", {{"request", "r"}}), executed("r", "m"),
                        answer("r", false, "run"), at(1, "job-accepted", {{"job", "j"}}),
                        started(2, "j", 1, "w"), ended(3, "j", 1, "w", "evicted", 7),
                        started(4, "j", 2, "w", "7"), ended(5, "j", 2, "w", "done"), published(6, "j")}),
              "");
}

TEST(HistoryChecker, FindsBrokenRequests)
{
    EXPECT_EQ(brokenBy({executed("r", "m"), executed("r", "n"), answer("r", false, "run")}), "at-most-once");
    EXPECT_EQ(brokenBy({executed("r", "m"), answer("r", true, "not-run")}), "true-outcome");
    EXPECT_EQ(brokenBy({answer("r", true, "run")}), "true-outcome");
    EXPECT_EQ(brokenBy({executed("r", "m"), answer("r", true, "run", false)}), "whole-own-answer");
    EXPECT_EQ(brokenBy({at(1, "request", {{"request", "r"}})}), "answered");
    EXPECT_EQ(
        brokenBy({at(1, "leaving", {{"minion", "m"}}), executed("r", "m", 5000), answer("r", true, "run")}),
        "nothing-to-leaving");
}

TEST(HistoryChecker, FindsBrokenTasks)
{
    EXPECT_EQ(
        brokenBy({worker("w", "a"), worker("v", "a"), started(2, "j", 1, "w"), started(3, "j", 2, "v")}),
        "one-place");
    EXPECT_EQ(brokenBy({worker("w", "a"), started(2, "j", 1, "w"), started(3, "k", 1, "w")}),
              "no-overcommitment");
    EXPECT_EQ(brokenBy({worker("w", "a"), at(1, "job-accepted", {{"job", "j"}}), started(2, "j", 1, "w"),
                        ended(3, "j", 1, "w", "done"), published(4, "j"), published(5, "j")}),
              "finished-once");
    EXPECT_EQ(brokenBy({at(1, "job-accepted", {{"job", "j"}})}), "finished-once");
    EXPECT_EQ(brokenBy({worker("w", "a"), started(2, "j", 1, "w"), ended(3, "j", 1, "w", "evicted", 7),
                        started(4, "j", 2, "w", "3")}),
              "resumed-once");
    EXPECT_EQ(brokenBy({worker("w", "a"), at(1, "withdrawn", {{"failureDomain", "a"}}),
                        started(5000, "j", 1, "w")}),
              "no-start-when-withdrawn");
}

TEST(HistoryChecker, KilledWorkerEndsItsAttempts)
{
    EXPECT_EQ(brokenBy({worker("w", "a"), worker("v", "a"), started(2, "j", 1, "w"),
                        at(3, "killed", {{"process", "w"}}), started(4, "j", 2, "v"),
                        ended(5, "j", 2, "v", "done")}),
              "");
}

} // namespace
