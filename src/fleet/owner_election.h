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
//! Peer address of the owner; deleted when the owner's lease expires.
inline constexpr const char *owner = "almond/owner/present";
//! Number of the newest term and the recent owners; never deleted.
inline constexpr const char *term = "almond/owner/term";
} // namespace election_key

struct election_rules
{
    //! Duration of the owner's lease. A dead owner is replaced this long after its last renewal.
    milliseconds lease{2000};
    //! Time between two renewals; several must fit into one lease.
    milliseconds renewInterval{400};
    //! Upper limit of the random delay of a candidate, so that few candidates collide.
    milliseconds candidateJitter{120};
    //! Additional delay of a weak host for each halving of its CPU share below one core, so that a stronger
    //! host wins.
    milliseconds weakHostDelay{60};
    //! An owner whose ownership has not been confirmed by the store for this long renews no more task leases.
    //! Together with the lease of a task it bridges an outage of the store. For workers that it can't reach,
    //! a successor waits until this time has passed.
    milliseconds detachedLimit{3500};
};

//! What a process knows about the current owner from the store.
struct owner_view
{
    //! Peer address of the owner; empty if there is none.
    std::string address;
    std::uint64_t term = 0;
    std::int64_t ownerRevision = 0;
    std::int64_t termRevision = 0;
    //! Peer addresses of the processes that have been the owner and may still renew task leases, newest last.
    std::vector<std::string> recentOwners{};
    //! When this process learned of the newest term.
    time_point termSeenAt{};
    //! When this process learned that the last owner's key was removed; zero if there is an owner or no
    //! removal was seen.
    time_point ownerRemovedAt{};
};

//! A term that this process has won.
struct won_term
{
    std::uint64_t term = 0;
    //! Revision of the owner key while this process is the owner; fences its writes.
    std::int64_t ownerRevision = 0;
    //! Id of the lease to which the owner key is attached.
    std::string lease;
    //! Peer addresses of other processes that may still renew task leases.
    std::vector<std::string> formerOwners{};
    //! Since when there may have been no owner that acts; zero if that is not known.
    time_point unattendedSince{};
};

//! Updates \a view with a key of the election. \a value is empty if the key was removed.
void applyOwnerKey(owner_view &view, const std::string &key, const std::string &value, std::int64_t revision,
                   time_point now);

//! Processes other than \a address that may still renew task leases at \a now. Once the newest owner has held
//! ownership for election_rules::detachedLimit, earlier owners can no longer renew.
std::vector<std::string> formerOwners(const owner_view &view, const std::string &address,
                                      const election_rules &rules, time_point now);

//! Since when there may have been no owner that acts: the last one may have ended right after it renewed its
//! lease. Zero if that is not known.
time_point unattendedSince(const owner_view &view, const election_rules &rules);

//! How long a candidate with \a processorShare of a core waits before it tries to become the owner. \a random
//! is a random number from 0 to 1.
milliseconds candidacyDelay(const election_rules &rules, double processorShare, double random);

//! Tries once to become the owner of the next term. Empty if another candidate won or the outcome is unknown.
kernel::task<std::optional<won_term>> tryAcquireOwnership(store::store_api store, std::string address,
                                                          owner_view view, election_rules rules,
                                                          time_point now);

enum class renewal_result { held, lost, unknown };

//! Renews the owner's lease. The result is unknown if the store did not respond.
kernel::task<renewal_result> renewOwnership(store::store_api store, won_term term);

//! Whether \a view names a previous run of the process at \a address, which is itself not the owner. Only one
//! process can listen at an address, so the previous one has ended even if its lease has not expired yet.
bool isPreviousRun(const owner_view &view, const std::string &address);

//! Deletes the owner key that \a view names from the store; conflict if there has been another owner since.
kernel::task<store::store_status> clearOwnership(store::store_api store, owner_view view);

//! Ends ownership immediately, so that a candidate need not wait until the lease expires.
kernel::task<void> releaseOwnership(store::store_api store, won_term term);

} // namespace almond::fleet
