#pragma once

#include "config/config_journal.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace almond::config {

//! Settings of a config_follower.
struct follower_settings
{
    kernel::milliseconds pollInterval{500};
    //! Number of entries after which this process writes a snapshot and removes them; 0 for no snapshots.
    std::uint64_t snapshotAfter = 0;
};

//! Requests the peers' views of the configuration and returns the newest; null if no peer responds.
using peer_config_source = std::function<kernel::task<config_view_ptr>()>;

//! Follows the configuration journal, so that this process has the newest version. While the store is
//! unavailable it takes newer versions from its peers. The version never decreases.
class config_follower
{
public:
    config_follower(store::store_api store, kernel::clock_source clock, follower_settings settings,
                    peer_config_source peers);

    //! Refreshes at the poll interval; never returns.
    kernel::task<void> run();
    //! Reads the journal once, or requests the peers' views if the store does not respond.
    kernel::task<void> refresh();

    config_view_ptr view() const { return m_view; }
    //! Calls \a listener after each new version.
    void onChange(std::function<void()> listener) { m_listeners.push_back(std::move(listener)); }

private:
    kernel::task<bool> poll();
    kernel::task<bool> reload();
    kernel::task<void> refreshFromPeers();
    kernel::task<void> compact();
    void install(config_view view);

    store::store_api m_store;
    kernel::clock_source m_clock;
    follower_settings m_settings;
    peer_config_source m_peers;
    config_view_ptr m_view = std::make_shared<config_view>();
    std::uint64_t m_snapshotIndex = 0;
    std::vector<std::function<void()>> m_listeners;
};

} // namespace almond::config
