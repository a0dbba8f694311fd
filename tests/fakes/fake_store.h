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

//! How a held call goes on.
enum class call_fate {
    //! It takes effect and is answered.
    answer,
    //! It takes effect and its answer is lost.
    loseAnswer,
    //! It has no effect and no answer.
    drop
};

//! A key-value service in memory. Each call is held until the test decides its fate, so that a test can
//! interleave the calls of several owners as it likes.
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
        return api;
    }

    //! Number of calls that wait for their fate.
    std::size_t held() const { return m_held.size(); }

    //! Lets the held call \a index go on.
    void release(std::size_t index, call_fate fate)
    {
        const held_call call = m_held[index];
        m_held.erase(m_held.begin() + static_cast<std::ptrdiff_t>(index));
        call.proceed(fate);
    }

    standins::platform_state state;

private:
    struct held_call
    {
        std::function<void(call_fate)> proceed;
    };

    static constexpr kernel::milliseconds forever{3'600'000};

    kernel::task<store::store_reply> hold(std::function<store::store_reply()> effect)
    {
        auto done = std::make_shared<kernel::completion<store::store_reply>>(m_context.get_executor());
        m_held.push_back({[done, effect](call_fate fate) {
            store::store_reply reply;
            if (fate != call_fate::drop)
                reply = effect();
            if (fate != call_fate::answer)
                reply = {store::store_status::unavailable, {}, 0};
            done->complete(std::move(reply));
        }});
        const auto reply = co_await done->wait(forever);
        co_return reply.value_or(store::store_reply());
    }

    kernel::task<store::range_reply> holdRange(store::key_range range)
    {
        auto done = std::make_shared<kernel::completion<store::range_reply>>(m_context.get_executor());
        m_held.push_back({[this, done, range](call_fate fate) {
            store::range_reply reply;
            if (fate == call_fate::answer) {
                reply.status = store::store_status::ok;
                reply.items = standins::rangeItems(state, range);
            }
            done->complete(std::move(reply));
        }});
        const auto reply = co_await done->wait(forever);
        co_return reply.value_or(store::range_reply());
    }

    boost::asio::io_context &m_context;
    std::deque<held_call> m_held;
};

} // namespace almond::fakes
