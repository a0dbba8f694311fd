#pragma once

#include "kernel/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace almond::relay {

using kernel::milliseconds;
using kernel::time_point;

//! Bounds of the relaying of orders.
struct relay_rules
{
    //! Workers for which a host with one whole core exchanges orders. A worker with a full load costs about a
    //! thousandth of a core; with this the exchanges take at most a quarter of a host's processor.
    double workersPerCore = 280.0;
    //! Time between two offers of a host; several must fit into offerValidity.
    milliseconds offerInterval{400};
    //! The same while the owner needs no help.
    milliseconds idleOfferInterval{2000};
    //! A host that has not offered for this long gets no orders, and those that it holds count as unanswered.
    //! Must stay under the time after which a worker counts as silent.
    milliseconds offerValidity{1000};
    //! How long a host that left a batch without a receipt gets no orders.
    milliseconds suspension{2000};
    //! Time between two choices of the hosts that carry; a change moves orders, so it must not be all the
    //! time.
    milliseconds reselectionInterval{200};
    //! Time for the receipt of a batch.
    milliseconds receiptTimeout{400};
    //! Orders and answers are gathered this long before they travel together.
    milliseconds batchDelay{10};
    //! Time for the answer to an order, beyond the wait that it asks for.
    milliseconds answerTimeout{1300};
};

//! A host that has offered to carry orders.
struct relay_host
{
    //! Part of a core that it has.
    double processorShare = 1.0;
    time_point lastOfferAt{};
    time_point suspendedUntil{};
};

//! Hosts that carry an owner's orders to workers, by their peer address.
struct relay_table
{
    std::map<std::string, relay_host> hosts;
};

//! Number of the first order of an owner's process that starts at \a unixNow. Answers to orders of an earlier
//! process at the same address may still arrive, so that no two processes may use the same numbers; there is
//! room for a million orders in each millisecond of a process's life.
std::uint64_t firstOrderNumber(time_point unixNow);

//! Takes an offer of \a address into \a table.
void recordOffer(relay_table &table, const std::string &address, double processorShare, time_point now);
//! Gives \a address no orders for a while.
void suspend(relay_table &table, const relay_rules &rules, const std::string &address, time_point now);
//! Tells whether \a host may be given orders at \a now.
bool isUsable(const relay_host &host, const relay_rules &rules, time_point now);

//! Tells whether an owner with \a processorShare of a core needs help with \a workers workers.
bool needsRelays(const relay_rules &rules, double processorShare, std::size_t workers);

//! The hosts that carry orders at \a now: the strongest usable ones, as few as can serve \a workers workers.
//! Few hosts make large batches, which cost the owner less.
std::vector<std::string> chooseRelays(const relay_table &table, const relay_rules &rules, std::size_t workers,
                                      time_point now);

//! The one of \a carriers that takes the orders to \a worker; empty when there is none. While \a carriers
//! stay the same so does the choice; when one leaves only its workers move.
std::string_view relayFor(std::span<const std::string> carriers, std::string_view worker);

} // namespace almond::relay
