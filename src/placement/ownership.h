#pragma once

#include "kernel/time.h"
#include "store/store_api.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace almond::placement {

//! A scheduler that holds a lease, and where its peers reach it.
struct scheduler_member
{
    std::string id;
    std::string peerAddress;
};

//! The schedulers and the owners of cells as the store last showed them.
struct ownership_view
{
    std::map<std::string, scheduler_member> members;
    //! Owner of each cell that has one.
    std::map<std::string, scheduler_member> owners;
};

inline constexpr const char *schedulerPrefix = "scheduler/";

std::string memberKey(const std::string &id);
std::string ownerKey(const std::string &cell);
std::string encodeMember(const scheduler_member &member);

//! Builds the view from the items under schedulerPrefix.
ownership_view decodeOwnership(std::span<const store::stored_item> items);

//! What this process shall do about each cell that needs something done.
struct ownership_plan
{
    std::vector<std::string> acquire;
    //! To be handed over to the member that the cell belongs to.
    std::vector<std::string> release;
    //! Owned, but the owner's key went with an earlier lease: to be written again.
    std::vector<std::string> reassert;
    //! Owned here, while the store names another owner.
    std::vector<std::string> lost;
};

//! Cells without an owner, and since when this process has seen them so.
using ownerless_times = std::map<std::string, kernel::time_point>;

//! Plans for the scheduler \a self. A cell belongs to the member that rendezvous hashing names; another
//! member takes it only after \a grace without an owner.
ownership_plan planOwnership(const ownership_view &view, std::span<const std::string> cells,
                             const std::string &self, const std::set<std::string> &owned,
                             ownerless_times &ownerless, kernel::milliseconds grace, kernel::time_point now);

} // namespace almond::placement
