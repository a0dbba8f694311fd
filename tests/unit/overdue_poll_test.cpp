#include "tests/fakes/measured_fleet.h"
#include "tests/unit/owner_fixture.h"

#include <algorithm>
#include <vector>

//! Polls beside one whose response is overdue.
namespace {

using namespace almond;
using kernel::milliseconds;

constexpr const char *servingJob = "00000000000000aa";
constexpr const char *bestEffortJob = "00000000000000ab";

class overdue_poll_test : public tests::owner_fixture
{
protected:
    static constexpr milliseconds orderTimeout{800};

    struct sent_poll
    {
        jobs::poll_order order;
        kernel::time_point at{};
    };

    fakes::measured_fleet measured;
    const std::string servingTask = jobs::formatTask({servingJob, 0, 0, 0});
    const std::string bestEffortTask = jobs::formatTask({bestEffortJob, 0, 0, 0});
    std::vector<sent_poll> polls;
    int underWay = 0;
    int mostUnderWay = 0;
    //! Number of next polls that get no response.
    int pollsToLose = 0;
    //! Number of next polls whose response arrives only at the end of their time limit.
    int pollsToDelay = 0;

    jobs::worker_api ownersWorkers() override
    {
        jobs::worker_api port = measured.port(workers.port());
        port.poll = [this, poll = port.poll](jobs::order_target target,
                                             jobs::poll_order order) -> kernel::task<jobs::poll_response> {
            polls.push_back({order, kernel::monotonicNow()});
            mostUnderWay = std::max(mostUnderWay, ++underWay);
            const bool isLost = pollsToLose > 0;
            const bool isDelayed = !isLost && pollsToDelay > 0;
            pollsToLose -= isLost ? 1 : 0;
            pollsToDelay -= isDelayed ? 1 : 0;
            jobs::poll_response response;
            if (!isLost)
                response = co_await poll(std::move(target), order);
            if (isLost || isDelayed)
                co_await kernel::sleepFor(order.wait + orderTimeout);
            --underWay;
            co_return response;
        };
        return port;
    }

    void acceptServingJob()
    {
        jobs::step_spec serving = tests::step(1, 6000);
        serving.longRunning = true;
        serving.image = "frail";
        serving.tailLatencyTarget = milliseconds(50);
        measured.measurements[servingTask] = 20;
        accept(tests::makeJob(servingJob, {serving}));
    }

    void acceptBestEffortJob()
    {
        jobs::step_spec bestEffort = tests::step(1, 4000);
        bestEffort.bestEffort = true;
        bestEffort.image = "heavy";
        bestEffort.declaredDuration = milliseconds(100);
        measured.measurements[bestEffortTask] = 4000;
        accept(tests::makeJob(bestEffortJob, {bestEffort}));
    }

    void startBoth()
    {
        acceptServingJob();
        acceptBestEffortJob();
        ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 2; }));
        runFor(milliseconds(300));
        ASSERT_EQ(owner->counters().extraPolls, 0U);
    }

    //! Runs until the next poll is under way, and returns its place in polls.
    std::size_t awaitPoll()
    {
        const std::size_t place = polls.size();
        EXPECT_TRUE(runUntil([&] { return polls.size() > place; }));
        return place;
    }
};

//! A poll without a response blocked the next one until it timed out, and the owner knew nothing of a serving
//! task beside best-effort tasks for that time (HARM).
TEST_F(overdue_poll_test, AnOverduePollIsFollowedByAnotherOne)
{
    constexpr milliseconds bound{600};
    startBoth();
    pollsToLose = 1;
    const sent_poll lost = polls.at(awaitPoll());
    const sent_poll next = polls.at(awaitPoll());
    EXPECT_LE(next.at - lost.at, lost.order.wait + bound);
    EXPECT_EQ(next.order.wait, milliseconds(0));
    EXPECT_EQ(next.order.acknowledge, 0U);
    EXPECT_FALSE(next.order.leaseEndMs) << "the lease of a lost worker ends later";
}

//! The connections to a worker are limited: two extra polls are under way at most, and each waits for its
//! timeout.
TEST_F(overdue_poll_test, AtMostTwoExtraPollsAreUnderWay)
{
    constexpr milliseconds time{3500};
    startBoth();
    pollsToLose = 1000;
    const std::size_t first = awaitPoll();
    runFor(time);
    EXPECT_EQ(mostUnderWay, 3);
    const auto mostPolls = static_cast<std::size_t>(mostUnderWay * (time / orderTimeout + 1));
    EXPECT_LE(polls.size() - first, mostPolls);
}

TEST_F(overdue_poll_test, WithoutBestEffortTasksThePollIsAwaited)
{
    acceptServingJob();
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 1; }));
    runFor(milliseconds(300));
    pollsToLose = 1;
    const sent_poll lost = polls.at(awaitPoll());
    const sent_poll next = polls.at(awaitPoll());
    EXPECT_GE(next.at - lost.at, lost.order.wait + orderTimeout);
    EXPECT_EQ(mostUnderWay, 1);
}

//! A list that arrives after a newer one shows runs that have ended since, and not those that were started.
TEST_F(overdue_poll_test, AListThatANewerOneHasOvertakenChangesNothing)
{
    startBoth();
    pollsToDelay = 1;
    const sent_poll delayed = polls.at(awaitPoll());
    runFor(milliseconds(50));
    workers.end("w", bestEffortTask, 1, jobs::run_end::done);
    ASSERT_TRUE(runUntil([this] { return owner->statusOf(bestEffortJob) == jobs::job_status::completed; }));
    EXPECT_LT(kernel::monotonicNow() - delayed.at, delayed.order.wait + orderTimeout);
    runFor(orderTimeout);
    EXPECT_GE(owner->counters().extraPolls, 1U);
    EXPECT_EQ(owner->counters().stops, 0U) << "stopped a run that had ended";
    EXPECT_EQ(workers.starts.size(), 2U);
}

} // namespace
