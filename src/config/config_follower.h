#pragma once

#include "config/config_journal.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace almond::config {

//! Bounds of a config_follower.
struct follower_settings
{
    kernel::milliseconds pollInterval{500};
    //! Entries that may stand before this process writes a snapshot; 0 writes none.
    std::uint64_t snapshotAfter = 0;
};

//! Asks this process's peers for their newest view; empty when none answers.
using peer_config_source = std::function<kernel::task<config_view_ptr>()>;

//! Keeps this process at the newest version of the configuration. A version never reverts.
class config_follower
{
public:
    config_follower(store::store_api store, kernel::clock_source clock, follower_settings settings,
                    peer_config_source peers);

    //! Refreshes until the process ends.
    kernel::task<void> run();
    //! Reads the store once, or asks the peers when it does not answer.
    kernel::task<void> refresh();

    config_view_ptr view() const { return m_view; }
    //! Calls \a listener after each new version.
    void onChange(std::function<void()> listener) { m_listeners.push_back(std::move(listener)); }

private:
    kernel::task<bool> poll();
    kernel::task<bool> reload();
    kernel::task<void> askPeers();
    kernel::task<void> compact();
    void take(config_view view);

    store::store_api m_store;
    kernel::clock_source m_clock;
    follower_settings m_settings;
    peer_config_source m_peers;
    config_view_ptr m_view = std::make_shared<config_view>();
    std::uint64_t m_snapshotIndex = 0;
    std::vector<std::function<void()>> m_listeners;
};

} // namespace almond::config
