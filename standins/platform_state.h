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

//! One key of the stand-in store.
struct kv_item
{
    std::string value;
    std::int64_t revision = 0;
    std::string lease;
};

struct kv_lease
{
    kernel::milliseconds ttl{0};
    kernel::time_point expiresAt;
};

//! A change of the host list; it becomes visible when the list's lag has passed.
struct host_change
{
    std::string id;
    json host; // null when the host was removed
    kernel::time_point visibleAt;
};

//! The platform's key-value service and host list, without any transport.
struct platform_state
{
    std::map<std::string, kv_item> items;
    std::map<std::string, kv_lease> leases;
    std::int64_t revision = 0;
    std::uint64_t nextLease = 1;
    std::vector<host_change> hostChanges;
    std::map<std::string, json> hosts;
};

//! The condition of a write; at most one member is set.
struct write_condition
{
    bool ifAbsent = false;
    std::optional<std::int64_t> ifRevision;
};

//! Removes the leases that are over at \a now, with their keys.
void expireLeases(platform_state &state, kernel::time_point now);

store::store_reply getItem(const platform_state &state, const std::string &key);
store::store_reply putItem(platform_state &state, const std::string &key, std::string value,
                           const write_condition &condition, const std::string &lease);
store::store_reply removeItem(platform_state &state, const std::string &key);
std::vector<store::stored_item> rangeItems(const platform_state &state, const store::key_range &range);

std::string grantLease(platform_state &state, kernel::milliseconds ttl, kernel::time_point now);
bool keepLease(platform_state &state, const std::string &lease, kernel::time_point now);
void revokeLease(platform_state &state, const std::string &lease);

//! Records \a host (null removes it), visible after \a lag. Nothing is recorded when nothing changed.
void changeHost(platform_state &state, const std::string &id, const json &host, kernel::milliseconds lag,
                kernel::time_point now);
//! The visible changes after \a revision, as the host list's answer.
json hostsSince(const platform_state &state, std::int64_t revision, kernel::time_point now);

} // namespace almond::standins
