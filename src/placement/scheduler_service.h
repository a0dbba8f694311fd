#pragma once

#include "placement/cell_owner.h"
#include "placement/ownership.h"
#include "wire/peer_link.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>

namespace almond::placement {

//! Settings for how a scheduler acquires and keeps cells.
struct scheduler_options
{
    scheduler_member self;
    //! Duration of the store lease under which this process's member and owner keys exist.
    kernel::milliseconds storeLease{4000};
    kernel::milliseconds renewInterval{1000};
    //! Time without an owner after which any scheduler may acquire a cell.
    kernel::milliseconds takeoverGrace{2000};
};

//! Renews this scheduler's store lease, acquires and releases cells, and knows the owner of each cell.
class scheduler_service
{
public:
    scheduler_service(boost::asio::io_context &context, scheduler_options options,
                      owner_dependencies dependencies, wire::peer_link &peers);

    //! Renews the lease, and acquires and releases cells until stop().
    kernel::task<void> run();
    //! Releases all cells and revokes the lease.
    kernel::task<void> stop();

    //! The cells that this process owns.
    const std::map<std::string, std::shared_ptr<cell_owner>> &cells() const { return m_cells; }
    //! Returns the owner object of \a cell if this process owns it, else null.
    std::shared_ptr<cell_owner> find(const std::string &cell) const;
    //! Schedulers and owners as last read from the store.
    const ownership_view &view() const { return m_view; }
    //! Tells whether view() is recent enough at \a now to find the owners of cells.
    bool knowsOwners(time_point now) const;
    //! Returns the state of the owned cells and the view for diagnostics.
    json dump() const;

private:
    //! Renews the lease, or obtains a new one and registers this process. False if that failed.
    kernel::task<bool> renew();
    //! Writes the member key of this process under its lease.
    kernel::task<bool> registerMember();
    //! Reads the owners of the cells, and acquires and releases cells if this process's lease was \a renewed.
    kernel::task<void> refreshView(bool renewed);
    //! Writes the owner key of \a cell, takes over its journal and starts to schedule it.
    kernel::task<void> acquire(std::string cell);
    //! Stops scheduling \a cell and deletes its owner key, so that another scheduler can acquire the cell.
    kernel::task<void> release(std::string cell);
    //! Commits admitted_records to the journal of \a cell through its owner, which may be another process.
    //! True once they are committed.
    kernel::task<bool> admitInCell(std::string cell, json records);
    //! Drops the cells that another process has taken over.
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
