#include "fleet/job_owner.h"
#include "jobs/job_codec.h"
#include "store/journal_codec.h"
#include "tests/fakes/fake_fleet.h"
#include "tests/fakes/shared_store.h"
#include "tests/unit/job_fixtures.h"
#include "tests/unit/loop.h"
#include "wire/peer_link.h"
#include "wire/websocket_endpoint.h"

#include <gtest/gtest.h>

//! One odd value from another writer or peer must neither end a process nor keep it from the values beside
//! it.
namespace {

using namespace almond;
using kernel::milliseconds;
using kernel::task;
using wire::json;

constexpr const char *address = "127.0.0.1:21997";

std::string cborOf(const json &message)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(message);
    return {bytes.begin(), bytes.end()};
}

//! Messages that no process of this system sends.
std::vector<std::string> oddMessages()
{
    constexpr std::size_t nesting = 1'000'000;
    return {cborOf({{"method", 7}, {"call", 1}}),
            cborOf({{"method", {{"a", 1}}}, {"call", 1}}),
            cborOf({{"method", "double"}, {"call", "text"}}),
            cborOf({{"method", "double"}, {"call", 1}, {"arguments", "text"}}),
            cborOf({{"method", "throwing"}, {"call", 1}, {"arguments", json::object()}}),
            cborOf({{"call", "text"}, {"result", 1}}),
            cborOf({{"call", -1}}),
            cborOf({{"result", 1}}),
            cborOf(json::array({1, 2})),
            cborOf({{"method", "double"}}).substr(0, 5),
            std::string(nesting, '\x81'),
            std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"),
            std::string("\xff\xfe garbage"),
            std::string()};
}

TEST(OddInput, PeerAnswersAfterMalformedMessages)
{
    boost::asio::io_context context;
    wire::peer_link server(context);
    server.provide("double", [](json arguments) -> task<json> {
        json result;
        result["value"] = arguments.at("value").get<int>() * 2;
        co_return result;
    });
    server.provide("throwing", [](json) -> task<json> {
        throw std::runtime_error("unexpected");
        co_return json();
    });
    server.listen(address);
    bool opened = false;
    wire::websocket_events events;
    events.opened = [&opened](wire::connection_id) { opened = true; };
    events.received = [](wire::connection_id, const std::string &) {};
    events.closed = [](wire::connection_id) {};
    wire::websocket_endpoint sender(context, events);
    const wire::connection_id connection = sender.connect(address);
    wire::peer_link client(context);
    const auto work = [&]() -> task<void> {
        while (!opened)
            co_await kernel::sleepFor(milliseconds(5));
        for (const std::string &message : oddMessages())
            sender.send(connection, message);
        co_await kernel::sleepFor(milliseconds(50));
        json arguments;
        arguments["value"] = 21;
        const auto response = co_await client.call(address, "double", arguments, milliseconds(3000));
        EXPECT_TRUE(response && response->at("value") == 42);
    };
    tests::runToEnd(context, work());
    sender.close(connection);
    server.stop();
}

TEST(OddInput, CallToAnOddAddressHasNoResponse)
{
    boost::asio::io_context context;
    wire::peer_link client(context);
    const auto work = [&]() -> task<void> {
        for (const char *odd : {"", "nowhere", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:0", "a b:1"}) {
            const auto response = co_await client.call(odd, "double", json::object(), milliseconds(500));
            EXPECT_FALSE(response) << odd;
        }
    };
    tests::runToEnd(context, work());
}

//! An owner with odd keys beside its own in the store.
class odd_store_test : public testing::Test
{
protected:
    static constexpr const char *firstJob = "00000000000000aa";
    static constexpr const char *secondJob = "00000000000000ab";

    boost::asio::io_context context;
    fakes::shared_store store;
    fakes::fake_fleet workers;
    jobs::fleet_config_ptr config = std::make_shared<const jobs::fleet_config>(tests::fleetConfig());
    std::shared_ptr<fleet::job_owner> owner;
    std::uint64_t term = 0;

    void SetUp() override { workers.endImmediately = true; }

    void TearDown() override
    {
        owner->resign("the test is over");
        context.restart();
        context.run_for(std::chrono::milliseconds(700));
    }

    static std::string journalKey(std::uint64_t index)
    {
        return store::entryKey(fleet::job_key::journal, index);
    }

    void startOwner()
    {
        store.erase(fleet::election_key::owner);
        store.put(fleet::election_key::owner, "process");
        fleet::job_owner_dependencies dependencies;
        dependencies.processId = "process-" + std::to_string(++term);
        dependencies.store = store.api();
        dependencies.workers = workers.port();
        dependencies.clock = kernel::monotonicNow;
        dependencies.unixClock = kernel::systemNow;
        dependencies.config = [this] { return config; };
        dependencies.configConfirmedAt = kernel::monotonicNow;
        dependencies.workersConfirmedAt = kernel::monotonicNow;
        dependencies.mayRenew = [] { return true; };
        owner = std::make_shared<fleet::job_owner>(
            context, std::move(dependencies),
            fleet::won_term{term, store.revisionOf(fleet::election_key::owner), "", {}});
        owner->updateWorker("w", tests::worker("w"));
        tests::runToEnd(context, [](fleet::job_owner *starting) -> task<void> {
            const bool loaded = co_await starting->load();
            EXPECT_TRUE(loaded);
        }(owner.get()));
        owner->start();
    }

    void submit(const std::string &id)
    {
        store.put(fleet::job_key::accepted + id,
                  jobs::encodeJob(tests::makeJob(id, {tests::step(2, 500)})).dump());
    }

    bool completes(const std::string &id)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (owner->statusOf(id) != jobs::job_status::completed && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(20));
        }
        return owner->statusOf(id) == jobs::job_status::completed;
    }
};

