#include "fleet/caller_service.h"
#include "tests/unit/owner_fixture.h"

//! A cancelling that is acknowledged while the submission of its job is still under way: no task of the job
//! may start afterwards, wherever and whenever the submission arrives.
namespace {

using namespace almond;
using fleet::call_outcome;
using kernel::milliseconds;
using kernel::task;

constexpr milliseconds callTimeout{1000};

class cancelled_submission_test : public tests::owner_fixture
{
protected:
    wire::peer_link peers{context};
    //! Writes of accepted jobs that got no response and take effect later.
    std::vector<std::function<void()>> lateWrites;
    //! Number of next acceptances that the store carries out late.
    int acceptancesToDelay = 0;
    int leasesGranted = 0;

    store::store_api gatewaysStore()
    {
        store::store_api api = store.api();
        api.create = [this, create = api.create](std::string key, std::string value,
                                                 std::string lease) -> task<store::store_reply> {
            if (acceptancesToDelay == 0)
                co_return co_await create(std::move(key), std::move(value), std::move(lease));
            --acceptancesToDelay;
            lateWrites.emplace_back([this, key, value] {
                if (store.revisionOf(key) == 0)
                    store.put(key, value);
            });
            co_return store::store_reply{store::store_status::unavailable, "", 0};
        };
        api.grantLease = [this, grant = api.grantLease](milliseconds ttl) -> task<store::store_reply> {
            ++leasesGranted;
            co_return co_await grant(ttl);
        };
        return api;
    }

