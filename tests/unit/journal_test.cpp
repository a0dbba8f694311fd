#include "store/journal.h"
#include "tests/fakes/fake_store.h"

#include "tests/unit/draw.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

//! The journal with concurrent owners, lost responses, dropped calls and snapshots.
namespace {

using namespace almond;
using store::append_status;
using store::journal_entry;
using json = nlohmann::json;

constexpr const char *name = "cell/test";
constexpr int maximumSteps = 3000;

//! One owner that appends entries until it is replaced or has appended enough.
struct test_owner
{
    std::string id;
    std::vector<std::string> committed;
    std::uint64_t next = 1;
    bool replaced = false;
    bool done = false;
};

kernel::task<void> appendEntries(const store::store_api &store, test_owner &owner, int entries)
{
    const store::append_limits limits{1, kernel::milliseconds(0)};
    int number = 0;
    while (number < entries && !owner.replaced) {
        journal_entry entry{owner.next, owner.id, owner.id + "/" + std::to_string(number), json::object()};
        const store::append_result result = co_await store::appendEntry(store, name, entry, limits);
        if (result.status == append_status::conflict)
            owner.replaced = true;
        if (result.status != append_status::committed)
            continue; // unknown outcome: the same entry is appended again
        owner.committed.push_back(entry.submission);
        ++owner.next;
        ++number;
    }
    owner.done = true;
}

kernel::task<void> takeOver(const store::store_api &store, test_owner &owner, int entries)
{
    store::journal_contents contents;
    while (contents.status != store::store_status::ok)
        contents = co_await store::loadJournal(store, name);
    owner.next = contents.snapshotIndex + contents.entries.size() + 1;
    if (owner.next > 2)
        co_await store::writeSnapshot(store, name, owner.next - 1, json(owner.next - 1));
    co_await appendEntries(store, owner, entries);
}

void completeCallsRandomly(boost::asio::io_context &context, fakes::fake_store &store,
                           const std::vector<test_owner> &owners)
{
    for (int step = 0; step < maximumSteps; ++step) {
        while (context.poll() > 0) { }
        const bool allDone
            = std::all_of(owners.begin(), owners.end(), [](const test_owner &owner) { return owner.done; });
        if (allDone)
            return;
        if (store.held() == 0)
            continue;
        const auto index = tests::draw<std::size_t>(0, store.held());
        const auto completion
            = *rc::gen::weightedElement<fakes::call_completion>({{8, fakes::call_completion::answer},
                                                                 {1, fakes::call_completion::loseAnswer},
                                                                 {1, fakes::call_completion::drop}});
        store.release(index, completion);
    }
}

//! Checks that no submission is committed twice or exists at two indexes.
void checkHistory(const fakes::fake_store &store, const std::vector<test_owner> &owners)
{
    std::map<std::string, int> countBySubmission;
    for (const auto &[key, item] : store.state.items) {
        if (key.find("/entry/") != std::string::npos)
            ++countBySubmission[json::parse(item.value).at("submission").get<std::string>()];
    }
    std::set<std::string> committed;
    for (const test_owner &owner : owners) {
        for (const std::string &submission : owner.committed)
            RC_ASSERT(committed.insert(submission).second);
    }
    for (const auto &[submission, count] : countBySubmission)
        RC_ASSERT(count == 1);
}

//! Checks that no two owners have committed entries at the same index.
void checkIndexes(const std::vector<test_owner> &owners)
{
    std::map<std::uint64_t, std::string> byIndex;
    for (const test_owner &owner : owners) {
        const std::uint64_t first = owner.next - owner.committed.size();
        for (std::size_t number = 0; number < owner.committed.size(); ++number)
            RC_ASSERT(byIndex.emplace(first + number, owner.committed[number]).second);
    }
}

//! Guards against two owners that both believe their entries are committed at one index, for random orders of
//! their calls, lost responses and dropped calls.
TEST(Journal, OwnersNeverCommitTheSameIndex)
{
    const bool passed = rc::check([] {
        boost::asio::io_context context;
        fakes::fake_store store(context);
        const store::store_api api = store.api();
        std::vector<test_owner> owners(3);
        for (std::size_t number = 0; number < owners.size(); ++number)
            owners[number].id = "owner-" + std::to_string(number);
        kernel::spawn(context.get_executor(), appendEntries(api, owners[0], 6));
        kernel::spawn(context.get_executor(), takeOver(api, owners[1], 4));
        kernel::spawn(context.get_executor(), takeOver(api, owners[2], 4));
        completeCallsRandomly(context, store, owners);
        checkHistory(store, owners);
        checkIndexes(owners);
    });
    EXPECT_TRUE(passed);
}

//! A suspended owner writes an entry that a snapshot already covers. The entry there was removed, so the
//! write succeeds, but it must not count as committed.
TEST(Journal, WriteBelowSnapshotIsAConflict)
{
    boost::asio::io_context context;
    fakes::fake_store store(context);
    const store::store_api api = store.api();
    standins::write_condition none;
    standins::putItem(store.state, std::string(name) + "/head", R"({"index":5,"parts":1})", none, "");
    append_status status = append_status::unknown;
    kernel::spawn(context.get_executor(),
                  [](const store::store_api &link, append_status &out) -> kernel::task<void> {
                      const journal_entry late{3, "paused", "paused/1", json::object()};
                      const store::append_result result = co_await store::appendEntry(link, name, late, {});
                      out = result.status;
                  }(api, status));
    while (context.poll() > 0 || store.held() > 0) {
        if (store.held() > 0)
            store.release(0, fakes::call_completion::answer);
    }
    EXPECT_EQ(status, append_status::conflict);
}

TEST(Journal, OutcomeAfterALostResponseIsReadBack)
{
    boost::asio::io_context context;
    fakes::fake_store store(context);
    const store::store_api api = store.api();
    append_status status = append_status::unknown;
    kernel::spawn(context.get_executor(),
                  [](const store::store_api &link, append_status &out) -> kernel::task<void> {
                      const journal_entry entry{1, "owner", "owner/1", json::object()};
                      const store::append_result result = co_await store::appendEntry(link, name, entry, {});
                      out = result.status;
                  }(api, status));
    context.poll();
    store.release(0, fakes::call_completion::loseAnswer);
    while (context.poll() > 0 || store.held() > 0) {
        if (store.held() > 0)
            store.release(0, fakes::call_completion::answer);
    }
    EXPECT_EQ(status, append_status::committed);
    EXPECT_EQ(store.state.items.size(), 1U);
}

TEST(Journal, LargeSnapshotIsSplitAndReadBack)
{
    boost::asio::io_context context;
    fakes::fake_store store(context);
    const store::store_api api = store.api();
    const json big = std::string(1'500'000, 'x');
    store::journal_contents read;
    kernel::spawn(
        context.get_executor(),
        [](const store::store_api &link, json state, store::journal_contents &out) -> kernel::task<void> {
            co_await store::writeSnapshot(link, name, 7, state);
            out = co_await store::loadJournal(link, name);
        }(api, big, read));
    while (context.poll() > 0 || store.held() > 0) {
        if (store.held() > 0)
            store.release(0, fakes::call_completion::answer);
    }
    EXPECT_EQ(read.snapshotIndex, 7U);
    EXPECT_EQ(read.snapshot, big);
}

} // namespace
