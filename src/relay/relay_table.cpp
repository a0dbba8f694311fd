#include "relay/relay_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace almond::relay {

namespace {

//! Workers whose relay is kept; more than a fleet has.
constexpr std::size_t maximumWorkers = 20'000;

} // namespace

std::uint64_t firstOrderNumber(time_point unixNow)
{
    constexpr std::uint64_t ordersPerMillisecond = 1'000'000;
    return static_cast<std::uint64_t>(kernel::toMillis(unixNow)) * ordersPerMillisecond;
}

void recordOffer(relay_table &table, const std::string &address, double processorShare, time_point now)
{
    relay_host &host = table.hosts[address];
    host.processorShare = processorShare;
    host.lastHeardAt = now;
}

void recordSign(relay_table &table, const std::string &address, time_point now)
{
    const auto host = table.hosts.find(address);
    if (host != table.hosts.end())
        host->second.lastHeardAt = now;
}

void suspend(relay_table &table, const relay_rules &rules, const std::string &address, time_point now)
{
    const auto host = table.hosts.find(address);
    if (host != table.hosts.end())
        host->second.suspendedUntil = now + rules.suspension;
}

bool isUsable(const relay_host &host, const relay_rules &rules, time_point now)
{
    return now - host.lastHeardAt <= rules.offerValidity && now >= host.suspendedUntil;
}

bool needsRelays(const relay_rules &rules, double processorShare, std::size_t workers)
{
    return static_cast<double>(workers) > rules.workersPerCore * processorShare;
}

std::vector<std::string> chooseRelays(const relay_table &table, const relay_rules &rules, std::size_t workers,
                                      time_point now, std::size_t spares)
{
    std::vector<std::pair<double, std::string>> usable;
    for (const auto &[address, host] : table.hosts) {
        if (isUsable(host, rules, now))
            usable.emplace_back(-host.processorShare, address);
    }
    std::sort(usable.begin(), usable.end());
    std::vector<std::string> relays;
    double served = 0.0;
    for (const auto &[negativeShare, address] : usable) {
        if (served >= static_cast<double>(workers) && spares-- == 0)
            break;
        served -= negativeShare * rules.workersPerCore;
        relays.push_back(address);
    }
    return relays;
}

milliseconds idleOfferInterval(const relay_rules &rules, std::size_t hosts)
{
    const milliseconds shared(1000 * hosts / rules.idleOffersPerSecond);
    return std::clamp(shared, rules.idleOfferInterval, rules.longestOfferInterval);
}

std::string_view relayFor(std::span<const std::string> relays, std::string_view worker)
{
    std::string_view best;
    std::uint64_t bestScore = 0;
    for (const std::string &address : relays) {
        const std::uint64_t seed = XXH64(address.data(), address.size(), 0);
        const std::uint64_t score = XXH64(worker.data(), worker.size(), seed);
        if (best.empty() || score > bestScore) {
            best = address;
            bestScore = score;
        }
    }
    return best;
}

void useRelays(chosen_relays &chosen, std::vector<std::string> relays)
{
    if (relays == chosen.relays)
        return;
    chosen.relays = std::move(relays);
    chosen.byWorker.clear();
}

const std::string &relayOf(chosen_relays &chosen, const std::string &worker)
{
    const auto known = chosen.byWorker.find(worker);
    if (known != chosen.byWorker.end())
        return known->second;
    if (chosen.byWorker.size() >= maximumWorkers)
        chosen.byWorker.clear();
    return chosen.byWorker[worker] = relayFor(chosen.relays, worker);
}

} // namespace almond::relay
