#include "standins/platform_state.h"

#include <algorithm>

namespace almond::standins {

using kernel::time_point;
using store::store_reply;
using store::store_status;

namespace {

void removeKeysOfLease(platform_state &state, const std::string &lease)
{
    for (auto it = state.items.begin(); it != state.items.end();) {
        if (it->second.lease == lease) {
            it = state.items.erase(it);
            ++state.revision;
        } else {
            ++it;
        }
    }
}

} // namespace

void expireLeases(platform_state &state, time_point now)
{
    for (auto it = state.leases.begin(); it != state.leases.end();) {
        if (it->second.expiresAt <= now) {
            removeKeysOfLease(state, it->first);
            it = state.leases.erase(it);
        } else {
            ++it;
        }
    }
}

store_reply getItem(const platform_state &state, const std::string &key)
{
    const auto found = state.items.find(key);
    if (found == state.items.end())
        return {store_status::absent, {}, 0};
    return {store_status::ok, found->second.value, found->second.revision};
}

store_reply putItem(platform_state &state, const std::string &key, std::string value,
                    const write_condition &condition, const std::string &lease)
{
    const auto found = state.items.find(key);
    const bool exists = found != state.items.end();
    if (condition.ifAbsent && exists)
        return {store_status::conflict, {}, found->second.revision};
    if (condition.ifRevision && (!exists || found->second.revision != *condition.ifRevision))
        return {store_status::conflict, {}, exists ? found->second.revision : 0};
    if (!lease.empty() && !state.leases.contains(lease))
        return {store_status::conflict, {}, 0};
    ++state.revision;
    state.items[key] = {std::move(value), state.revision, lease};
    return {store_status::ok, {}, state.revision};
}

store_reply removeItem(platform_state &state, const std::string &key)
{
    if (state.items.erase(key) == 0)
        return {store_status::absent, {}, 0};
    ++state.revision;
    return {store_status::ok, {}, state.revision};
}

std::vector<store::stored_item> rangeItems(const platform_state &state, const store::key_range &range)
{
    std::vector<store::stored_item> result;
    auto it = state.items.lower_bound(range.start);
    for (; it != state.items.end() && it->first < range.end && result.size() < range.limit; ++it)
        result.push_back({it->first, it->second.value, it->second.revision});
    return result;
}

std::string grantLease(platform_state &state, kernel::milliseconds ttl, time_point now)
{
    const std::string id = "lease-" + std::to_string(state.nextLease++);
    state.leases[id] = {ttl, now + ttl};
    return id;
}

bool renewLease(platform_state &state, const std::string &lease, time_point now)
{
    const auto found = state.leases.find(lease);
    if (found == state.leases.end())
        return false;
    found->second.expiresAt = now + found->second.ttl;
    return true;
}

void revokeLease(platform_state &state, const std::string &lease)
{
    removeKeysOfLease(state, lease);
    state.leases.erase(lease);
}

void changeHost(platform_state &state, const std::string &id, const json &host, kernel::milliseconds lag,
                time_point now)
{
    const auto found = state.hosts.find(id);
    const json before = found == state.hosts.end() ? json() : found->second;
    if (before == host)
        return;
    if (host.is_null())
        state.hosts.erase(id);
    else
        state.hosts[id] = host;
    state.hostChanges.push_back({id, host, now + lag});
}

json hostsSince(const platform_state &state, std::int64_t revision, time_point now)
{
    std::map<std::string, json> latest;
    auto index = static_cast<std::size_t>(std::max<std::int64_t>(0, revision));
    for (; index < state.hostChanges.size() && state.hostChanges[index].visibleAt <= now; ++index)
        latest[state.hostChanges[index].id] = state.hostChanges[index].host;
    json changed = json::array();
    json removed = json::array();
    for (const auto &[id, host] : latest) {
        if (host.is_null())
            removed.push_back(id);
        else
            changed.push_back(host);
    }
    return {{"revision", std::max<std::int64_t>(revision, static_cast<std::int64_t>(index))},
            {"hosts", changed},
            {"removed", removed}};
}

} // namespace almond::standins
