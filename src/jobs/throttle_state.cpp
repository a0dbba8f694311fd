#include "jobs/throttle_state.h"

#include <algorithm>

namespace almond::jobs {

namespace {

//! How long a suspension may be without a response until it is sent again.
constexpr milliseconds suspensionRepeatTime{500};

//! Whether \a response shows that the order has no effect any more, however often it is repeated.
bool isPointless(const order_response &response)
{
    return response.outcome == order_outcome::refused
        && (response.refusal == order_refusal::obsolete || response.refusal == order_refusal::malformed
            || response.refusal == order_refusal::otherIncarnation
            || response.refusal == order_refusal::fenced);
}

} // namespace

int throttlePercent(const throttle_state &throttle, const task_name &task, std::uint32_t run)
{
    const auto limit = throttle.percentByRun.find({task, run});
    return limit == throttle.percentByRun.end() ? 100 : limit->second;
}

std::optional<throttle_order> nextThrottleOrder(throttle_state &throttle, const run_key &run, time_point now)
{
    const int decided = throttlePercent(throttle, run.first, run.second);
    const auto known = throttle.orders.find(run);
    if (known == throttle.orders.end() && decided == 100)
        return std::nullopt;
    limit_order &order = throttle.orders[run];
    const bool isOrdered = known != throttle.orders.end() && order.percent == decided;
    const bool overdue = decided == 0 && order.awaitsResponse && now - order.sentAt >= suspensionRepeatTime;
    if (isOrdered && (order.acceptedAt != time_point{} || (order.awaitsResponse && !overdue)))
        return std::nullopt;
    const bool underWay = order.awaitsResponse || order.earlierUnderWay > 0;
    if (underWay && decided > order.percent)
        return std::nullopt;
    if (order.awaitsResponse)
        ++order.earlierUnderWay;
    order.percent = decided;
    order.acceptedAt = time_point{};
    order.sentAt = now;
    order.awaitsResponse = true;
    return throttle_order{run.first, run.second, decided};
}

void recordThrottleResponse(throttle_state &throttle, const throttle_order &order,
                            const order_response &response, time_point now)
{
    const auto known = throttle.orders.find({order.task, order.run});
    if (known == throttle.orders.end())
        return;
    limit_order &newest = known->second;
    if (response.outcome == order_outcome::unknown)
        newest.unansweredAt = now;
    if (newest.percent != order.percent || !newest.awaitsResponse) {
        newest.earlierUnderWay = std::max(0, newest.earlierUnderWay - 1);
        // It may have been carried out after the newest one.
        if (newest.percent != order.percent)
            newest.acceptedAt = time_point{};
        return;
    }
    newest.awaitsResponse = false;
    if (response.outcome == order_outcome::accepted || isPointless(response))
        newest.acceptedAt = now;
}

} // namespace almond::jobs
