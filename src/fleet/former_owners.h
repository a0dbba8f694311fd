#pragma once

#include "wire/peer_link.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace almond::fleet {

struct renewal_query_rules
{
    //! Time for a response; a process that is alive needs far less.
    kernel::milliseconds responseTimeout{400};
    //! Delay before the next query after one that confirmed nothing; the process may be restarting.
    kernel::milliseconds retryDelay{200};
};

//! Registers the call with which the owner of a later term asks whether this process may still renew task
//! leases. \a mayRenew decides; once it has returned false for a term, this process must not become the owner
//! of an earlier term.
void provideRenewalQuery(wire::peer_link &peers, std::function<bool(std::uint64_t laterTerm)> mayRenew);

//! Queries each of \a owners, given by peer address, until it has confirmed to the owner of \a term that it
//! renews no more task leases. A process that was killed confirms this once it has restarted. Returns false
//! if \a keepWaiting returned false first.
kernel::task<bool> awaitFormerOwners(wire::peer_link *peers, std::vector<std::string> owners,
                                     std::uint64_t term, std::function<bool()> keepWaiting,
                                     renewal_query_rules rules);

} // namespace almond::fleet
