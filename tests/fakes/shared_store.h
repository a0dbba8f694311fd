#pragma once

#include "store/store_api.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace almond::fakes {

//! A store in memory that several simulated processes of a test share. It responds at once, except that a
//! watch waits up to 5 ms. Responses to writes can be lost, and the history can be compacted.
class shared_store
{
public:
    store::store_api api()
    {
        store::store_api api;
        api.get = [this](std::string key) -> kernel::task<store::store_reply> { co_return get(key); };
        api.page = [this](std::string prefix, std::string after) -> kernel::task<store::page_reply> {
            co_return page(prefix, after);
        };
        api.watch = [this](std::string prefix, std::int64_t after,
                           kernel::milliseconds wait) -> kernel::task<store::watch_reply> {
            watchTimeouts.push_back(wait);
            if (beforeWatch)
                beforeWatch();
            if (after >= m_compactedRevision && !hasChanges(prefix, after))
                co_await kernel::sleepFor(std::min(wait, kernel::milliseconds(5)));
            co_return watch(prefix, after);
        };
        api.commit = [this](store::transaction change) -> kernel::task<store::store_reply> {
            co_return write(std::move(change));
        };
        api.create = [this](std::string key, std::string value,
                            std::string lease) -> kernel::task<store::store_reply> {
            store::transaction change;
            change.preconditions.push_back({key, 0});
            change.puts.push_back({key, value, lease});
            co_return write(std::move(change));
        };
        api.grantLease = [this](kernel::milliseconds) -> kernel::task<store::store_reply> {
            co_return store::store_reply{status(), std::to_string(++m_leases), 0};
        };
        api.keepAlive = [this](std::string) -> kernel::task<store::store_reply> {
            co_return store::store_reply{status(), "", 0};
        };
        api.revokeLease = [this](std::string lease) -> kernel::task<store::store_reply> {
            std::vector<std::string> leasedKeys;
            for (const auto &[key, entry] : m_items) {
                if (entry.lease == lease)
                    leasedKeys.push_back(key);
            }
            for (const std::string &key : leasedKeys)
                erase(key);
            co_return store::store_reply{status(), "", 0};
        };
        return api;
    }

    void put(const std::string &key, const std::string &value, const std::string &lease = {})
    {
        m_items[key] = {value, ++m_revision, lease};
        m_history.push_back({{key, value, m_revision}, false});
    }

    void erase(const std::string &key)
    {
        if (m_items.erase(key) > 0)
            m_history.push_back({{key, "", ++m_revision}, true});
    }

    void compactHistory()
    {
        m_compactedRevision = m_revision;
        m_history.clear();
    }

    std::int64_t revisionOf(const std::string &key) const
    {
        const auto found = m_items.find(key);
        return found == m_items.end() ? 0 : found->second.revision;
    }

    //! Number of the next writes that take effect without a response.
    int loseAnswers = 0;
    bool down = false;
    std::function<void()> beforeWatch;
    //! The timeout of each watch call.
    std::vector<kernel::milliseconds> watchTimeouts;

private:
    struct entry
    {
        std::string value;
        std::int64_t revision = 0;
        std::string lease;
    };

    store::store_status status() const
    {
        return down ? store::store_status::refused : store::store_status::ok;
    }

    store::store_reply get(const std::string &key) const
    {
        const auto found = m_items.find(key);
        if (down)
            return {store::store_status::refused, "", 0};
        if (found == m_items.end())
            return {store::store_status::absent, "", 0};
        return {store::store_status::ok, found->second.value, found->second.revision};
    }

    store::page_reply page(const std::string &prefix, const std::string &after) const
    {
        store::page_reply reply;
        reply.status = status();
        reply.revision = m_revision;
        for (const auto &[key, entry] : m_items) {
            if (key.starts_with(prefix) && key > after)
                reply.items.push_back({key, entry.value, entry.revision});
        }
        return reply;
    }

    bool hasChanges(const std::string &prefix, std::int64_t after) const
    {
        for (const store::key_change &change : m_history) {
            if (change.item.revision > after && change.item.key.starts_with(prefix))
                return true;
        }
        return false;
    }

    store::watch_reply watch(const std::string &prefix, std::int64_t after) const
    {
        store::watch_reply reply;
        reply.status = after < m_compactedRevision ? store::store_status::conflict : status();
        reply.revision = m_revision;
        for (const store::key_change &change : m_history) {
            if (change.item.revision > after && change.item.key.starts_with(prefix))
                reply.changes.push_back(change);
        }
        return reply;
    }

    store::store_reply write(store::transaction change)
    {
        if (down)
            return {store::store_status::refused, "", 0};
        for (const store::key_precondition &expected : change.preconditions) {
            if (revisionOf(expected.key) != expected.revision)
                return {store::store_status::conflict, "", 0};
        }
        ++m_revision;
        for (const store::key_value &put : change.puts) {
            m_items[put.key] = {put.value, m_revision, put.lease};
            m_history.push_back({{put.key, put.value, m_revision}, false});
        }
        for (const std::string &key : change.removals) {
            if (m_items.erase(key) > 0)
                m_history.push_back({{key, "", m_revision}, true});
        }
        if (loseAnswers > 0) {
            --loseAnswers;
            return {store::store_status::unavailable, "", 0};
        }
        return {store::store_status::ok, "", m_revision};
    }

    std::map<std::string, entry> m_items;
    std::vector<store::key_change> m_history;
    std::int64_t m_revision = 0;
    std::int64_t m_compactedRevision = 0;
    int m_leases = 0;
};

} // namespace almond::fakes
