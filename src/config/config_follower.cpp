#include "config/config_follower.h"

#include "observe/log.h"

namespace almond::config {

using kernel::task;
using store::store_status;

config_follower::config_follower(store::store_api store, kernel::clock_source clock,
                                 follower_settings settings, peer_config_source peers)
    : m_store(std::move(store))
    , m_clock(std::move(clock))
    , m_settings(settings)
    , m_peers(std::move(peers))
{
}

task<void> config_follower::run()
{
    while (true) {
        co_await refresh();
        co_await kernel::sleepFor(m_settings.pollInterval);
    }
}

task<void> config_follower::refresh()
{
    const bool answered = co_await poll();
    if (!answered)
        co_await refreshFromPeers();
    else
        co_await compact();
}

task<bool> config_follower::poll()
{
    const kernel::time_point readAt = m_clock();
    const store::journal_tail tail = co_await store::readTail(m_store, journalName, m_view->version + 1);
    if (tail.status != store_status::ok)
        co_return false;
    m_snapshotIndex = tail.snapshotIndex;
    // Entries that a snapshot covers may have been removed, so their absence does not mean that they were
    // never written.
    if (tail.snapshotIndex > m_view->version)
        co_return co_await reload();
    config_view next = *m_view;
    for (const store::journal_entry &entry : tail.entries)
        next = applyEntry(next, entry);
    next.confirmedAt = readAt;
    install(std::move(next));
    co_return true;
}

task<bool> config_follower::reload()
{
    const kernel::time_point readAt = m_clock();
    const store::journal_contents contents = co_await store::loadJournal(m_store, journalName);
    if (contents.status != store_status::ok)
        co_return false;
    config_view next = viewFromJournal(contents);
    next.confirmedAt = readAt;
    install(std::move(next));
    co_return true;
}

task<void> config_follower::refreshFromPeers()
{
    if (!m_peers)
        co_return;
    const config_view_ptr newest = co_await m_peers();
    if (!newest || newest->version < m_view->version)
        co_return;
    config_view next = *newest;
    next.confirmedAt = std::max(newest->confirmedAt, m_view->confirmedAt);
    install(std::move(next));
}

task<void> config_follower::compact()
{
    const bool due
        = m_settings.snapshotAfter > 0 && m_view->version >= m_snapshotIndex + m_settings.snapshotAfter;
    if (!due)
        co_return;
    const config_view_ptr view = m_view;
    const bool written = co_await store::writeSnapshot(m_store, journalName, view->version, view->document);
    if (written)
        m_snapshotIndex = view->version;
}

void config_follower::install(config_view view)
{
    if (view.version < m_view->version)
        return;
    const bool changed = view.version > m_view->version;
    m_view = std::make_shared<const config_view>(std::move(view));
    if (!changed)
        return;
    observe::log(observe::log_level::info, "new configuration version applied",
                 {{"version", m_view->version}});
    for (const auto &listener : m_listeners)
        listener();
}

} // namespace almond::config
