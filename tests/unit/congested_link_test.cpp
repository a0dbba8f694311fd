#include "relay/relay_table.h"

#include <gtest/gtest.h>

#include <deque>
#include <numeric>

//! An owner behind a link of 2 Mbit/s exchanges batches with its relays while more is to be sent than the
//! link carries. Simulated time, no network.
namespace {

using namespace almond;
using kernel::milliseconds;
using kernel::time_point;

constexpr std::int64_t relays = 5;
//! Each worker has one poll under way, so that what waits at a relay is bounded.
constexpr std::int64_t mostWaitingBytes = 28LL * 400;
constexpr std::int64_t bytesPerMs = 250;
constexpr std::int64_t batchOverhead = 100;

//! Batches from several hosts that share one link.
struct shared_link
{
    struct batch
    {
        std::size_t host = 0;
        std::int64_t bytes = 0;
    };
    std::deque<batch> queue;
    std::int64_t queuedBytes = 0;

    void send(std::size_t host, std::int64_t bytes)
    {
        queue.push_back({host, bytes});
        queuedBytes += bytes;
    }

    //! Passes 1 ms; returns the hosts of the batches that have arrived.
    std::vector<std::size_t> pass()
    {
        std::vector<std::size_t> arrived;
        std::int64_t budget = bytesPerMs;
        while (!queue.empty() && budget > 0) {
            const std::int64_t taken = std::min(budget, queue.front().bytes);
            budget -= taken;
            queuedBytes -= taken;
            queue.front().bytes -= taken;
            if (queue.front().bytes == 0) {
                arrived.push_back(queue.front().host);
                queue.pop_front();
            }
        }
        return arrived;
    }
};

struct relay_state
{
    relay::batch_pacing pacing;
    std::int64_t waitingBytes = 0;
    bool underWay = false;
    time_point sentAt{};
    time_point nextAt{};
    bool timeoutSeen = false;
};

//! Load on the link as a share of what it carries, by time.
double loadAt(milliseconds time)
{
    return time < milliseconds(5000) ? 0.4 : time < milliseconds(10'000) ? 2.0 : 0.4;
}

TEST(CongestedLink, BatchesGrowWithTheBacklogAndTheDelayFallsWhenTheLoadEnds)
{
    const relay::pacing_rules rules;
    shared_link link;
    std::vector<relay_state> hosts(relays);
    std::size_t mostUnderWay = 0;
    std::size_t batchesInOverload = 0;
    milliseconds recoveredAt{0};
    for (milliseconds time{0}; time < milliseconds(30'000); ++time) {
        const time_point now = kernel::fromMillis(time.count());
        const std::int64_t offered = static_cast<std::int64_t>(loadAt(time) * bytesPerMs) / relays;
        for (std::size_t number = 0; number < hosts.size(); ++number) {
            relay_state &host = hosts[number];
            host.waitingBytes = std::min<std::int64_t>(host.waitingBytes + offered, mostWaitingBytes);
            if (host.underWay || host.waitingBytes == 0 || now < host.nextAt)
                continue;
            link.send(number, host.waitingBytes + batchOverhead);
            host.waitingBytes = 0;
            host.underWay = true;
            host.sentAt = now;
            host.timeoutSeen = false;
            batchesInOverload += loadAt(time) > 1.0 ? 1 : 0;
        }
        for (relay_state &host : hosts) {
            if (!host.underWay || host.timeoutSeen
                || now - host.sentAt < relay::receiptTimeout(host.pacing, rules))
                continue;
            host.timeoutSeen = true;
            relay::recordMissingReceipt(host.pacing, now - host.sentAt);
        }
        for (const std::size_t number : link.pass()) {
            relay_state &host = hosts[number];
            host.underWay = false;
            relay::recordReceipt(host.pacing, now - host.sentAt);
            host.nextAt = now + relay::batchInterval(host.pacing, rules);
        }
        mostUnderWay = std::max(mostUnderWay, link.queue.size());
        const bool slow = std::any_of(hosts.begin(), hosts.end(), [](const relay_state &host) {
            return host.pacing.receiptTime > milliseconds(50);
        });
        if (slow)
            recoveredAt = time;
    }
    // What is under way doesn't grow with the time that the overload lasts.
    EXPECT_LE(mostUnderWay, hosts.size());
    // Unpaced, a batch every 10 ms from each relay: 2,500 in 5 s.
    EXPECT_LT(batchesInOverload, 500U);
    EXPECT_GT(recoveredAt, milliseconds(5000));
    EXPECT_LT(recoveredAt, milliseconds(12'000));
}

TEST(CongestedLink, TimeForAReceiptFollowsTheLinkWithinItsBounds)
{
    const relay::pacing_rules rules;
    relay::batch_pacing pacing;
    EXPECT_EQ(relay::receiptTimeout(pacing, rules), rules.shortestReceiptTimeout);
    for (int batch = 0; batch < 20; ++batch)
        relay::recordReceipt(pacing, milliseconds(300));
    EXPECT_GT(relay::receiptTimeout(pacing, rules), milliseconds(1000));
    for (int batch = 0; batch < 20; ++batch)
        relay::recordMissingReceipt(pacing, milliseconds(5000));
    EXPECT_EQ(relay::receiptTimeout(pacing, rules), rules.longestReceiptTimeout);
    EXPECT_EQ(relay::batchInterval(pacing, rules), rules.longestInterval);
    for (int batch = 0; batch < 40; ++batch)
        relay::recordReceipt(pacing, milliseconds(3));
    EXPECT_EQ(relay::batchInterval(pacing, rules), rules.shortestInterval);
}

//! Guards against a fleet of hosts that all offer themselves several times a second to one owner.
TEST(CongestedLink, OffersDoNotGrowWithTheNumberOfHosts)
{
    const relay::relay_rules rules;
    for (const std::size_t hosts : {97UL, 150UL, 200UL}) {
        const milliseconds interval = relay::idleOfferInterval(rules, hosts);
        EXPECT_LE(1000.0 * static_cast<double>(hosts) / static_cast<double>(interval.count()),
                  static_cast<double>(rules.idleOffersPerSecond));
    }
    EXPECT_LE(relay::idleOfferInterval(rules, 10'000), rules.longestOfferInterval);
}

TEST(CongestedLink, AFewSparesBesideTheChosenRelaysAreKept)
{
    const relay::relay_rules rules;
    const auto now = kernel::fromMillis(1000);
    relay::relay_table table;
    for (int number = 0; number < 20; ++number)
        relay::recordOffer(table, "10.0.0." + std::to_string(number) + ":1", 0.12, now);
    const auto chosen = relay::chooseRelays(table, rules, 140, now);
    EXPECT_EQ(relay::chooseRelays(table, rules, 140, now, rules.spareRelays).size(),
              chosen.size() + rules.spareRelays);
}

} // namespace
