#pragma once

#include "kernel/time.h"
#include "store/store_api.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almond::standins {

using json = nlohmann::json;

//! The value of one key in the stand-in store.
struct kv_item
{
    std::string value;
    //! Revision of the store at the last write of this key.
    std::int64_t revision = 0;
    //! The key is removed when this lease ends; empty if it has none.
    std::string lease;
};

struct kv_lease
{
    kernel::milliseconds ttl{0};
    kernel::time_point expiresAt;
};

//! A change of the host list. Readers see it only from visibleAt on, as the platform's host list lags.
struct host_change
{
    std::string id;
    json host; // null if the host was removed
    kernel::time_point visibleAt;
};

//! State of the platform's key-value store and host list, without transport.
struct platform_state
{
    std::map<std::string, kv_item> items;
    std::map<std::string, kv_lease> leases;
    std::int64_t revision = 0;
    std::uint64_t nextLease = 1;
    //! All changes of the host list; its revision is the number of changes.
    std::vector<host_change> hostChanges;
    std::map<std::string, json> hosts;
};

//! Precondition of a write; at most one member is set.
struct write_condition
{
    bool ifAbsent = false;
    std::optional<std::int64_t> ifRevision;
};

//! Removes the leases that have expired at \a now and the keys that are attached to them.
void expireLeases(platform_state &state, kernel::time_point now);

store::store_reply getItem(const platform_state &state, const std::string &key);
//! Writes \a key if \a condition holds, and attaches it to \a lease if that is not empty. Returns a conflict
//! if the condition does not hold or the lease does not exist.
store::store_reply putItem(platform_state &state, const std::string &key, std::string value,
                           const write_condition &condition, const std::string &lease);
store::store_reply removeItem(platform_state &state, const std::string &key);
//! Returns the items of \a range in the order of their keys, up to its limit.
std::vector<store::stored_item> rangeItems(const platform_state &state, const store::key_range &range);

//! Creates a lease that expires after \a ttl unless it is renewed; returns its id.
std::string grantLease(platform_state &state, kernel::milliseconds ttl, kernel::time_point now);
//! Extends \a lease by its ttl from \a now; returns false if it does not exist.
bool renewLease(platform_state &state, const std::string &lease, kernel::time_point now);
//! Removes \a lease and the keys that are attached to it.
void revokeLease(platform_state &state, const std::string &lease);

//! Adds or replaces the host \a id, or removes it if \a host is null. Readers see the change after \a lag.
//! Does nothing if the host already has this state.
void changeHost(platform_state &state, const std::string &id, const json &host, kernel::milliseconds lag,
                kernel::time_point now);
//! Returns the changes after \a revision that are visible at \a now, as the body of a response.
json hostsSince(const platform_state &state, std::int64_t revision, kernel::time_point now);

} // namespace almond::standins
