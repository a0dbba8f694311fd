#pragma once

#include "store/store_api.h"

#include <string>

namespace almond::store {

//! A lease for keys that the store is to remove some time after they were written. It is never renewed; the
//! keys that are written within one period share it, which costs one call a period.
class retention_lease
{
public:
    //! Keys stay for \a retention at least, and for \a period more at most.
    retention_lease(store_api store, kernel::clock_source clock, kernel::milliseconds retention,
                    kernel::milliseconds period);

    //! Makes sure that id() names a lease that keeps a key written now for long enough. Returns the status of
    //! the call to the store, ok if none was needed. Requests at the same time share one call.
    kernel::task<store_status> ensure();
    //! The lease for new keys, after ensure() has returned ok.
    const std::string &id() const { return m_id; }
    //! Call when the store doesn't know the lease any more.
    void forget() { m_expiresAt = {}; }

private:
    store_api m_store;
    kernel::clock_source m_clock;
    kernel::milliseconds m_retention;
    kernel::milliseconds m_period;
    std::string m_id;
    kernel::time_point m_expiresAt{};
    bool m_isRequested = false;
    store_status m_newest = store_status::unavailable;
};

} // namespace almond::store
