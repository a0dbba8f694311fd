#include "relay/order_carrier.h"
#include "relay/order_sender.h"
#include "tests/fakes/fake_fleet.h"
#include "tests/unit/draw.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

//! Orders that other hosts carry to workers: who carries, what arrives, and what a lost host leaves.
namespace {

using namespace almond;
using kernel::task;

constexpr const char *jobId = "00000000000000aa";

relay::relay_table tableOf(int hosts, kernel::time_point now, double share = 0.25)
{
    relay::relay_table table;
    for (int number = 0; number < hosts; ++number)
        relay::takeOffer(table, "10.0.0." + std::to_string(number) + ":1", share, now);
    return table;
}

TEST(RelayTable, ASmallFleetNeedsNoHelp)
{
    const relay::relay_rules rules;
    EXPECT_FALSE(relay::needsRelays(rules, 0.25, 66));
    EXPECT_TRUE(relay::needsRelays(rules, 0.5, 350));
}

//! Load pattern: hundreds of workers for an owner that could only just drive them. A few strong hosts make
//! large batches; one batch for each host would cost as much as one exchange for each order.
TEST(RelayTable, FewStrongHostsCarryForAFleet)
{
    const relay::relay_rules rules;
    const auto now = kernel::fromMillis(1000);
    relay::relay_table table = tableOf(30, now, 0.12);
    relay::takeOffer(table, "strong-1", 0.5, now);
    relay::takeOffer(table, "strong-2", 0.5, now);
    const auto carriers = relay::chooseCarriers(table, rules, 280, now);
    EXPECT_EQ((std::set<std::string>(carriers.begin(), carriers.end())),
              (std::set<std::string>{"strong-1", "strong-2"}));
}

TEST(RelayTable, AHostThatIsSilentOrSuspendedCarriesNothing)
{
    const relay::relay_rules rules;
    const auto now = kernel::fromMillis(1000);
    relay::relay_table table = tableOf(2, now);
    relay::suspend(table, rules, "10.0.0.0:1", now);
    EXPECT_EQ(relay::chooseCarriers(table, rules, 400, now), std::vector<std::string>{"10.0.0.1:1"});
    const auto later = now + rules.offerValidity + kernel::milliseconds(1);
    EXPECT_TRUE(relay::chooseCarriers(table, rules, 400, later).empty());
}

//! An owner's process that starts anew has the address of the one before, whose answers may still arrive.
TEST(RelayTable, TwoLivesOfAnOwnerShareNoOrderNumbers)
{
    constexpr std::uint64_t ordersOfALife = 3000ULL * 1800; // half an hour of a busy fleet
    const auto born = kernel::fromMillis(1'781'404'399'025);
    const auto bornAgain = born + kernel::milliseconds(1'800'000);
    EXPECT_GT(relay::firstOrderNumber(bornAgain), relay::firstOrderNumber(born) + ordersOfALife);
    const auto soon = born + kernel::milliseconds(500);
    EXPECT_GT(relay::firstOrderNumber(soon), relay::firstOrderNumber(born) + 3000);
}

RC_GTEST_PROP(RelayTableProperty, OnlyTheWorkersOfAHostThatLeavesMove, ())
{
    const relay::relay_rules rules;
    const auto now = kernel::fromMillis(1000);
    const auto hosts = tests::draw(2, 8);
    relay::relay_table table = tableOf(hosts, now);
    const auto before = relay::chooseCarriers(table, rules, 10'000, now);
    const std::string leaver = "10.0.0." + std::to_string(tests::draw(0, hosts - 1)) + ":1";
    table.hosts.erase(leaver);
    const auto after = relay::chooseCarriers(table, rules, 10'000, now);
    for (int number = 0; number < 50; ++number) {
        const std::string worker = "w" + std::to_string(number);
        const std::string_view chosen = relay::carrierFor(before, worker);
        if (chosen != leaver)
            RC_ASSERT(relay::carrierFor(after, worker) == chosen);
    }
}

RC_GTEST_PROP(OrderCodecProperty, AnswersComeBackAsTheyWere, ())
{
    relay::carried_answer carried;
    carried.number = static_cast<std::uint64_t>(tests::draw(0, 1'000'000));
    carried.answer.result.outcome = static_cast<jobs::order_outcome>(tests::draw(0, 3));
    carried.answer.result.workerClockMs = tests::draw<std::int64_t>(0, 1'000'000'000);
    carried.answer.bornMs = 1'781'404'399'025;
    const int rows = tests::draw(0, 5);
    for (int row = 0; row < rows; ++row) {
        const jobs::task_name name{jobId, 0, 1, static_cast<std::uint32_t>(row)};
        carried.answer.running.push_back({name, 2, "saved", tests::draw(0, 100), 4000});
        carried.answer.ended.push_back({static_cast<std::uint64_t>(row) + 1, name, 1,
                                        static_cast<jobs::run_end>(tests::draw(0, 4)), ""});
    }
    const relay::carried_answer back = relay::decodeAnswer(
        nlohmann::json::from_cbor(nlohmann::json::to_cbor(relay::encodeAnswer(carried))));
    RC_ASSERT(back.number == carried.number);
    RC_ASSERT(back.answer.result.outcome == carried.answer.result.outcome);
    RC_ASSERT(back.answer.result.workerClockMs == carried.answer.result.workerClockMs);
    RC_ASSERT(back.answer.bornMs == carried.answer.bornMs);
    RC_ASSERT(back.answer.running.size() == carried.answer.running.size());
    for (std::size_t row = 0; row < back.answer.running.size(); ++row) {
        RC_ASSERT(back.answer.running[row].task == carried.answer.running[row].task);
        RC_ASSERT(back.answer.running[row].measurement == carried.answer.running[row].measurement);
        RC_ASSERT(back.answer.running[row].checkpoint == carried.answer.running[row].checkpoint);
        RC_ASSERT(back.answer.ended[row].number == carried.answer.ended[row].number);
        RC_ASSERT(back.answer.ended[row].end == carried.answer.ended[row].end);
    }
}

class relay_day : public testing::Test
{
protected:
    static constexpr const char *ownerAddress = "127.0.0.1:23931";
    static constexpr const char *carrierAddress = "127.0.0.1:23932";

    boost::asio::io_context context;
    wire::peer_link ownerPeers{context};
    wire::peer_link carrierPeers{context};
    fakes::fake_fleet throughCarrier;
    fakes::fake_fleet direct;
    std::unique_ptr<relay::order_sender> sender;
    std::unique_ptr<relay::order_carrier> carrier;

    void SetUp() override
    {
        relay::sender_context ownerSide;
        ownerSide.context = &context;
        ownerSide.peers = &ownerPeers;
        ownerSide.ownAddress = ownerAddress;
        ownerSide.direct = direct.port();
        ownerSide.clock = kernel::monotonicNow;
        ownerSide.workerCount = [] { return std::size_t{1000}; };
        sender = std::make_unique<relay::order_sender>(std::move(ownerSide));
        sender->provideCalls();
        ownerPeers.listen(ownerAddress);
        relay::carrier_context carrierSide;
        carrierSide.context = &context;
        carrierSide.peers = &carrierPeers;
        carrierSide.ownAddress = carrierAddress;
        carrierSide.workers = throughCarrier.port();
        carrierSide.owner = [] { return std::string(ownerAddress); };
        carrier = std::make_unique<relay::order_carrier>(std::move(carrierSide));
        carrier->provideCalls();
        carrierPeers.listen(carrierAddress);
        kernel::spawn(context.get_executor(), carrier->run());
    }

    void TearDown() override
    {
        carrier->stop();
        context.restart();
        context.run_for(std::chrono::milliseconds(500));
    }

    bool runUntil(const std::function<bool()> &reached)
    {
        constexpr std::chrono::seconds bound{20};
        const auto end = std::chrono::steady_clock::now() + bound;
        while (!reached() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(20));
        }
        return reached();
    }

    template<typename T>
    T await(task<T> work)
    {
        std::optional<T> result;
        boost::asio::co_spawn(context, std::move(work),
                              [&result](const std::exception_ptr &, T value) { result = std::move(value); });
        runUntil([&result] { return result.has_value(); });
        return std::move(result.value());
    }

    jobs::order_response start(std::uint32_t index)
    {
        jobs::start_order order;
        order.task = {jobId, 0, 0, index};
        order.run = 1;
        const jobs::worker_api port = sender->port();
        return await(port.start({"w", "10.0.0.9:80", 7}, order));
    }
};

TEST_F(relay_day, OrdersGoThroughAHostThatOffersAndTheirAnswersComeBack)
{
    ASSERT_TRUE(runUntil([&] { return sender->usableHosts() == 1; }));
    EXPECT_EQ(start(0).outcome, jobs::order_outcome::accepted);
    EXPECT_EQ(throughCarrier.starts.size(), 1U);
    EXPECT_TRUE(direct.starts.empty());
    const jobs::worker_api port = sender->port();
    const jobs::poll_response answer = await(port.poll({"w", "10.0.0.9:80", 7}, jobs::poll_order{}));
    ASSERT_EQ(answer.running.size(), 1U);
    EXPECT_EQ(answer.running.front().task, (jobs::task_name{jobId, 0, 0, 0}));
    // The term travels with the order: the worker turns an earlier owner away.
    EXPECT_EQ(await(port.poll({"w", "10.0.0.9:80", 6}, jobs::poll_order{})).result.refusal,
              jobs::order_refusal::fenced);
}

TEST_F(relay_day, AnOrderWhoseHostIsLostIsUnansweredAndTheNextTakesAnotherWay)
{
    ASSERT_TRUE(runUntil([&] { return sender->usableHosts() == 1; }));
    carrier->stop();
    // The host takes the connection but never sees the order.
    carrierPeers.provide("relay.orders", [](wire::json) -> task<wire::json> {
        co_await kernel::sleepFor(kernel::milliseconds(5000));
        co_return wire::json::object();
    });
    const auto begun = std::chrono::steady_clock::now();
    EXPECT_EQ(start(0).outcome, jobs::order_outcome::unknown);
    // A worker must not count as silent because of a host.
    EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::milliseconds(1200));
    EXPECT_EQ(start(0).outcome, jobs::order_outcome::accepted);
    EXPECT_EQ(direct.starts.size(), 1U);
}

} // namespace
