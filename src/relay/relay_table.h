#pragma once

#include "relay/batch_pacing.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace almond::relay {

//! Parameters of the relaying of orders.
struct relay_rules
{
    //! Number of workers for which a host with one whole core exchanges orders. A fully loaded worker costs
    //! about a thousandth of a core, so the exchanges take at most about a quarter of a host's CPU.
    double workersPerCore = 280.0;
    //! Time between two offers of a host; several must fit into offerValidity.
    milliseconds offerInterval{400};
    //! The same for a host that the owner does not need.
    milliseconds idleOfferInterval{2000};
    //! Longest time between two offers of a host that is not needed.
    milliseconds longestOfferInterval{10'000};
    //! Offers that an owner takes in a second from hosts that it does not need, however many there are.
    std::size_t idleOffersPerSecond = 20;
    //! Hosts that offer themselves often without being chosen, to replace a relay that is lost.
    std::size_t spareRelays = 2;
    //! A host that was heard of longer ago than this gets no orders, and its pending orders count as
    //! unanswered. Must stay under the time after which a worker counts as unresponsive.
    milliseconds offerValidity{1000};
    //! How long a host that did not confirm a batch gets no orders.
    milliseconds suspension{2000};
    //! Time between two selections of the relays. Each change moves workers to other relays, so it must not
    //! happen too often.
    milliseconds reselectionInterval{200};
    //! Time for the response to an offer.
    milliseconds receiptTimeout{400};
    pacing_rules pacing;
    //! Time for the response to an order, in addition to the wait of a poll.
    milliseconds responseTimeout{1300};
};

//! A host that has offered to relay orders.
struct relay_host
{
    //! Part of a core that the host has.
    double processorShare = 1.0;
    //! When an offer or a batch of responses was last received from it.
    time_point lastHeardAt{};
    time_point suspendedUntil{};
};

//! Hosts that have offered to relay an owner's orders to workers, by peer address.
struct relay_table
{
    std::map<std::string, relay_host> hosts;
};

//! Number of the first order of an owner's process that starts at \a unixNow. Responses to orders of a
//! previous process at the same address may still arrive, so two processes must not use the same numbers.
//! There are enough numbers for a million orders in each millisecond that a process runs.
std::uint64_t firstOrderNumber(time_point unixNow);

//! Records an offer of the host at \a address.
void recordOffer(relay_table &table, const std::string &address, double processorShare, time_point now);
//! Records that a message of the host at \a address was received.
void recordSign(relay_table &table, const std::string &address, time_point now);
//! Excludes the host at \a address from relaying for relay_rules::suspension.
void suspend(relay_table &table, const relay_rules &rules, const std::string &address, time_point now);
//! Whether \a host may get orders at \a now.
bool isUsable(const relay_host &host, const relay_rules &rules, time_point now);

//! Whether an owner with \a processorShare of a core needs relays for \a workers workers.
bool needsRelays(const relay_rules &rules, double processorShare, std::size_t workers);

//! Selects the relays at \a now: the usable hosts with the largest CPU shares, as few as can serve \a workers
//! workers, and \a spares more. Fewer relays mean larger batches, which cost the owner less.
std::vector<std::string> chooseRelays(const relay_table &table, const relay_rules &rules, std::size_t workers,
                                      time_point now, std::size_t spares = 0);

//! Time until the next offer of a host that is not needed, if \a hosts hosts offer themselves.
milliseconds idleOfferInterval(const relay_rules &rules, std::size_t hosts);

//! The one of \a relays that forwards the orders to \a worker, by rendezvous hashing; empty if \a relays is
//! empty. The choice depends only on \a relays and \a worker; if a relay is removed, only its workers move.
std::string_view relayFor(std::span<const std::string> relays, std::string_view worker);

//! The chosen relays, and the one of each worker as relayFor() gives it.
struct chosen_relays
{
    std::vector<std::string> relays;
    std::unordered_map<std::string, std::string> byWorker;
};

//! Sets the relays of \a chosen.
void useRelays(chosen_relays &chosen, std::vector<std::string> relays);
//! As relayFor(), which is called once for each worker until the relays change.
const std::string &relayOf(chosen_relays &chosen, const std::string &worker);

} // namespace almond::relay
