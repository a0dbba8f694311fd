#pragma once

#include "kernel/task.h"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace almond::tests {

//! Runs \a work to completion on \a context; an exception that escapes from it fails the test.
inline void runToEnd(boost::asio::io_context &context, kernel::task<void> work)
{
    bool finished = false;
    boost::asio::co_spawn(context, std::move(work), [&finished](const std::exception_ptr &failure) {
        finished = true;
        if (failure)
            std::rethrow_exception(failure);
    });
    context.restart();
    while (!finished)
        context.run_one();
}

} // namespace almond::tests
