#pragma once

#include "kernel/completion.h"
#include "standins/platform_state.h"
#include "store/store_api.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace almond::fakes {

//! How the fake store completes a held call.
enum class call_completion {
    //! The call takes effect and gets its response.
    answer,
    //! The call takes effect, but its response is lost.
    loseAnswer,
    //! The call has no effect and gets no response.
    drop,
    //! The store rejects the call.
    refuse,
    //! The call gets no response and takes effect with carryOutLate().
    late
};

//! A key-value store in memory that holds each call until the test releases it, so that a test can interleave
//! the calls of several owners in any order.
class fake_store
{
public:
    explicit fake_store(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    store::store_api api()
    {
        store::store_api api;
        api.get
            = [this](std::string key) { return hold([this, key] { return standins::getItem(state, key); }); };
        api.create = [this](std::string key, std::string value, std::string lease) {
            return hold([this, key, value, lease] {
                standins::write_condition condition;
                condition.ifAbsent = true;
                return standins::putItem(state, key, value, condition, lease);
            });
        };
        api.replace = [this](std::string key, std::string value, std::int64_t revision) {
            return hold([this, key, value, revision] {
                standins::write_condition condition;
                condition.ifRevision = revision;
                return standins::putItem(state, key, value, condition, "");
            });
        };
        api.remove = [this](std::string key) {
            return hold([this, key] { return standins::removeItem(state, key); });
        };
        api.range = [this](store::key_range range) { return holdRange(std::move(range)); };
        api.commit = [this](store::transaction change) {
            return hold([this, change] { return commitNow(change); });
        };
        api.page = [this](std::string prefix, std::string after) {
            return holdPage(std::move(prefix), std::move(after));
        };
        api.grantLease = [this](kernel::milliseconds ttl) {
            return hold([this, ttl] {
                return store::store_reply{store::store_status::ok,
                                          standins::grantLease(state, ttl, kernel::time_point{}), 0};
            });
        };
        return api;
    }

    //! Returns the number of calls that have not been released.
    std::size_t held() const { return m_held.size(); }

    //! Completes the held call \a index as \a completion says.
    void release(std::size_t index, call_completion completion)
    {
        const held_call call = m_held[index];
        m_held.erase(m_held.begin() + static_cast<std::ptrdiff_t>(index));
        call.complete(completion);
    }

    //! Returns the number of calls that got no response and have not taken effect yet.
    std::size_t late() const { return m_late.size(); }

    //! Carries out the late call \a index, if its condition still holds.
    void carryOutLate(std::size_t index)
    {
        const std::function<void()> effect = m_late[index];
        m_late.erase(m_late.begin() + static_cast<std::ptrdiff_t>(index));
        effect();
    }

    standins::platform_state state;
    std::size_t itemsPerPage = 500;

private:
    store::store_reply commitNow(const store::transaction &change)
    {
        for (const store::key_precondition &expected : change.preconditions) {
            if (standins::getItem(state, expected.key).revision != expected.revision)
                return {store::store_status::conflict, {}, 0};
        }
        store::store_reply reply{store::store_status::ok, {}, 0};
        for (const store::key_value &put : change.puts)
            reply = standins::putItem(state, put.key, put.value, {}, put.lease);
        for (const std::string &key : change.removals)
            standins::removeItem(state, key);
        return reply;
    }

    struct held_call
    {
        std::function<void(call_completion)> complete;
    };

    static constexpr kernel::milliseconds holdLimit{3'600'000};

    kernel::task<store::store_reply> hold(std::function<store::store_reply()> effect)
    {
        auto done = std::make_shared<kernel::completion<store::store_reply>>(m_context.get_executor());
        m_held.push_back({[this, done, effect](call_completion completion) {
            store::store_reply reply;
            if (completion == call_completion::answer || completion == call_completion::loseAnswer)
                reply = effect();
            if (completion == call_completion::late)
                m_late.emplace_back(effect);
            if (completion == call_completion::refuse)
                reply = {store::store_status::refused, {}, 0};
            else if (completion != call_completion::answer)
                reply = {store::store_status::unavailable, {}, 0};
            done->complete(std::move(reply));
        }});
        const auto reply = co_await done->wait(holdLimit);
        co_return reply.value_or(store::store_reply());
    }

    kernel::task<store::range_reply> holdRange(store::key_range range)
    {
        auto done = std::make_shared<kernel::completion<store::range_reply>>(m_context.get_executor());
        m_held.push_back({[this, done, range](call_completion completion) {
            store::range_reply reply;
            if (completion == call_completion::answer) {
                reply.status = store::store_status::ok;
                reply.items = standins::rangeItems(state, range);
            }
            done->complete(std::move(reply));
        }});
        const auto reply = co_await done->wait(holdLimit);
        co_return reply.value_or(store::range_reply());
    }

    kernel::task<store::page_reply> holdPage(std::string prefix, std::string after)
    {
        auto done = std::make_shared<kernel::completion<store::page_reply>>(m_context.get_executor());
        m_held.push_back({[this, done, prefix, after](call_completion completion) {
            store::page_reply reply;
            if (completion == call_completion::answer) {
                reply.status = store::store_status::ok;
                reply.revision = state.revision;
                auto item = state.items.upper_bound(std::max(prefix, after));
                for (; item != state.items.end() && item->first.starts_with(prefix)
                     && reply.items.size() < itemsPerPage;
                     ++item)
                    reply.items.push_back({item->first, item->second.value, item->second.revision});
                reply.more = item != state.items.end() && item->first.starts_with(prefix);
            }
            done->complete(std::move(reply));
        }});
        const auto reply = co_await done->wait(holdLimit);
        co_return reply.value_or(store::page_reply());
    }

    boost::asio::io_context &m_context;
    std::deque<held_call> m_held;
    std::deque<std::function<void()>> m_late;
};

} // namespace almond::fakes
