#pragma once

#include "fleet/job_owner.h"
#include "jobs/job_codec.h"
#include "tests/fakes/fake_fleet.h"
#include "tests/fakes/shared_store.h"
#include "tests/unit/job_fixtures.h"
#include "tests/unit/loop.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>

namespace almond::tests {

//! An owner that has begun its term, with the worker "w", before a store and a fleet in memory.
class owner_fixture : public testing::Test
{
protected:
    boost::asio::io_context context;
    fakes::shared_store store;
    fakes::fake_fleet workers;
    jobs::fleet_config_ptr config = std::make_shared<const jobs::fleet_config>(fleetConfig());
    std::shared_ptr<fleet::job_owner> owner;
    kernel::milliseconds workersAge{0};
    //! What the election tells the next owner of the time without one.
    kernel::time_point unattendedSince{};
    bool mayRenew = true;
    //! Of the next owner.
    fleet::owner_rules rules;
    fleet::owner_metrics *metrics = nullptr;
    //! Called whenever the owner checks whether it may renew leases; may block to simulate a pause.
    std::function<void()> onRenewalCheck;

    //! The store as the owner sees it.
    virtual store::store_api ownersStore() { return store.api(); }

    //! The workers as the owner sees them.
    virtual jobs::worker_api ownersWorkers() { return workers.port(); }

    void SetUp() override
    {
        startOwner(1, [this] { owner->updateWorker("w", worker("w")); });
    }

    //! Starts an owner for the term \a term; \a listWorkers tells it the workers.
    void startOwner(std::uint64_t term, const std::function<void()> &listWorkers)
    {
        store.put(fleet::election_key::owner, "process");
        fleet::job_owner_dependencies dependencies;
        dependencies.processId = "process";
        dependencies.store = ownersStore();
        dependencies.workers = ownersWorkers();
        dependencies.metrics = metrics;
        dependencies.rules = rules;
        dependencies.clock = kernel::monotonicNow;
        dependencies.unixClock = kernel::systemNow;
        dependencies.config = [this] { return config; };
        dependencies.configConfirmedAt = kernel::monotonicNow;
        dependencies.workersConfirmedAt = [this] { return kernel::monotonicNow() - workersAge; };
        dependencies.mayRenew = [this] {
            if (onRenewalCheck)
                onRenewalCheck();
            return mayRenew;
        };
        owner = std::make_shared<fleet::job_owner>(
            context, std::move(dependencies),
            fleet::won_term{term, store.revisionOf(fleet::election_key::owner), "", {}, unattendedSince});
        listWorkers();
        runToEnd(context, [](fleet::job_owner *starting) -> kernel::task<void> {
            const bool loaded = co_await starting->load();
            EXPECT_TRUE(loaded);
        }(owner.get()));
        owner->start();
    }

    void TearDown() override
    {
        owner->resign("the test is over");
        runFor(kernel::milliseconds(700));
    }

    void accept(const jobs::job &job)
    {
        store.put(fleet::job_key::accepted + job.id.str(), jobs::encodeJob(job).dump());
    }

    void runFor(kernel::milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    bool runUntil(const std::function<bool()> &reached)
    {
        constexpr std::chrono::seconds timeout{10};
        const auto end = std::chrono::steady_clock::now() + timeout;
        while (!reached() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(20));
        }
        return reached();
    }
};

} // namespace almond::tests
