#include "config/config_follower.h"
#include "tests/fakes/fake_store.h"
#include "tests/unit/loop.h"

#include <gtest/gtest.h>

//! A process at the newest version: it never goes back, whatever peers and snapshots say.
namespace {

using namespace almond;
using config::config_view;
using config::config_view_ptr;
using json = nlohmann::json;

constexpr const char *firstPatch = R"({"failureDomains": {"a": {"region": "r"}}})";

//! A follower whose store answers or not as the test says, and whose peers have one view.
struct followed
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

    //! Runs \a work while each held call meets \a fate.
    void run(kernel::task<void> work, fakes::call_fate fate)
    {
        bool over = false;
        boost::asio::co_spawn(context, std::move(work), [&over](const std::exception_ptr &) { over = true; });
        while (!over) {
            context.restart();
            context.poll();
            if (store.held() > 0)
                store.release(0, fate);
        }
    }

    void poll(fakes::call_fate fate = fakes::call_fate::answer)
    {
        run([](config::config_follower &target) -> kernel::task<void> { co_await target.refresh(); }(
                                                    follower),
            fate);
    }
};

config_view_ptr viewAt(std::uint64_t version)
{
    auto view = std::make_shared<config_view>();
    view->version = version;
    return view;
}

TEST(ConfigFollower, TakesEachVersionInOrder)
{
    followed f;
    f.write(1, firstPatch);
    f.write(2, R"({"failureDomains": {"a": {"withdrawn": true}}})");
    f.poll();
    EXPECT_EQ(f.follower.view()->version, 2U);
    EXPECT_FALSE(config::isOpen(f.follower.view()->parsed, "a"));
}

TEST(ConfigFollower, OlderPeersDoNotRevertItInAnOutage)
{
    followed f;
    f.write(1, firstPatch);
    f.write(2, R"({"services": {"s": {}}})");
    f.poll();
    f.peerView = viewAt(1);
    f.poll(fakes::call_fate::drop);
    EXPECT_EQ(f.follower.view()->version, 2U);
}

TEST(ConfigFollower, StartsFromPeersInAnOutage)
{
    followed f;
    f.peerView = viewAt(7);
    f.poll(fakes::call_fate::drop);
    EXPECT_EQ(f.follower.view()->version, 7U);
}

TEST(ConfigFollower, OutageDoesNotConfirmTheView)
{
    followed f;
    f.write(1, firstPatch);
    f.poll();
    const kernel::time_point confirmed = f.follower.view()->confirmedAt;
    f.peerView = viewAt(1);
    f.poll(fakes::call_fate::drop);
    EXPECT_EQ(f.follower.view()->confirmedAt, confirmed);
}

TEST(ConfigFollower, FrozenProcessFindsASnapshotAheadOfIt)
{
    followed f;
    f.write(1, firstPatch);
    f.poll();
    f.run(
        [](store::store_api api) -> kernel::task<void> {
            json document = json::parse(firstPatch);
            document["services"]["late"] = json::object();
            co_await store::writeSnapshot(api, config::journalName, 9, document);
        }(f.store.api()),
        fakes::call_fate::answer);
    f.poll();
    EXPECT_EQ(f.follower.view()->version, 9U);
    EXPECT_TRUE(f.follower.view()->parsed.services.contains("late"));
}

} // namespace
