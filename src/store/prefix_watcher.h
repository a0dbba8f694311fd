#pragma once

#include "store/store_api.h"

#include <functional>
#include <set>
#include <string>

namespace almond::store {

//! Bounds of a prefix_watcher.
struct watcher_settings
{
    //! How long one watch waits. A connection that has gone silent is noticed at most this much later.
    kernel::milliseconds watchTimeout{2000};
    //! How long a watch waits after the second call in a row without an answer; the one after the first does
    //! not wait, since the return of a silent store is noticed with the first call that it answers. Each
    //! further one waits twice as long, up to watchTimeout: a large answer over a slow link takes its time.
    kernel::milliseconds probeTimeout{500};
    //! Pause after a call without an answer.
    kernel::milliseconds retryDelay{100};
    //! Pause after changes, so that those that come together cost one call.
    kernel::milliseconds batchDelay{0};
};

//! What a follower tells its user. Changes come in the order of their revisions.
struct watcher_events
{
    std::function<void(const stored_item &item)> written;
    std::function<void(const std::string &key)> removed;
    //! The whole prefix has been read, at first or again after a gap in the history.
    std::function<void()> listed;
};

//! How long the next watch waits after \a failures calls in a row without an answer.
kernel::milliseconds nextWatchTimeout(const watcher_settings &settings, int failures);

//! Follows all keys with one prefix: lists them, then watches, and lists again after a gap in the history.
class prefix_watcher
{
public:
    prefix_watcher(store_api store, kernel::clock_source clock, std::string prefix, watcher_settings settings,
                   watcher_events events);

    //! Follows until stop(). Reports every key that stands as written, then goes on with the changes.
    kernel::task<void> run();
    void stop() { m_stopping = true; }
    bool isListed() const { return m_listed; }
    //! When the view was last known to be complete; a time of the clock.
    kernel::time_point confirmedAt() const { return m_confirmedAt; }

private:
    kernel::task<bool> list();
    kernel::task<bool> watchOnce();
    void forgetMissing(const std::set<std::string> &standing);

    store_api m_store;
    kernel::clock_source m_clock;
    std::string m_prefix;
    watcher_settings m_settings;
    watcher_events m_events;
    std::set<std::string> m_known;
    std::int64_t m_revision = 0;
    bool m_listed = false;
    //! Calls in a row without an answer.
    int m_failures = 0;
    bool m_stopping = false;
    kernel::time_point m_confirmedAt{};
};

} // namespace almond::store
