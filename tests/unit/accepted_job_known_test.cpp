#include "fleet/caller_service.h"
#include "tests/unit/owner_fixture.h"

//! An accepted job is known, with the right state, whatever happens to the owner and the store.
namespace {

using namespace almond;
using fleet::call_outcome;
using jobs::job_status;
using kernel::milliseconds;
using kernel::task;

constexpr const char *firstJob = "0000000000000001";
constexpr const char *lastJob = "00000000000000ff";

class accepted_job_known_test : public tests::owner_fixture
{
protected:
    wire::peer_link peers{context};
    //! Called after a page of the jobs has been read, but not yet returned.
    std::function<void(store::page_reply &)> afterPage;

    store::store_api ownersStore() override
    {
        store::store_api api = store.api();
        api.page = [this, page = api.page](std::string prefix, std::string after) -> task<store::page_reply> {
            store::page_reply reply = co_await page(prefix, after);
            if (prefix == fleet::job_key::prefix && afterPage)
                std::exchange(afterPage, nullptr)(reply);
            co_return reply;
        };
        return api;
    }

    //! Number of next acceptances that are written without a response, and whether the store refuses all
    //! calls after the last of them.
    int responsesToLose = 0;
    bool isDownAfterwards = false;

    //! The store as a gateway sees it.
    store::store_api gatewaysStore()
    {
        store::store_api api = store.api();
        api.create = [this, create = api.create](std::string key, std::string value,
                                                 std::string lease) -> task<store::store_reply> {
            const store::store_reply reply
                = co_await create(std::move(key), std::move(value), std::move(lease));
            if (responsesToLose == 0)
                co_return reply;
            --responsesToLose;
            store.down = isDownAfterwards;
            co_return store::store_reply{store::store_status::unavailable, "", 0};
        };
        return api;
    }

    //! The calls of one gateway; \a isOwner if the owner is in the same process.
    fleet::caller_service gateway(bool isOwner = true)
    {
        fleet::caller_service_dependencies dependencies;
        dependencies.store = gatewaysStore();
        dependencies.clock = kernel::monotonicNow;
        dependencies.unixClock = kernel::systemNow;
        dependencies.peers = &peers;
        dependencies.owner = [] { return fleet::owner_view(); };
        dependencies.local = [this, isOwner] { return isOwner ? owner : nullptr; };
        return fleet::caller_service(std::move(dependencies));
    }

    template<typename T>
    T await(task<T> work)
    {
        std::optional<T> result;
        tests::runToEnd(context, [](task<T> awaited, std::optional<T> *out) -> task<void> {
            *out = co_await std::move(awaited);
        }(std::move(work), &result));
        return *result;
    }

    call_outcome submit(fleet::caller_service &at, const char *id)
    {
        return await(at.submit(tests::makeJob(id, {tests::step(1, 500)}), milliseconds(1000))).outcome;
    }

    fleet::status_result statusAt(fleet::caller_service &at, const char *id)
    {
        return await(at.status(id, milliseconds(1000)));
    }

    //! Starts the owner of the term \a term after the earlier one was killed.
    void replaceKilledOwner(std::uint64_t term)
    {
        owner->resign("killed");
        startOwner(term, [this] { owner->updateWorker("w", tests::worker("w")); });
    }

    std::size_t startsOf(const char *id) const
    {
        return static_cast<std::size_t>(
            std::count_if(workers.starts.begin(), workers.starts.end(),
                          [id](const auto &start) { return jobs::parseTask(start.task)->job == id; }));
    }

