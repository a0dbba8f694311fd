#include "apps/command_line.h"
#include "daemon/gateway_daemon.h"
#include "kernel/process.h"
#include "observe/log.h"

//! almond-gateway: routes callers' HTTP requests to minions and passes calls about jobs to schedulers.
int main(int argc, char **argv)
{
    using namespace almond;
    apps::daemon_options options;
    if (!apps::parseDaemonOptions("almond-gateway, which routes callers' requests to minions", argc, argv,
                                  options))
        return apps::badInput;
    settings::gateway_settings settings;
    const int status = apps::loadSettings(options, settings::readGatewaySettings, settings);
    if (status >= 0)
        return status;
    observe::startLog(settings.common.id, observe::levelNamed(settings.common.logLevel));
    daemon::gateway_daemon gateway(settings);
    return kernel::runProcess(
        argc, argv, [&](boost::asio::io_context &context) { gateway.start(context); },
        [&] { return gateway.stop(); });
}
