#include "kernel/process.h"

#include "kernel/asio_event_dispatcher.h"

#include <QCoreApplication>

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace almond::kernel {

namespace asio = boost::asio;

namespace {

//! The io_context of the process. Static, since it must outlive the application: Qt objects unregister their
//! socket notifiers while the application is destroyed.
asio::io_context &processContext()
{
    static asio::io_context context(1);
    return context;
}

} // namespace

int runProcess(int &argc, char **argv, const std::function<void(asio::io_context &)> &start,
               const std::function<task<void>()> &stop, const std::function<void()> &reload)
{
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context &context = processContext();
    QCoreApplication::setEventDispatcher(new asio_event_dispatcher(context));
    QCoreApplication application(argc, argv);
    asio::signal_set stopSignals(context, SIGTERM, SIGINT);
    stopSignals.async_wait([&](boost::system::error_code error, int) {
        if (error)
            return;
        asio::co_spawn(context, stop(), [](const std::exception_ptr &) { QCoreApplication::quit(); });
    });
    asio::signal_set reloadSignals(context, SIGHUP);
    asio::co_spawn(
        context,
        [&]() -> task<void> {
            boost::system::error_code error;
            while (!error) {
                co_await reloadSignals.async_wait(asio::redirect_error(asio::use_awaitable, error));
                if (!error && reload)
                    reload();
            }
        },
        asio::detached);
    start(context);
    return QCoreApplication::exec();
}

int runOnce(int &argc, char **argv, const std::function<task<int>(asio::io_context &)> &work)
{
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context &context = processContext();
    QCoreApplication::setEventDispatcher(new asio_event_dispatcher(context));
    QCoreApplication application(argc, argv);
    asio::co_spawn(context, work(context), [](const std::exception_ptr &failure, int status) {
        if (failure)
            std::rethrow_exception(failure);
        QCoreApplication::exit(status);
    });
    return QCoreApplication::exec();
}

} // namespace almond::kernel