    bool isStatus(const char *id, job_status wanted) const { return owner->statusOf(id) == wanted; }
};

//! Guards against a job that is lost since it was accepted behind the page that a new owner has just read.
TEST_F(accepted_job_known_test, AJobAcceptedDuringTheListingOfANewOwner)
{
    accept(tests::makeJob(lastJob, {tests::step(1, 500)}));
    fleet::caller_service service = gateway();
    afterPage = [this](store::page_reply &reply) {
        reply.more = true;
        accept(tests::makeJob(firstJob, {tests::step(1, 500)}));
    };
    replaceKilledOwner(2);
    EXPECT_EQ(statusAt(service, firstJob).outcome, call_outcome::ok);
    EXPECT_TRUE(runUntil([this] { return startsOf(firstJob) == 1 && startsOf(lastJob) == 1; }));
    workers.endAll(jobs::run_end::done);
    EXPECT_TRUE(runUntil([this] { return isStatus(firstJob, job_status::completed); }));
    EXPECT_EQ(statusAt(service, firstJob).status, job_status::completed);
}

//! Guards against jobs that the owner forgets, or whose state it takes back, when the history of the store is
//! compacted under its watch and under its listing.
TEST_F(accepted_job_known_test, JobsAcceptedAroundACompactedHistory)
{
    fleet::caller_service service = gateway();
    ASSERT_EQ(submit(service, firstJob), call_outcome::ok);
    ASSERT_TRUE(runUntil([this] { return startsOf(firstJob) == 1; }));
    workers.endAll(jobs::run_end::done);
    ASSERT_TRUE(runUntil([this] { return isStatus(firstJob, job_status::completed); }));
    afterPage = [this](store::page_reply &reply) {
        reply.more = true;
        accept(tests::makeJob("0000000000000002", {tests::step(1, 500)}));
        store.compactHistory();
    };
    accept(tests::makeJob(lastJob, {tests::step(1, 500)}));
    store.compactHistory();
    EXPECT_TRUE(runUntil([this] { return startsOf(lastJob) == 1 && startsOf("0000000000000002") == 1; }));
    EXPECT_FALSE(afterPage) << "the jobs were not listed again";
    EXPECT_TRUE(isStatus(firstJob, job_status::completed));
    EXPECT_EQ(startsOf(firstJob), 1U);
}

//! Guards against a job that is refused or accepted twice since the response to its write was lost.
TEST_F(accepted_job_known_test, AJobWhoseAcceptanceGotNoResponseIsAcceptedOnce)
{
    fleet::caller_service service = gateway();
    responsesToLose = 2;
    EXPECT_EQ(submit(service, firstJob), call_outcome::ok);
    EXPECT_EQ(responsesToLose, 0);
    EXPECT_EQ(statusAt(service, firstJob).outcome, call_outcome::ok);
    EXPECT_TRUE(runUntil([this] { return startsOf(firstJob) == 1; }));
    runFor(milliseconds(300));
    EXPECT_EQ(startsOf(firstJob), 1U);
}

//! Guards against a job that is reported as refused although the lost response belonged to a write that took
//! effect: the caller may then hand the work in elsewhere.
TEST_F(accepted_job_known_test, AJobWhoseAcceptanceIsUnknownIsNotReportedAsRefused)
{
    fleet::caller_service service = gateway(false);
    responsesToLose = 1;
    isDownAfterwards = true;
    EXPECT_EQ(submit(service, firstJob), call_outcome::unknown);
    EXPECT_EQ(statusAt(service, firstJob).outcome, call_outcome::refused) << "not absent";
    store.down = false;
    fleet::caller_service other = gateway();
    EXPECT_EQ(submit(other, firstJob), call_outcome::ok);
    EXPECT_TRUE(runUntil([this] { return startsOf(firstJob) == 1; }));
}

//! Guards against a job that starts anew, or is shown as queued, after it was handed in again at another
//! node.
TEST_F(accepted_job_known_test, ACompletedJobHandedInAgainAtAnotherNodeStaysCompleted)
{
    fleet::caller_service service = gateway();
    fleet::caller_service other = gateway();
    ASSERT_EQ(submit(service, firstJob), call_outcome::ok);
    ASSERT_TRUE(runUntil([this] { return startsOf(firstJob) == 1; }));
    workers.endAll(jobs::run_end::done);
    ASSERT_TRUE(runUntil([this] { return isStatus(firstJob, job_status::completed); }));
    EXPECT_EQ(submit(other, firstJob), call_outcome::ok);
    runFor(milliseconds(300));
    replaceKilledOwner(2);
    EXPECT_EQ(submit(other, firstJob), call_outcome::ok);
    runFor(milliseconds(300));
    EXPECT_EQ(statusAt(other, firstJob).status, job_status::completed);
    EXPECT_EQ(startsOf(firstJob), 1U);
}

//! Guards against a job that is lost with all processes, killed right after the acknowledgement.
TEST_F(accepted_job_known_test, AJobAcknowledgedRightBeforeAllProcessesAreKilled)
{
    owner->resign("killed");
    {
        fleet::caller_service service = gateway(false);
        ASSERT_EQ(submit(service, firstJob), call_outcome::ok);
    }
    fleet::caller_service next = gateway(false);
    EXPECT_EQ(statusAt(next, firstJob).outcome, call_outcome::refused) << "accepted, its state unknown";
    startOwner(2, [this] { owner->updateWorker("w", tests::worker("w")); });
    fleet::caller_service service = gateway();
    EXPECT_EQ(statusAt(service, firstJob).outcome, call_outcome::ok);
    EXPECT_TRUE(runUntil([this] { return startsOf(firstJob) == 1; }));
}

//! Guards against a job that counts as failed by ends that are not its fault: runs that were stopped, lost,
//! or not started.
TEST_F(accepted_job_known_test, OnlyFailedRunsCountAsAttempts)
{
    auto strict = tests::fleetConfig();
    strict.queues["checks"].attempts = 1;
    strict.version = 2;
    config = std::make_shared<const jobs::fleet_config>(strict);
    fleet::caller_service service = gateway();
    ASSERT_EQ(submit(service, firstJob), call_outcome::ok);
    for (std::size_t run = 1; run <= 6; ++run) {
        ASSERT_TRUE(runUntil([&] { return startsOf(firstJob) == run; }));
        // Under a new owner as well.
        if (run == 4)
            replaceKilledOwner(2);
        workers.endAll(run % 2 == 0 ? jobs::run_end::stopped : jobs::run_end::lost);
    }
    ASSERT_TRUE(runUntil([this] { return startsOf(firstJob) == 7; }));
    EXPECT_TRUE(isStatus(firstJob, job_status::running));
    workers.endAll(jobs::run_end::failed);
    EXPECT_TRUE(runUntil([this] { return isStatus(firstJob, job_status::failed); }));
}

} // namespace
