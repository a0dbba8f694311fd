#pragma once

#include "wire/peer_link.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace almond::fleet {

struct renewal_query_rules
{
    //! Time for an answer; a process that is alive needs far less.
    kernel::milliseconds answerTimeout{400};
    //! Pause before a process that gave no answer is asked again; it may be about to start again.
    kernel::milliseconds retryPause{200};
};

//! Lets the owner of a later term ask whether this process may still renew leases at workers, as \a renews
//! tells. Once it has told so it must take no office of an earlier term.
void provideRenewalQuery(wire::peer_link &peers, std::function<bool(std::uint64_t laterTerm)> renews);

//! Asks each of \a holders, by peer address, until it has answered the owner of \a term that it renews no
//! lease. A process that was killed answers so once it has started again. False when \a goOn told to give up
//! before.
kernel::task<bool> awaitFormerOwners(wire::peer_link *peers, std::vector<std::string> holders,
                                     std::uint64_t term, std::function<bool()> goOn,
                                     renewal_query_rules rules);

} // namespace almond::fleet