    fleet::caller_service gateway()
    {
        fleet::caller_service_dependencies dependencies;
        dependencies.store = gatewaysStore();
        dependencies.clock = kernel::monotonicNow;
        dependencies.unixClock = kernel::systemNow;
        dependencies.peers = &peers;
        dependencies.owner = [] { return fleet::owner_view(); };
        dependencies.local = [this] { return owner; };
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

    call_outcome submit(fleet::caller_service &at)
    {
        return await(at.submit(tests::makeJob(tests::onlyJob, {tests::step(2, 500)}), callTimeout)).outcome;
    }

    call_outcome cancel(fleet::caller_service &at) { return await(at.cancel(tests::onlyJob, callTimeout)); }

    call_outcome statusAt(fleet::caller_service &at)
    {
        return await(at.status(tests::onlyJob, callTimeout)).outcome;
    }

    void carryOutLateWrites()
    {
        for (const std::function<void()> &write : std::exchange(lateWrites, {}))
            write();
        runFor(milliseconds(300));
    }

    void replaceOwner()
    {
        owner->resign("replaced");
        startOwner(2, [this] { owner->updateWorker("w", tests::worker("w")); });
        runFor(milliseconds(300));
    }
};

//! Guards against a job that runs although its cancelling was answered with "no such job": its submission was
//! at a host that stood still meanwhile.
TEST_F(cancelled_submission_test, SubmissionReadAfterTheCancellingStartsNothing)
{
    fleet::caller_service frozen = gateway();
    fleet::caller_service other = gateway();
    EXPECT_EQ(cancel(other), call_outcome::absent);
    EXPECT_NE(submit(frozen), call_outcome::ok);
    // A caller without an answer submits the job again.
    EXPECT_NE(submit(other), call_outcome::ok);
    runFor(milliseconds(300));
    replaceOwner();
    EXPECT_EQ(workers.starts.size(), 0U);
    EXPECT_EQ(statusAt(other), call_outcome::absent);
}

//! The same for a submission whose write the store carries out seconds later.
TEST_F(cancelled_submission_test, AcceptanceWrittenAfterTheCancellingStartsNothing)
{
    fleet::caller_service slow = gateway();
    fleet::caller_service other = gateway();
    // The store doesn't respond until the time of the request is over.
    acceptancesToDelay = 100;
    EXPECT_EQ(submit(slow), call_outcome::unknown);
    acceptancesToDelay = 0;
    EXPECT_EQ(cancel(other), call_outcome::absent);
    carryOutLateWrites();
    replaceOwner();
    EXPECT_EQ(workers.starts.size(), 0U);
    EXPECT_EQ(statusAt(other), call_outcome::absent);
}

//! The same for an owner that is elected between the cancelling and the late write.
TEST_F(cancelled_submission_test, AcceptanceWrittenUnderTheNextOwnerStartsNothing)
{
    fleet::caller_service slow = gateway();
    fleet::caller_service other = gateway();
    acceptancesToDelay = 100;
    EXPECT_EQ(submit(slow), call_outcome::unknown);
    acceptancesToDelay = 0;
    EXPECT_EQ(cancel(other), call_outcome::absent);
    replaceOwner();
    carryOutLateWrites();
    EXPECT_EQ(workers.starts.size(), 0U);
}

//! Guards against a cancelling that goes unnoticed since the job was accepted after it was looked for.
TEST_F(cancelled_submission_test, AcceptanceBetweenReadAndWriteOfTheCancellingIsCancelled)
{
    fleet::caller_service service = gateway();
    store::store_api api = gatewaysStore();
    bool accepted = false;
    api.get = [this, get = api.get, &accepted](std::string key) -> task<store::store_reply> {
        const store::store_reply reply = co_await get(std::move(key));
        if (!std::exchange(accepted, true))
            accept(tests::makeJob(tests::onlyJob, {tests::step(2, 500)}));
        co_return reply;
    };
    fleet::caller_service_dependencies dependencies;
    dependencies.store = api;
    dependencies.clock = kernel::monotonicNow;
    dependencies.unixClock = kernel::systemNow;
    dependencies.peers = &peers;
    dependencies.owner = [] { return fleet::owner_view(); };
    dependencies.local = [this] { return owner; };
    fleet::caller_service cancelling(std::move(dependencies));
    EXPECT_EQ(cancel(cancelling), call_outcome::ok);
    EXPECT_TRUE(runUntil([this] { return owner->statusOf(tests::onlyJob) == jobs::job_status::cancelled; }));
}

//! Guards against ids of jobs that never come and stay in the store for good.
TEST_F(cancelled_submission_test, TombstonesOfOneTimeShareALeaseThatRemovesThem)
{
    fleet::caller_service service = gateway();
    constexpr std::array ids{"0000000000000011", "0000000000000012", "0000000000000013"};
    for (const char *id : ids)
        EXPECT_EQ(await(service.cancel(id, callTimeout)), call_outcome::absent);
    EXPECT_EQ(leasesGranted, 1);
    for (const char *id : ids)
        EXPECT_GT(store.revisionOf(fleet::job_key::accepted + std::string(id)), 0);
    await(store.api().revokeLease("1"));
    for (const char *id : ids) {
        EXPECT_EQ(store.revisionOf(fleet::job_key::accepted + std::string(id)), 0);
        EXPECT_EQ(store.revisionOf(fleet::job_key::cancelled + std::string(id)), 0);
    }
}

//! Guards against an acknowledgement that nothing durable stands behind.
TEST_F(cancelled_submission_test, CancellingWithoutTheStoreIsRefused)
{
    fleet::caller_service service = gateway();
    store.down = true;
    EXPECT_EQ(cancel(service), call_outcome::refused);
    store.down = false;
    EXPECT_EQ(submit(service), call_outcome::ok);
    EXPECT_TRUE(runUntil([this] { return workers.starts.size() == 2; }));
}

//! Guards against a repeated submission that is reported as cancelled before it was accepted, or a cancelled
//! job that is shown as unknown: it was accepted first.
TEST_F(cancelled_submission_test, RepeatedSubmissionOfACancelledJobStaysAccepted)
{
    fleet::caller_service service = gateway();
    EXPECT_EQ(submit(service), call_outcome::ok);
    EXPECT_EQ(cancel(service), call_outcome::ok);
    EXPECT_EQ(submit(service), call_outcome::ok);
    EXPECT_TRUE(runUntil([this] { return owner->statusOf(tests::onlyJob) == jobs::job_status::cancelled; }));
    EXPECT_EQ(statusAt(service), call_outcome::ok);
}

} // namespace