TEST_F(odd_store_test, OwnerTakesOverWithOddEntriesInTheJournal)
{
    store.put(fleet::job_key::journal + std::string("/entry/odd"), "x");
    store.put(fleet::job_key::journal + std::string("/entry/99999999999999999999999999"), "x");
    store.put(journalKey(1), "not an entry");
    store.put(journalKey(2),
              R"({"writer":"w","submission":"s","body":[["started"],7,{"a":1},["ended","x",1,0,""]]})");
    store.put(journalKey(3), std::string(500'000, '['));
    store.put(journalKey(5), R"({"writer":1,"submission":[],"body":null})");
    submit(firstJob);
    startOwner();
    EXPECT_TRUE(completes(firstJob));
    submit(secondJob);
    EXPECT_TRUE(completes(secondJob));
    // A successor reads the same: what completed has not run again.
    owner->resign("replaced");
    const std::size_t starts = workers.starts.size();
    startOwner();
    EXPECT_TRUE(completes(firstJob));
    EXPECT_TRUE(completes(secondJob));
    EXPECT_EQ(workers.starts.size(), starts);
}

TEST_F(odd_store_test, OwnerServesJobsBesideOddJobEntries)
{
    const std::string odd = fleet::job_key::accepted + std::string("0000000000000001");
    json tooLarge = jobs::encodeJob(tests::makeJob("0000000000000002", {tests::step(1, 500)}));
    tooLarge["steps"][0]["count"] = 4'000'000'000;
    json laterStep = jobs::encodeJob(tests::makeJob("0000000000000003", {tests::step(1, 500)}));
    laterStep["steps"][0]["after"] = json::array({9});
    store.put(odd, std::string(500'000, '['));
    store.put(fleet::job_key::accepted + std::string("0000000000000002"), tooLarge.dump());
    store.put(fleet::job_key::accepted + std::string("0000000000000003"), laterStep.dump());
    store.put(fleet::job_key::accepted + std::string("0000000000000004"), R"({"id":7})");
    store.put(fleet::job_key::accepted + std::string("0000000000000005"),
              jobs::encodeJob(tests::makeJob("0000000000000006", {tests::step(1, 500)})).dump());
    store.put(fleet::job_key::prefix + std::string("odd"), "x");
    submit(firstJob);
    startOwner();
    EXPECT_TRUE(completes(firstJob));
    for (const fakes::fake_fleet::started_run &start : workers.starts)
        EXPECT_TRUE(start.task.starts_with(firstJob)) << start.task;
}

TEST(OddInput, TermNeverFallsAndOddOwnerKeysAreBorne)
{
    fleet::owner_view view;
    const auto now = kernel::fromMillis(1000);
    fleet::applyOwnerKey(view, fleet::election_key::term, R"({"term":7,"holders":["a:1"]})", 1, now);
    ASSERT_EQ(view.term, 7U);
    for (const char *odd :
         {R"({"term":"x"})", R"({"term":-1})", R"({"term":1e300})", R"({"holders":7})", "[]", "x"}) {
        fleet::applyOwnerKey(view, fleet::election_key::term, odd, 2, now);
        EXPECT_EQ(view.term, 7U) << odd;
    }
}

} // namespace
