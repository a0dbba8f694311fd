#include "relay/batch_pacing.h"

#include <algorithm>

namespace almond::relay {

namespace {

//! A new receipt counts for one part in this many of the smoothed time.
constexpr int smoothing = 4;

milliseconds smoothed(milliseconds known, milliseconds newest)
{
    return known.count() == 0 ? newest : (known * (smoothing - 1) + newest) / smoothing;
}

} // namespace

void recordReceipt(batch_pacing &pacing, milliseconds took)
{
    pacing.receiptTime = smoothed(pacing.receiptTime, std::max(took, milliseconds(1)));
}

void recordMissingReceipt(batch_pacing &pacing, milliseconds waited)
{
    pacing.receiptTime = std::max(pacing.receiptTime, smoothed(pacing.receiptTime, waited));
}

milliseconds batchInterval(const batch_pacing &pacing, const pacing_rules &rules)
{
    return std::clamp(pacing.receiptTime * 2, rules.shortestInterval, rules.longestInterval);
}

milliseconds receiptTimeout(const batch_pacing &pacing, const pacing_rules &rules)
{
    return std::clamp(pacing.receiptTime * 4, rules.shortestReceiptTimeout, rules.longestReceiptTimeout);
}

} // namespace almond::relay
