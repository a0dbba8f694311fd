#include "apps/command_line.h"
#include "daemon/scheduler_daemon.h"
#include "kernel/process.h"
#include "observe/log.h"

//! almond-scheduler: owns cells and places their tasks on workers.
int main(int argc, char **argv)
{
    using namespace almond;
    apps::daemon_options options;
    if (!apps::parseDaemonOptions("almond-scheduler, which places tasks on workers", argc, argv, options))
        return apps::badInput;
    settings::scheduler_settings settings;
    const int status = apps::loadSettings(options, settings::readSchedulerSettings, settings);
    if (status >= 0)
        return status;
    observe::startLog(settings.common.id, observe::levelNamed(settings.common.logLevel));
    daemon::scheduler_daemon scheduler(settings);
    return kernel::runProcess(
        argc, argv, [&](boost::asio::io_context &context) { scheduler.start(context); },
        [&] { return scheduler.stop(); });
}
