#include "store/prefix_watcher.h"

#include "observe/log.h"

#include <algorithm>

namespace almond::store {

using kernel::task;

kernel::milliseconds nextWatchTimeout(const watcher_settings &settings, int failures)
{
    if (failures == 0)
        return settings.watchTimeout;
    kernel::milliseconds wait{0};
    for (int number = 1; number < failures && wait < settings.watchTimeout; ++number)
        wait = wait.count() == 0 ? settings.probeTimeout : wait * 2;
    return std::min(wait, settings.watchTimeout);
}

prefix_watcher::prefix_watcher(store_api store, kernel::clock_source clock, std::string prefix,
                               watcher_settings settings, watcher_events events)
    : m_store(std::move(store))
    , m_clock(std::move(clock))
    , m_prefix(std::move(prefix))
    , m_settings(settings)
    , m_events(std::move(events))
{
}

task<void> prefix_watcher::run()
{
    while (!m_stopping) {
        const bool listing = !m_listed;
        const bool ok = listing ? co_await list() : co_await watchOnce();
        if (ok != (m_failures == 0))
            observe::log(ok ? observe::log_level::info : observe::log_level::warning,
                         ok ? "store responds again" : "store does not respond", {{"prefix", m_prefix}});
        m_failures = ok ? 0 : m_failures + 1;
        if (!ok)
            co_await kernel::sleepFor(m_settings.retryDelay);
    }
}

task<bool> prefix_watcher::list()
{
    if (!m_listing)
        m_listing = listing_progress{m_clock(), {}, 0, {}, {}};
    bool more = true;
    while (more) {
        page_reply page = co_await m_store.page(m_prefix, m_listing->lastKey);
        // The pages read so far are kept for the next attempt. A listing that takes longer than the store
        // keeps its history begins anew after the first watch.
        if (page.status != store_status::ok)
            co_return false;
        // The watch starts at the revision of the first page. It repeats changes that later pages have shown;
        // reporting those again would take their keys back to an earlier state for a while.
        if (m_listing->revision == 0)
            m_listing->revision = page.revision;
        for (const stored_item &item : page.items) {
            m_listing->keys.insert(item.key);
            reportWritten(item);
            m_listing->lastKey = item.key;
        }
        more = page.more && !page.items.empty();
        if (more)
            m_listing->pages[m_listing->lastKey] = page.revision;
        else
            m_lastPageRevision = page.revision;
    }
    const listing_progress listing = *std::exchange(m_listing, std::nullopt);
    m_listedPages = listing.pages;
    reportMissingAsRemoved(listing.keys);
    m_revision = listing.revision;
    m_confirmedAt = listing.startedAt;
    m_listed = true;
    if (m_events.listed)
        m_events.listed();
    co_return true;
}

//! One item that the receiver can't handle must not keep the others from it.
void prefix_watcher::reportWritten(const stored_item &item)
{
    try {
        m_events.written(item);
    } catch (const std::exception &error) {
        observe::logLimited(observe::log_level::error, "unexpected error in handling a key",
                            {{"key", item.key}, {"error", error.what()}}, m_clock());
    }
}

void prefix_watcher::reportMissingAsRemoved(const std::set<std::string> &listedKeys)
{
    for (const std::string &key : m_known) {
        if (!listedKeys.contains(key))
            m_events.removed(key);
    }
    m_known = listedKeys;
}

bool prefix_watcher::isListedAlready(const key_change &change) const
{
    if (m_listedPages.empty())
        return false;
    const auto page = m_listedPages.lower_bound(change.item.key);
    return change.item.revision <= (page == m_listedPages.end() ? m_lastPageRevision : page->second);
}

task<bool> prefix_watcher::watchOnce()
{
    const kernel::time_point startedAt = m_clock();
    const kernel::milliseconds wait = nextWatchTimeout(m_settings, m_failures);
    const watch_reply reply = co_await m_store.watch(m_prefix, m_revision, wait);
    if (reply.status == store_status::conflict) {
        m_listed = false;
        co_return true;
    }
    if (reply.status != store_status::ok)
        co_return false;
    m_confirmedAt = startedAt;
    m_revision = std::max(m_revision, reply.revision);
    for (const key_change &change : reply.changes) {
        if (isListedAlready(change))
            continue;
        if (change.removed) {
            m_known.erase(change.item.key);
            m_events.removed(change.item.key);
        } else {
            m_known.insert(change.item.key);
            reportWritten(change.item);
        }
    }
    if (m_revision >= m_lastPageRevision)
        m_listedPages.clear();
    const bool changed = !reply.changes.empty();
    if (changed && m_settings.batchDelay.count() > 0)
        co_await kernel::sleepFor(m_settings.batchDelay);
    co_return true;
}

} // namespace almond::store
