#include "tests/unit/owner_fixture.h"

//! A new owner lists the jobs while callers hand jobs in and cancel them. The listing may contain the
//! cancellation of a job that was accepted behind the page already read; the job itself comes with the first
//! watch.
namespace {

using namespace almond;
using kernel::milliseconds;
using kernel::task;

class cancelled_while_listing_test : public tests::owner_fixture
{
protected:
    static constexpr const char *listedJob = "00000000000000ff";

    //! A store whose first page of the jobs is followed by another one, and by a job and its cancellation.
    store::store_api ownersStore() override
    {
        store::store_api api = store.api();
        api.page = [this, page = api.page](std::string prefix, std::string after) -> task<store::page_reply> {
            store::page_reply reply = co_await page(prefix, after);
            if (prefix == fleet::job_key::prefix && after.empty()) {
                reply.more = true;
                accept(tests::makeJob(tests::onlyJob, {tests::step(2, 500)}));
                store.put(fleet::job_key::cancelled + std::string(tests::onlyJob), "{}");
            }
            co_return reply;
        };
        // The owner has taken over what was listed before the first watch is answered.
        api.watch = [watch = api.watch](std::string prefix, std::int64_t after,
                                        milliseconds wait) -> task<store::watch_reply> {
            co_await kernel::sleepFor(milliseconds(50));
            co_return co_await watch(std::move(prefix), after, wait);
        };
        return api;
    }

    void SetUp() override
    {
        accept(tests::makeJob(listedJob, {tests::step(1, 500)}));
        owner_fixture::SetUp();
    }
};

TEST_F(cancelled_while_listing_test, CancelledJobIsNotStarted)
{
    ASSERT_TRUE(runUntil([this] { return owner->statusOf(tests::onlyJob).has_value(); }));
    runFor(milliseconds(300));
    EXPECT_EQ(owner->statusOf(tests::onlyJob), jobs::job_status::cancelled);
    ASSERT_EQ(workers.starts.size(), 1U);
    EXPECT_EQ(workers.starts.front().task, jobs::formatTask({listedJob, 0, 0, 0}));
}

} // namespace
