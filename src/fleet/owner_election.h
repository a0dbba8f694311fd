#pragma once

#include "store/store_api.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace almond::fleet {

using kernel::milliseconds;
using kernel::time_point;

//! Keys of the election in the store.
namespace election_key {
inline constexpr const char *prefix = "almond/owner/";
//! Who owns the jobs; goes with its lease.
inline constexpr const char *owner = "almond/owner/present";
//! Number of the newest term, and who held the office; never goes.
inline constexpr const char *term = "almond/owner/term";
} // namespace election_key

struct election_rules
{
    //! Life of an owner's lease. A dead owner is replaced this long after its last renewal.
    milliseconds lease{2000};
    //! Time between renewals; several must fit into a lease.
    milliseconds renewInterval{400};
    //! Candidates wait up to this long, drawn at random, so that few of them collide.
    milliseconds candidateJitter{120};
    //! A weak host waits this much longer for each time that it has half the processor of a whole core, so
    //! that a stronger one comes first.
    milliseconds weakHostDelay{60};
    //! An owner whose lease was not confirmed for this long renews no task any more. With the lease of a
    //! task it covers an outage of the store; a successor waits it out for workers that it can't reach.
    milliseconds detachedLimit{3500};
};

//! What a process knows of the owner.
struct owner_view
{
    //! Peer address of the owner; empty for none.
    std::string address;
    std::uint64_t term = 0;
    std::int64_t ownerRevision = 0;
    std::int64_t termRevision = 0;
    //! Peer addresses of processes that have held the office and may still renew leases at workers, the
    //! newest last.
    std::vector<std::string> recentOwners{};
    //! When this process learned of the newest term.
    time_point termSeenAt{};
};

//! A term that this process has won.
struct won_term
{
    std::uint64_t term = 0;
    //! Revision of the owner's key while this process holds it.
    std::int64_t ownerRevision = 0;
    std::string lease;
    //! Other processes that may still renew leases at workers, by peer address.
    std::vector<std::string> formerOwners{};
};

//! Takes a key of the election into \a view. \a value is empty when the key was removed.
void applyOwnerKey(owner_view &view, const std::string &key, const std::string &value, std::int64_t revision,
                   time_point now);

//! Processes other than \a address that may still renew leases at workers at \a now. Once the newest holder
//! has held the office for the detached limit, those before it renew nothing any more.
std::vector<std::string> formerOwners(const owner_view &view, const std::string &address,
                                      const election_rules &rules, time_point now);

//! How long a candidate with \a processorShare of a core waits; \a drawn is from 0 to 1.
milliseconds candidacyDelay(const election_rules &rules, double processorShare, double drawn);

//! Tries to become the owner, once. Empty when another one was faster or the store did not tell.
kernel::task<std::optional<won_term>> tryAcquireOwnership(store::store_api store, std::string address,
                                                          owner_view view, election_rules rules,
                                                          time_point now);

//! How a renewal ended.
enum class renewal_result { held, lost, unknown };

kernel::task<renewal_result> renewOwnership(store::store_api store, won_term term);

//! Tells whether \a view names an earlier life of the process at \a address, which is no owner itself. Only
//! one process can listen there, so the earlier one is gone, however long its lease still runs.
bool isPreviousRun(const owner_view &view, const std::string &address);

//! Takes the owner that \a view names out of the store; conflict when another one has come in the meantime.
kernel::task<store::store_status> clearOwnership(store::store_api store, owner_view view);

//! Gives the office back at once, so that a candidate needs not wait for the lease.
kernel::task<void> releaseOwnership(store::store_api store, won_term term);

} // namespace almond::fleet
