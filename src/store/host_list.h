#pragma once

#include "store/http_store.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace almond::store {

//! This process's copy of the platform's host list.
class host_list
{
public:
    explicit host_list(http_store &platform, kernel::milliseconds pollInterval);

    //! Polls at the poll interval; never returns.
    kernel::task<void> run();
    //! Requests the changes since the last poll.
    kernel::task<void> poll();

    const std::map<std::string, listed_host> &hosts() const { return m_hosts; }
    //! Returns whether the list has been read at least once.
    bool isLoaded() const { return m_loaded; }
    //! Calls \a listener after each change and after the first read.
    void onChange(std::function<void()> listener) { m_listeners.push_back(std::move(listener)); }

private:
    http_store &m_platform;
    kernel::milliseconds m_pollInterval;
    std::int64_t m_revision = 0;
    bool m_loaded = false;
    std::map<std::string, listed_host> m_hosts;
    std::vector<std::function<void()>> m_listeners;
};

} // namespace almond::store
