#include "store/host_list.h"

namespace almond::store {

using kernel::task;

host_list::host_list(http_store &platform, kernel::milliseconds pollInterval)
    : m_platform(platform)
    , m_pollInterval(pollInterval)
{
}

task<void> host_list::run()
{
    while (true) {
        co_await poll();
        co_await kernel::sleepFor(m_pollInterval);
    }
}

task<void> host_list::poll()
{
    const host_changes changes = co_await m_platform.hostsSince(m_revision);
    if (changes.status != store_status::ok)
        co_return;
    m_revision = changes.revision;
    const bool first = !m_loaded;
    m_loaded = true;
    for (const listed_host &host : changes.changed)
        m_hosts[host.id] = host;
    for (const std::string &id : changes.removed)
        m_hosts.erase(id);
    if (!first && changes.changed.empty() && changes.removed.empty())
        co_return;
    for (const auto &listener : m_listeners)
        listener();
}

} // namespace almond::store
