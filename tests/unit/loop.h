#pragma once

#include "kernel/task.h"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace almond::tests {

//! Runs \a work to its end on \a context; an exception that leaves it fails the test.
inline void runToEnd(boost::asio::io_context &context, kernel::task<void> work)
{
    bool over = false;
    boost::asio::co_spawn(context, std::move(work), [&over](const std::exception_ptr &failure) {
        over = true;
        if (failure)
            std::rethrow_exception(failure);
    });
    context.restart();
    while (!over)
        context.run_one();
}

} // namespace almond::tests
