#include "store/retention_lease.h"

#include <utility>

namespace almond::store {

using kernel::task;
using kernel::time_point;

namespace {

constexpr kernel::milliseconds requestCheckInterval{5};

} // namespace

retention_lease::retention_lease(store_api store, kernel::clock_source clock, kernel::milliseconds retention,
                                 kernel::milliseconds period)
    : m_store(std::move(store))
    , m_clock(std::move(clock))
    , m_retention(retention)
    , m_period(period)
{
}

task<store_status> retention_lease::ensure()
{
    if (m_isRequested) {
        while (m_isRequested)
            co_await kernel::sleepFor(requestCheckInterval);
        co_return m_newest;
    }
    // The lease runs from the arrival of the call at the earliest.
    const time_point now = m_clock();
    if (m_expiresAt - now >= m_retention)
        co_return store_status::ok;
    m_isRequested = true;
    const store_reply granted = co_await m_store.grantLease(m_retention + m_period);
    m_isRequested = false;
    m_newest = granted.status;
    if (granted.status == store_status::ok) {
        m_id = granted.value;
        m_expiresAt = now + m_retention + m_period;
    }
    co_return granted.status;
}

} // namespace almond::store
