#include "tests/unit/session_orders_model.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <deque>
#include <unordered_set>

//! All orders of events between an owner and a worker, up to a number of each kind of event. A run that the
//! owner counts as over never runs at that moment or later, and no two runs are at once.
//!
//! Not covered: stop orders that are refused, and clocks that drift.
namespace {

using namespace almond;
using tests::event;
using tests::event_budget;
using tests::model_state;

struct search_step
{
    std::size_t before = 0;
    event which{};
    std::size_t index = 0;
};

struct search_result
{
    std::size_t states = 0;
    std::size_t countedAsOver = 0;
    //! The shortest order of events that breaks the promise; empty if there is none.
    std::string violation;
};

std::string describePath(const std::vector<search_step> &steps, std::size_t last)
{
    std::vector<std::size_t> path;
    for (std::size_t place = last; place != 0; place = steps[place].before)
        path.push_back(place);
    std::string text;
    for (auto place = path.rbegin(); place != path.rend(); ++place)
        text += std::string(tests::nameOf(steps[*place].which)) + " " + std::to_string(steps[*place].index)
            + "; ";
    return text;
}

//! Searches breadth first, so that the order that it finds is a shortest one.
search_result search(const event_budget &budget)
{
    constexpr std::size_t mostParts = 3;
    search_result result;
    std::vector<search_step> steps(1);
    std::unordered_set<std::string> seen;
    std::deque<std::pair<std::size_t, model_state>> open;
    open.emplace_back(0, tests::makeModel(budget));
    while (!open.empty()) {
        const auto [place, state] = std::move(open.front());
        open.pop_front();
        for (int number = 0; number < tests::eventCount; ++number) {
            for (std::size_t index = 0; index < mostParts; ++index) {
                const event which = static_cast<event>(number);
                std::optional<model_state> next = tests::step(state, which, index);
                if (!next || !seen.insert(tests::describe(*next)).second)
                    continue;
                steps.push_back({place, which, index});
                if (!next->violation.empty()) {
                    result.violation = next->violation + ": " + describePath(steps, steps.size() - 1);
                    return result;
                }
                result.countedAsOver += next->countedAsOver.empty() ? 0 : 1;
                open.emplace_back(steps.size() - 1, std::move(*next));
            }
        }
    }
    result.states = seen.size();
    return result;
}

void expectNoViolation(const event_budget &budget)
{
    const search_result result = search(budget);
    EXPECT_EQ(result.violation, "");
    // A search in which nothing is ever counted as over would prove nothing.
    EXPECT_GT(result.countedAsOver, 0U);
    testing::Test::RecordProperty("states", std::to_string(result.states));
    std::printf("%zu states, %zu of them with a run counted as over\n", result.states, result.countedAsOver);
}

TEST(SessionOrders, LostResponses)
{
    event_budget budget;
    budget.polls = 3;
    budget.lostResponses = 2;
    expectNoViolation(budget);
}

TEST(SessionOrders, LapsedEntry)
{
    event_budget budget;
    budget.polls = 3;
    budget.lapses = 1;
    budget.lostResponses = 1;
    budget.failures = 1;
    expectNoViolation(budget);
}

TEST(SessionOrders, RestartedWorker)
{
    event_budget budget;
    budget.polls = 3;
    budget.restarts = 1;
    budget.lostResponses = 1;
    expectNoViolation(budget);
}

TEST(SessionOrders, RestartedWorkerAfterAFailedRun)
{
    event_budget budget;
    budget.polls = 3;
    budget.restarts = 1;
    budget.lostResponses = 1;
    budget.failures = 1;
    expectNoViolation(budget);
}

TEST(SessionOrders, RestartedWorkerAfterTwoFailedRuns)
{
    event_budget budget;
    budget.polls = 3;
    budget.restarts = 1;
    budget.failures = 2;
    expectNoViolation(budget);
}

TEST(SessionOrders, EndedLeases)
{
    event_budget budget;
    budget.polls = 3;
    budget.pauses = 1;
    budget.lostResponses = 2;
    expectNoViolation(budget);
}

//! A lease by the clock of the earlier incarnation lasted longer at the next one than the owner counted,
//! whose runs went on beside their successors.
TEST(SessionOrders, RestartedWorkerWithEndedLeases)
{
    event_budget budget;
    budget.polls = 2;
    budget.restarts = 1;
    budget.pauses = 1;
    budget.lostResponses = 1;
    expectNoViolation(budget);
}

TEST(SessionOrders, RestartedWorkerWithALapsedEntry)
{
    event_budget budget;
    budget.polls = 2;
    budget.restarts = 1;
    budget.lapses = 1;
    budget.lostResponses = 1;
    expectNoViolation(budget);
}

TEST(SessionOrders, RefusedStart)
{
    event_budget budget;
    budget.polls = 2;
    budget.lostResponses = 1;
    budget.lateRefusals = 1;
    budget.failures = 1;
    expectNoViolation(budget);
}

//! Orders without a response that the next incarnation carries out. A run whose repeated start order the
//! earlier incarnation had accepted was counted as lost by a list from before its stop, or without a stop.
TEST(SessionOrders, LateOrderAcrossARestart)
{
    event_budget budget;
    budget.polls = 3;
    budget.restarts = 1;
    budget.lostResponses = 1;
    budget.lateOrdersAcrossRestarts = 1;
    budget.latePollsAcrossRestarts = 1;
    expectNoViolation(budget);
}

//! A start order without a response that the next incarnation carries out, where its run has failed before.
TEST(SessionOrders, LateOrderAcrossARestartAfterAFailedRun)
{
    event_budget budget;
    budget.polls = 3;
    budget.restarts = 1;
    budget.lostResponses = 1;
    budget.failures = 1;
    budget.lateOrdersAcrossRestarts = 1;
    expectNoViolation(budget);
}

//! An acknowledgement without a response that the next incarnation carries out.
TEST(SessionOrders, LatePollAcrossARestartAfterTwoFailedRuns)
{
    event_budget budget;
    budget.runs = 3;
    budget.startAttempts = 1;
    budget.polls = 3;
    budget.restarts = 1;
    budget.lostResponses = 1;
    budget.failures = 2;
    budget.latePollsAcrossRestarts = 1;
    expectNoViolation(budget);
}

} // namespace
