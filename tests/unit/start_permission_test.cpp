#include "fleet/job_owner.h"
#include "jobs/job_codec.h"
#include "tests/fakes/fake_fleet.h"
#include "tests/fakes/shared_store.h"
#include "tests/unit/job_fixtures.h"
#include "tests/unit/loop.h"

#include <gtest/gtest.h>

//! Starts that were planned under a permission that ran out while they were written to the journal: the store
//! was slow, or the owner's process paused.
namespace {

using namespace almond;
using kernel::milliseconds;
using kernel::task;

class start_permission_test : public testing::Test
{
protected:
    boost::asio::io_context context;
    fakes::shared_store store;
    fakes::fake_fleet workers;
    jobs::fleet_config_ptr config = std::make_shared<const jobs::fleet_config>(tests::fleetConfig());
    std::shared_ptr<fleet::job_owner> owner;
    milliseconds workersAge{0};
    bool mayRenew = true;
    //! Called while an entry of the journal is being written.
    std::function<void()> duringWrite;

    //! The store's calls, of which a write of the journal takes a while.
    store::store_api slowStore()
    {
        store::store_api api = store.api();
        api.commit = [this, commit = api.commit](store::transaction change) -> task<store::store_reply> {
            const bool journal
                = !change.puts.empty() && change.puts.front().key.starts_with(fleet::job_key::journal);
            if (journal && duringWrite)
                std::exchange(duringWrite, nullptr)();
            if (journal)
                co_await kernel::sleepFor(milliseconds(30));
            co_return co_await commit(std::move(change));
        };
        return api;
    }

    void SetUp() override
    {
        store.put(fleet::election_key::owner, "process");
        fleet::job_owner_dependencies dependencies;
        dependencies.processId = "process";
        dependencies.store = slowStore();
        dependencies.workers = workers.port();
        dependencies.clock = kernel::monotonicNow;
        dependencies.unixClock = kernel::systemNow;
        dependencies.config = [this] { return config; };
        dependencies.configConfirmedAt = kernel::monotonicNow;
        dependencies.workersConfirmedAt = [this] { return kernel::monotonicNow() - workersAge; };
        dependencies.mayRenew = [this] { return mayRenew; };
        owner = std::make_shared<fleet::job_owner>(
            context, std::move(dependencies),
            fleet::won_term{1, store.revisionOf(fleet::election_key::owner), "", {}});
        owner->updateWorker("w", tests::worker("w"));
        tests::runToEnd(context, [](fleet::job_owner *starting) -> task<void> {
            const bool loaded = co_await starting->load();
            EXPECT_TRUE(loaded);
        }(owner.get()));
        owner->start();
    }

    void TearDown() override
    {
        owner->resign("the test is over");
        context.restart();
        context.run_for(std::chrono::milliseconds(700));
    }

    //! Accepts a job and lets \a change happen while its first start is written. Returns the number of
    //! starts.
    std::size_t startsAfter(std::function<void()> change)
    {
        bool changed = false;
        duringWrite = [&changed, change = std::move(change)] {
            change();
            changed = true;
        };
        store.put(fleet::job_key::accepted + std::string(tests::onlyJob),
                  jobs::encodeJob(tests::makeJob(tests::onlyJob, {tests::step(2, 500)})).dump());
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!changed && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(20));
        }
        EXPECT_TRUE(changed);
        context.restart();
        context.run_for(std::chrono::milliseconds(400));
        return workers.starts.size();
    }
};

TEST_F(start_permission_test, NothingStartsOnAWorkerThatHasBegunToLeave)
{
    EXPECT_EQ(startsAfter([this] {
                  jobs::worker_info leaving = tests::worker("w");
                  leaving.leaving = true;
                  owner->updateWorker("w", leaving);
              }),
              0U);
}

TEST_F(start_permission_test, NothingStartsOnAWorkerThatHasLeftTheList)
{
    EXPECT_EQ(startsAfter([this] { owner->updateWorker("w", std::nullopt); }), 0U);
}

TEST_F(start_permission_test, NothingStartsInADomainThatWasWithdrawnMeanwhile)
{
    EXPECT_EQ(startsAfter([this] {
                  auto withdrawn = tests::fleetConfig();
                  withdrawn.withdrawnDomains.insert("west-a");
                  config = std::make_shared<const jobs::fleet_config>(withdrawn);
              }),
              0U);
}

TEST_F(start_permission_test, NothingStartsByAListThatHasBecomeOld)
{
    EXPECT_EQ(startsAfter([this] { workersAge = milliseconds(5000); }), 0U);
}

TEST_F(start_permission_test, NothingIsStartedByAnOwnerThatMayHaveBeenReplaced)
{
    EXPECT_EQ(startsAfter([this] { mayRenew = false; }), 0U);
}

//! What was not started waits and starts once it may.
TEST_F(start_permission_test, TasksStartOnceThePermissionIsBack)
{
    ASSERT_EQ(startsAfter([this] { workersAge = milliseconds(5000); }), 0U);
    workersAge = milliseconds(0);
    owner->wake();
    context.restart();
    context.run_for(std::chrono::milliseconds(500));
    EXPECT_EQ(workers.starts.size(), 2U);
}

} // namespace
