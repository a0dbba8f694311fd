#pragma once

#include "kernel/task.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace almond::kernel {

//! Runs one daemon on one thread: Qt's events and Boost.Asio's on the same loop.
//! \a start sets the services up; \a stop is awaited on SIGTERM or SIGINT before the loop ends; \a reload, if
//! there is one, is called on each SIGHUP, which else is ignored.
//! Returns the exit status.
int runProcess(int &argc, char **argv, const std::function<void(boost::asio::io_context &)> &start,
               const std::function<task<void>()> &stop, const std::function<void()> &reload = {});

//! Runs \a work to its end on a loop as above and returns its result.
int runOnce(int &argc, char **argv, const std::function<task<int>(boost::asio::io_context &)> &work);

} // namespace almond::kernel
