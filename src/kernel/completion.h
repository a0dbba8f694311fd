#pragma once

#include "kernel/task.h"

#include <optional>
#include <utility>

namespace almond::kernel {

//! A value that one coroutine awaits and another part of the same loop supplies.
template<typename T>
class completion
{
public:
    explicit completion(const boost::asio::any_io_executor &executor)
        : m_alarm(executor)
    {
    }

    //! Supplies the value and resumes the waiter.
    void complete(T value)
    {
        m_value = std::move(value);
        abandon();
    }

    //! Resumes the waiter without a value.
    void abandon()
    {
        m_over = true;
        m_alarm.cancel();
    }

    //! Awaits the value for \a limit. Empty when none came.
    task<std::optional<T>> wait(milliseconds limit)
    {
        if (!m_over) {
            m_alarm.expires_after(limit);
            boost::system::error_code ignored;
            co_await m_alarm.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        co_return std::move(m_value);
    }

private:
    boost::asio::steady_timer m_alarm;
    std::optional<T> m_value;
    bool m_over = false;
};

//! Lets a loop sleep until its interval is over or someone has work for it. A wake-up that comes while the
//! loop is busy is kept.
class wake_signal
{
public:
    explicit wake_signal(const boost::asio::any_io_executor &executor)
        : m_alarm(executor)
    {
    }

    void wake()
    {
        m_woken = true;
        m_alarm.cancel();
    }

    task<void> wait(milliseconds limit)
    {
        if (!m_woken) {
            m_alarm.expires_after(limit);
            boost::system::error_code ignored;
            co_await m_alarm.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        m_woken = false;
    }

private:
    boost::asio::steady_timer m_alarm;
    bool m_woken = false;
};

} // namespace almond::kernel
