#pragma once

#include "store/store_api.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace almond::fakes {

//! A store in memory that several processes of a test share. It answers at once; answers of writes can be
//! lost and the history can be forgotten.
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
            if (beforeWatch)
                beforeWatch();
            if (after >= forgotten && !hasChanges(prefix, after))
                co_await kernel::sleepFor(std::min(wait, kernel::milliseconds(5)));
            co_return watch(prefix, after);
        };
        api.commit = [this](store::conditional_change change) -> kernel::task<store::store_reply> {
            co_return write(std::move(change));
        };
        api.create = [this](std::string key, std::string value,
                            std::string lease) -> kernel::task<store::store_reply> {
            store::conditional_change change;
            change.expected.push_back({key, 0});
            change.puts.push_back({key, value, lease});
            co_return write(std::move(change));
        };
        api.grantLease = [this](kernel::milliseconds) -> kernel::task<store::store_reply> {
            co_return store::store_reply{status(), std::to_string(++leases), 0};
        };
        api.keepAlive = [this](std::string) -> kernel::task<store::store_reply> {
            co_return store::store_reply{status(), "", 0};
        };
        api.revokeLease = [this](std::string lease) -> kernel::task<store::store_reply> {
            std::vector<std::string> gone;
            for (const auto &[key, entry] : items) {
                if (entry.lease == lease)
                    gone.push_back(key);
            }
            for (const std::string &key : gone)
                erase(key);
            co_return store::store_reply{status(), "", 0};
        };
        return api;
    }

    void put(const std::string &key, const std::string &value, const std::string &lease = {})
    {
        items[key] = {value, ++revision, lease};
        history.push_back({{key, value, revision}, false});
    }

    void erase(const std::string &key)
    {
        if (items.erase(key) > 0)
            history.push_back({{key, "", ++revision}, true});
    }

    void forgetHistory()
    {
        forgotten = revision;
        history.clear();
    }

    std::int64_t revisionOf(const std::string &key) const
    {
        const auto found = items.find(key);
        return found == items.end() ? 0 : found->second.revision;
    }

    //! How many of the next writes take effect without an answer.
    int loseAnswers = 0;
    bool down = false;
    std::function<void()> beforeWatch;

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
        const auto found = items.find(key);
        if (down)
            return {store::store_status::refused, "", 0};
        if (found == items.end())
            return {store::store_status::absent, "", 0};
        return {store::store_status::ok, found->second.value, found->second.revision};
    }

    store::page_reply page(const std::string &prefix, const std::string &after) const
    {
        store::page_reply reply;
        reply.status = status();
        reply.revision = revision;
        for (const auto &[key, entry] : items) {
            if (key.starts_with(prefix) && key > after)
                reply.items.push_back({key, entry.value, entry.revision});
        }
        return reply;
    }

    bool hasChanges(const std::string &prefix, std::int64_t after) const
    {
        for (const store::key_change &change : history) {
            if (change.item.revision > after && change.item.key.starts_with(prefix))
                return true;
        }
        return false;
    }

    store::watch_reply watch(const std::string &prefix, std::int64_t after) const
    {
        store::watch_reply reply;
        reply.status = after < forgotten ? store::store_status::conflict : status();
        reply.revision = revision;
        for (const store::key_change &change : history) {
            if (change.item.revision > after && change.item.key.starts_with(prefix))
                reply.changes.push_back(change);
        }
        return reply;
    }

    store::store_reply write(store::conditional_change change)
    {
        if (down)
            return {store::store_status::refused, "", 0};
        for (const store::key_expectation &expected : change.expected) {
            if (revisionOf(expected.key) != expected.revision)
                return {store::store_status::conflict, "", 0};
        }
        ++revision;
        for (const store::key_value &put : change.puts) {
            items[put.key] = {put.value, revision, put.lease};
            history.push_back({{put.key, put.value, revision}, false});
        }
        for (const std::string &key : change.removals) {
            if (items.erase(key) > 0)
                history.push_back({{key, "", revision}, true});
        }
        if (loseAnswers > 0) {
            --loseAnswers;
            return {store::store_status::unavailable, "", 0};
        }
        return {store::store_status::ok, "", revision};
    }

    std::map<std::string, entry> items;
    std::vector<store::key_change> history;
    std::int64_t revision = 0;
    std::int64_t forgotten = 0;
    int leases = 0;
};

} // namespace almond::fakes
