#pragma once

#include "kernel/task.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace almond::kernel {

//! Runs a daemon on one thread, with one event loop for Qt and Boost.Asio, and returns its exit status.
//! \a start creates the services. \a stop is awaited on SIGTERM or SIGINT before the loop ends. \a reload, if
//! given, is called on each SIGHUP; without it, SIGHUP has no effect. SIGPIPE is ignored.
int runProcess(int &argc, char **argv, const std::function<void(boost::asio::io_context &)> &start,
               const std::function<task<void>()> &stop, const std::function<void()> &reload = {});

//! Runs \a work to completion on the same kind of event loop and returns its result as the exit status.
int runOnce(int &argc, char **argv, const std::function<task<int>(boost::asio::io_context &)> &work);

} // namespace almond::kernel
