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

//! A scheduler with a store lease, and the address at which its peers reach it.
struct scheduler_member
{
    std::string id;
    std::string peerAddress;
};

//! The schedulers and the owners of cells as last read from the store.
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

//! Decodes the items under schedulerPrefix. Malformed items are left out.
ownership_view decodeOwnership(std::span<const store::stored_item> items);

//! Cells for which this process must act, by action.
struct ownership_plan
{
    //! Cells of which this process becomes the owner.
    std::vector<std::string> acquire;
    //! Owned here, but assigned to another member: released, so that the member can acquire them.
    std::vector<std::string> release;
    //! Owned here, but the owner key was deleted when its lease expired: the key is written again.
    std::vector<std::string> reassert;
    //! Owned here, but the store names another owner.
    std::vector<std::string> lost;
};

//! Cells without an owner, and the time at which this process first saw each without one.
using ownerless_times = std::map<std::string, kernel::time_point>;

//! Plans the actions of the scheduler \a self, which owns the cells \a owned. Rendezvous hashing assigns each
//! cell to a member; another member acquires it only after \a grace without an owner. Updates \a ownerless.
ownership_plan planOwnership(const ownership_view &view, std::span<const std::string> cells,
                             const std::string &self, const std::set<std::string> &owned,
                             ownerless_times &ownerless, kernel::milliseconds grace, kernel::time_point now);

} // namespace almond::placement
