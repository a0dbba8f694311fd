#include "config/config_follower.h"
#include "tests/fakes/fake_store.h"
#include "tests/unit/loop.h"

#include <gtest/gtest.h>

//! The configuration version of a process: it follows the journal and never decreases, also with older peers,
//! snapshots and store outages.
namespace {

using namespace almond;
using config::config_view;
using config::config_view_ptr;
using json = nlohmann::json;

constexpr const char *firstPatch = R"({"failureDomains": {"a": {"region": "r"}}})";

//! A config_follower with a store that responds as the test says, and with peers that have one view.
struct follower_fixture
{
    boost::asio::io_context context;
    fakes::fake_store store{context};
    config_view_ptr peerView;
    config::config_follower follower{store.api(),
                                     [] { return kernel::fromMillis(5); },
                                     {},
                                     [this]() -> kernel::task<config_view_ptr> { co_return peerView; }};

    void write(std::uint64_t version, const char *patch)
    {
        json entry;
        entry["writer"] = "operator";
        entry["submission"] = std::to_string(version);
        entry["body"]["patch"] = json::parse(patch);
        entry["body"]["submittedAt"] = 1;
        standins::putItem(store.state, store::entryKey(config::journalName, version), entry.dump(), {}, "");
    }

    //! Runs \a work and completes each store call as \a completion says.
    void run(kernel::task<void> work, fakes::call_completion completion)
    {
        bool done = false;
        boost::asio::co_spawn(context, std::move(work), [&done](const std::exception_ptr &) { done = true; });
        while (!done) {
            context.restart();
            context.poll();
            if (store.held() > 0)
                store.release(0, completion);
        }
    }

    void refresh(fakes::call_completion completion = fakes::call_completion::answer)
    {
        run([](config::config_follower &target) -> kernel::task<void> { co_await target.refresh(); }(
                                                    follower),
            completion);
    }
};

config_view_ptr viewAt(std::uint64_t version)
{
    auto view = std::make_shared<config_view>();
    view->version = version;
    return view;
}

TEST(ConfigFollower, AppliesEachVersionInOrder)
{
    follower_fixture f;
    f.write(1, firstPatch);
    f.write(2, R"({"failureDomains": {"a": {"withdrawn": true}}})");
    f.refresh();
    EXPECT_EQ(f.follower.view()->version, 2U);
    EXPECT_FALSE(config::isOpen(f.follower.view()->parsed, "a"));
}

TEST(ConfigFollower, OlderPeersDoNotRevertTheVersionInAnOutage)
{
    follower_fixture f;
    f.write(1, firstPatch);
    f.write(2, R"({"services": {"s": {}}})");
    f.refresh();
    f.peerView = viewAt(1);
    f.refresh(fakes::call_completion::drop);
    EXPECT_EQ(f.follower.view()->version, 2U);
}

TEST(ConfigFollower, StartsFromPeersInAnOutage)
{
    follower_fixture f;
    f.peerView = viewAt(7);
    f.refresh(fakes::call_completion::drop);
    EXPECT_EQ(f.follower.view()->version, 7U);
}

//! The time at which a view was confirmed must not advance while the store can't be read.
TEST(ConfigFollower, OutageDoesNotConfirmTheView)
{
    follower_fixture f;
    f.write(1, firstPatch);
    f.refresh();
    const kernel::time_point confirmed = f.follower.view()->confirmedAt;
    f.peerView = viewAt(1);
    f.refresh(fakes::call_completion::drop);
    EXPECT_EQ(f.follower.view()->confirmedAt, confirmed);
}

//! A process that was suspended must load a snapshot that covers, and removes, the entries it has not read.
TEST(ConfigFollower, SuspendedProcessLoadsANewerSnapshot)
{
    follower_fixture f;
    f.write(1, firstPatch);
    f.refresh();
    f.run(
        [](store::store_api api) -> kernel::task<void> {
            json document = json::parse(firstPatch);
            document["services"]["late"] = json::object();
            co_await store::writeSnapshot(api, config::journalName, 9, document);
        }(f.store.api()),
        fakes::call_completion::answer);
    f.refresh();
    EXPECT_EQ(f.follower.view()->version, 9U);
    EXPECT_TRUE(f.follower.view()->parsed.services.contains("late"));
}

} // namespace
