#pragma once

#include "kernel/time.h"

namespace almond::relay {

using kernel::milliseconds;
using kernel::time_point;

//! Parameters of batch_pacing.
struct pacing_rules
{
    //! Shortest time between two batches to one host.
    milliseconds shortestInterval{10};
    //! Longest time between two batches while receipts arrive. Orders wait at most this long before they are
    //! sent; must stay well under the shortest latency objective of a job.
    milliseconds longestInterval{100};
    //! Shortest time for the receipt of a batch.
    milliseconds shortestReceiptTimeout{400};
    //! Longest time for it, also over a congested link; must stay under the lease of a task.
    milliseconds longestReceiptTimeout{2000};
};

//! Pace of the batches to one host. One batch is under way at a time, and what accumulates meanwhile makes
//! the next one larger: what is sent follows what the link and the other side take.
struct batch_pacing
{
    //! Smoothed time from sending a batch to its receipt; zero before the first one.
    milliseconds receiptTime{0};
};

//! Updates \a pacing with a receipt that arrived \a took after its batch was sent.
void recordReceipt(batch_pacing &pacing, milliseconds took);
//! Updates \a pacing after a batch without a receipt within \a waited.
void recordMissingReceipt(batch_pacing &pacing, milliseconds waited);

//! Time from one batch to the next.
milliseconds batchInterval(const batch_pacing &pacing, const pacing_rules &rules);
//! How long a receipt may take before the host is considered for loss.
milliseconds receiptTimeout(const batch_pacing &pacing, const pacing_rules &rules);

} // namespace almond::relay
