#pragma once

#include "placement/cell_owner.h"
#include "placement/ownership.h"
#include "wire/peer_link.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>

namespace almond::placement {

//! Settings of a scheduler's part in the ownership of cells.
struct scheduler_options
{
    scheduler_member self;
    kernel::milliseconds storeLease{4000};
    kernel::milliseconds renewInterval{1000};
    //! Time without an owner after which any scheduler takes a cell.
    kernel::milliseconds takeoverGrace{2000};
};

//! Holds this scheduler's lease, takes and hands over cells, and finds the owner of each cell.
class scheduler_service
{
public:
    scheduler_service(boost::asio::io_context &context, scheduler_options options,
                      owner_dependencies dependencies, wire::peer_link &peers);

    //! Renews, takes and hands over until stop().
    kernel::task<void> run();
    //! Hands every cell over and gives the lease back.
    kernel::task<void> stop();

    //! The cells that this process owns.
    const std::map<std::string, std::shared_ptr<cell_owner>> &cells() const { return m_cells; }
    //! The owner of \a cell if this process owns it.
    std::shared_ptr<cell_owner> find(const std::string &cell) const;
    const ownership_view &view() const { return m_view; }
    //! Tells whether the view is recent enough to find the owners of cells by it.
    bool knowsOwners(time_point now) const;
    json dump() const;

private:
    kernel::task<bool> renew();
    kernel::task<bool> registerMember();
    //! Reads who owns what, and takes and hands over cells if this process's lease was \a renewed.
    kernel::task<void> refreshView(bool renewed);
    kernel::task<void> acquire(std::string cell);
    kernel::task<void> release(std::string cell);
    kernel::task<bool> admitInCell(std::string cell, json records);
    void dropReplacedOwners();

    boost::asio::io_context &m_context;
    scheduler_options m_options;
    owner_dependencies m_dependencies;
    wire::peer_link &m_peers;
    std::string m_lease;
    bool m_memberRegistered = false;
    bool m_stopping = false;
    bool m_running = false;
    time_point m_confirmedAt{};
    time_point m_viewReadAt{};
    ownership_view m_view;
    ownerless_times m_ownerless;
    std::map<std::string, std::shared_ptr<cell_owner>> m_cells;
};

} // namespace almond::placement
