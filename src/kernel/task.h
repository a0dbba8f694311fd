#pragma once

#include "kernel/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <functional>
#include <string>
#include <utility>

namespace almond::kernel {

//! A coroutine on the event loop of the process, which has only one.
template<typename T>
using task = boost::asio::awaitable<T>;

//! Suspends the calling coroutine for \a duration.
inline task<void> sleepFor(milliseconds duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

//! Sets what handles an exception that escapes from a spawned task; its argument is the text of the
//! exception. Without a handler the exception ends the process.
void setTaskFailureHandler(std::function<void(const std::string &error)> handler);

//! Passes \a failure to the handler for task failures.
void reportTaskFailure(const std::exception_ptr &failure);

//! Starts \a work concurrently with the caller. An exception that escapes from it ends this task only.
inline void spawn(const boost::asio::any_io_executor &executor, task<void> work)
{
    boost::asio::co_spawn(executor, std::move(work), [](const std::exception_ptr &failure) {
        if (failure)
            reportTaskFailure(failure);
    });
}

} // namespace almond::kernel
