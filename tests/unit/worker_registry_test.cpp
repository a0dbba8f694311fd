#include "fleet/worker_registry.h"

#include "tests/unit/job_fixtures.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <stdexcept>

//! A worker has one entry, and so one session and one polling loop, as long as anything acts on it.
namespace {

using namespace almond;
using tests::at;

struct registry_fixture
{
    boost::asio::io_context context;
    fleet::worker_registry registry;

    fleet::managed_worker_ptr add(const std::string &id)
    {
        return registry.add(context.get_executor(), jobs::openSession(tests::worker(id), at(0)), at(0));
    }

    void removeUnused()
    {
        registry.removeUnused([](const fleet::managed_worker &) { return true; });
    }
};

TEST(WorkerRegistry, AWorkerThatSomethingActsOnIsFoundAgain)
{
    registry_fixture fixture;
    const fleet::managed_worker_ptr worker = fixture.add("w");
    fixture.removeUnused();
    EXPECT_EQ(fixture.registry.findId("w"), worker);
    EXPECT_EQ(fixture.registry.findIncarnation("w@1"), worker);
}

TEST(WorkerRegistry, AWorkerThatNothingActsOnIsRemoved)
{
    registry_fixture fixture;
    fixture.add("w");
    const fleet::managed_worker_ptr other = fixture.add("v");
    fixture.removeUnused();
    EXPECT_EQ(fixture.registry.findId("w"), nullptr);
    EXPECT_EQ(fixture.registry.findIncarnation("w@1"), nullptr);
    EXPECT_EQ(fixture.registry.size(), 1U);
}

TEST(WorkerRegistry, AWorkerThatIsStillNeededStays)
{
    registry_fixture fixture;
    fixture.add("w");
    fixture.registry.removeUnused([](const fleet::managed_worker &) { return false; });
    EXPECT_NE(fixture.registry.findId("w"), nullptr);
}

TEST(WorkerRegistry, ASecondSessionOfAWorkerIsAnError)
{
    registry_fixture fixture;
    const fleet::managed_worker_ptr worker = fixture.add("w");
    EXPECT_THROW(fixture.add("w"), std::logic_error);
    EXPECT_EQ(fixture.registry.findIncarnation("w@1"), worker);
}

TEST(WorkerRegistry, ARestartedWorkerKeepsItsEntry)
{
    registry_fixture fixture;
    const fleet::managed_worker_ptr worker = fixture.add("w");
    fixture.registry.restart(worker, 2);
    EXPECT_EQ(fixture.registry.findId("w"), worker);
    EXPECT_EQ(fixture.registry.findIncarnation("w@2"), worker);
    EXPECT_EQ(fixture.registry.findIncarnation("w@1"), nullptr);
    EXPECT_EQ(fixture.registry.size(), 1U);
}

} // namespace
