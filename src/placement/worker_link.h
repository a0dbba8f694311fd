#pragma once

#include "placement/cell_state.h"
#include "placement/worker_protocol.h"

#include <set>
#include <string>
#include <vector>

namespace almond::placement {

//! Times that bound what an owner may grant.
struct lease_rules
{
    //! How long one renewal keeps a worker's tasks running.
    kernel::milliseconds taskLease{6000};
    //! A worker that has been silent for this long is still asked, but gets no more time and no orders.
    //! Without this the leases of a dead worker would never count as over.
    kernel::milliseconds silenceLimit{2000};
    //! Added before a task lease counts as over elsewhere; covers the difference between two hosts' clocks.
    kernel::milliseconds clockMargin{1000};
    //! How long an owner that can't reach the store goes on renewing.
    kernel::milliseconds detachedLimit{600'000};
    //! A start is valid this long after the configuration was confirmed.
    kernel::milliseconds startValidity{2000};
};

//! What the owner of a cell knows of its dealings with one worker in the present epoch.
struct worker_link
{
    std::string incarnation;
    std::uint64_t sequence = 0;
    //! Latest lease end ever sent, answered or not.
    time_point leaseGrantedUntil{};
    //! When the worker last accepted a request of this epoch.
    time_point answeredAt{};
    time_point firstRequestAt{};
    //! Attempts that the worker has reported.
    std::set<attempt_id> reportedAttempts;
    //! Ended attempts that the worker may forget.
    std::set<attempt_id> acknowledge;
    //! Finished attempts whose end is in the journal.
    std::set<attempt_id> publish;
    std::map<attempt_id, usage_report> usage;
    std::map<attempt_id, std::string> checkpoints;
};

//! What is in force while a request to a worker is built.
struct link_inputs
{
    //! When the next version of the configuration was last read as absent.
    time_point configConfirmedAt;
    //! When the store last confirmed that this process owns the cell.
    time_point ownershipConfirmedAt;
    //! Whether the failure domain takes new work.
    bool domainOpen = true;
    //! Attempts to stop in favour of urgent work.
    std::set<attempt_id> evicting;
};

//! Whether \a link has had an answer within \a limit.
bool isReachable(const worker_link &link, time_point now, kernel::milliseconds limit);

//! Builds the next request to \a worker and records in \a link what it grants.
sync_request nextRequest(const cell_state &cell, std::string_view cellName, std::string_view worker,
                         worker_link &link, const link_inputs &inputs, const lease_rules &rules,
                         time_point now);

//! What an answer says that the journal does not hold yet.
std::vector<cell_record> handleResponse(const cell_state &cell, std::string_view worker, worker_link &link,
                                        const sync_response &response, time_point now);

//! Ends the attempts at \a worker whose leases are over at \a now wherever they were granted.
std::vector<cell_record> expiredAttempts(const cell_state &cell, std::string_view worker,
                                         const worker_link &link, const lease_rules &rules, time_point now);

} // namespace almond::placement
