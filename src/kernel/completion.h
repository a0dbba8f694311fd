#pragma once

#include "kernel/task.h"

#include <optional>
#include <utility>

namespace almond::kernel {

//! A value that one coroutine awaits and other code on the same event loop supplies. Not thread-safe.
template<typename T>
class completion
{
public:
    explicit completion(const boost::asio::any_io_executor &executor)
        : m_timer(executor)
    {
    }

    //! Supplies the value and resumes the waiting coroutine.
    void complete(T value)
    {
        m_value = std::move(value);
        abandon();
    }

    //! Resumes the waiting coroutine without a value.
    void abandon()
    {
        m_finished = true;
        m_timer.cancel();
    }

    //! Whether the value was supplied or abandoned.
    bool isFinished() const { return m_finished; }

    //! Awaits the value for at most \a limit. Empty if none was supplied.
    task<std::optional<T>> wait(milliseconds limit)
    {
        if (!m_finished) {
            m_timer.expires_after(limit);
            boost::system::error_code ignored;
            co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        co_return std::move(m_value);
    }

private:
    boost::asio::steady_timer m_timer;
    std::optional<T> m_value;
    bool m_finished = false;
};

//! Lets a periodic coroutine sleep until its interval ends or other code wakes it. A wake-up that arrives
//! while the coroutine is busy is not lost: it ends the next wait() at once.
class wake_signal
{
public:
    explicit wake_signal(const boost::asio::any_io_executor &executor)
        : m_timer(executor)
    {
    }

    void wake()
    {
        m_woken = true;
        m_timer.cancel();
    }

    //! Awaits a wake-up for at most \a limit.
    task<void> wait(milliseconds limit)
    {
        if (!m_woken) {
            m_timer.expires_after(limit);
            boost::system::error_code ignored;
            co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        m_woken = false;
    }

private:
    boost::asio::steady_timer m_timer;
    bool m_woken = false;
};

} // namespace almond::kernel
