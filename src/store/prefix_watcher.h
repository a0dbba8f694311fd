#pragma once

#include "store/store_api.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace almond::store {

//! Settings of a prefix_watcher.
struct watcher_settings
{
    //! Time for which one watch waits for a change. A dead connection is noticed within this time.
    kernel::milliseconds watchTimeout{2000};
    //! Timeout of a watch after two consecutive calls without a response. After one such call, the watch does
    //! not wait, so that a store that responds again is noticed at once. Each further watch waits twice as
    //! long, up to watchTimeout, because a large response over a slow link takes time.
    kernel::milliseconds probeTimeout{500};
    //! Delay after a call without a response.
    kernel::milliseconds retryDelay{100};
    //! Delay after changes, so that the next call returns several changes at once.
    kernel::milliseconds batchDelay{0};
};

//! Callbacks of a prefix_watcher. Changes are reported in the order of their revisions.
struct watcher_events
{
    std::function<void(const stored_item &item)> written;
    std::function<void(const std::string &key)> removed;
    //! All keys with the prefix have been listed, at the start or after a gap in the history.
    std::function<void()> listed;
};

//! Returns the timeout of the next watch after \a failures consecutive calls without a response.
kernel::milliseconds nextWatchTimeout(const watcher_settings &settings, int failures);

//! Watches all keys with one prefix: lists them, then watches for changes, and lists them again after a gap
//! in the history of the store.
class prefix_watcher
{
public:
    prefix_watcher(store_api store, kernel::clock_source clock, std::string prefix, watcher_settings settings,
                   watcher_events events);

    //! Runs until stop(). Reports every existing key as written, then every change.
    kernel::task<void> run();
    void stop() { m_stopping = true; }
    bool isListed() const { return m_listed; }
    //! Returns the start of the last successful list or watch call. All changes before this time are
    //! reported.
    kernel::time_point confirmedAt() const { return m_confirmedAt; }

private:
    //! The store's revision when each page of a listing was read, by the last key of the page. The page of a
    //! key is the first one whose last key is not before it.
    using page_revisions = std::map<std::string, std::int64_t>;
    //! What has been listed so far.
    struct listing_progress
    {
        kernel::time_point startedAt{};
        std::set<std::string> keys;
        //! Revision of the first page; 0 before it was read.
        std::int64_t revision = 0;
        std::string lastKey;
        page_revisions pages;
    };

    kernel::task<bool> list();
    kernel::task<bool> watchOnce();
    //! Whether the page of the changed key already showed what \a change led to.
    bool isListedAlready(const key_change &change) const;
    void reportWritten(const stored_item &item);
    void reportMissingAsRemoved(const std::set<std::string> &listedKeys);

    store_api m_store;
    kernel::clock_source m_clock;
    std::string m_prefix;
    watcher_settings m_settings;
    watcher_events m_events;
    std::set<std::string> m_known;
    //! Set while a listing is not complete.
    std::optional<listing_progress> m_listing;
    std::int64_t m_revision = 0;
    //! Of the last listing; empty once the watch has passed all its pages.
    page_revisions m_listedPages;
    //! Of the last page of that listing, which has no last key.
    std::int64_t m_lastPageRevision = 0;
    bool m_listed = false;
    //! Consecutive calls without a response.
    int m_failures = 0;
    bool m_stopping = false;
    kernel::time_point m_confirmedAt{};
};

} // namespace almond::store
