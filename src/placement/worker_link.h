#pragma once

#include "placement/cell_state.h"
#include "placement/worker_protocol.h"

#include <set>
#include <string>
#include <vector>

namespace almond::placement {

//! Time limits for the task leases and starts that an owner grants to workers.
struct lease_rules
{
    //! Time for which one renewal lets a worker's tasks run.
    kernel::milliseconds taskLease{6000};
    //! A worker that has not responded for longer still receives requests, but they neither renew its lease
    //! nor carry orders. Otherwise the lease of a dead worker would be renewed for ever and never expire.
    kernel::milliseconds unresponsiveAfter{2000};
    //! Time after the end of a task lease until the owner treats it as expired. It covers the difference
    //! between the clocks of two hosts.
    kernel::milliseconds clockMargin{1000};
    //! Time for which an owner that can't reach the store continues to renew task leases.
    kernel::milliseconds detachedLimit{600'000};
    //! Time after the last confirmation of the configuration within which a worker may start an attempt.
    kernel::milliseconds startValidity{2000};
};

//! State of the communication between the owner of a cell and one worker in the current epoch.
struct worker_link
{
    std::string incarnation;
    std::uint64_t sequence = 0;
    //! Latest lease end sent to the worker, whether the worker responded or not.
    time_point leaseGrantedUntil{};
    //! When the worker's last response that accepted a request of this epoch arrived.
    time_point lastResponseAt{};
    time_point firstRequestAt{};
    //! Attempts in the worker's last report.
    std::set<attempt_id> reportedAttempts;
    //! Ended attempts that the worker may forget.
    std::set<attempt_id> acknowledge;
    //! Attempts that finished their job and whose end is in the journal; the worker publishes their results.
    std::set<attempt_id> publish;
    std::map<attempt_id, usage_report> usage;
    std::map<attempt_id, std::string> checkpoints;
};

//! State of the owner that a request to a worker depends on.
struct link_inputs
{
    //! When the store last confirmed that no newer version of the configuration exists.
    time_point configConfirmedAt;
    //! When the store last confirmed that this process owns the cell.
    time_point ownershipConfirmedAt;
    //! Whether the failure domain is not withdrawn.
    bool domainOpen = true;
    //! Attempts to evict in favour of urgent jobs.
    std::set<attempt_id> evicting;
};

//! Tells whether the worker of \a link accepted a request within the last \a limit.
bool isReachable(const worker_link &link, time_point now, kernel::milliseconds limit);

//! Builds the next request to \a worker and records the lease that it grants in \a link.
sync_request nextRequest(const cell_state &cell, std::string_view cellName, std::string_view worker,
                         worker_link &link, const link_inputs &inputs, const lease_rules &rules,
                         time_point now);

//! Updates \a link from \a response and returns records for what it reports and the journal does not contain
//! yet: ends of attempts, a new incarnation or a changed capacity.
std::vector<cell_record> handleResponse(const cell_state &cell, std::string_view worker, worker_link &link,
                                        const sync_response &response, time_point now);

//! Returns records that end the attempts on \a worker if its task lease has expired at \a now, also a lease
//! that an earlier owner may have granted.
std::vector<cell_record> expiredAttempts(const cell_state &cell, std::string_view worker,
                                         const worker_link &link, const lease_rules &rules, time_point now);

} // namespace almond::placement
