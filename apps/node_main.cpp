#include "apps/command_line.h"
#include "daemon/node_daemon.h"
#include "kernel/process.h"
#include "observe/log.h"
#include "platform/binding.h"

//! almond-node: accepts jobs from callers on every entry host; one elected node owns all jobs.
int main(int argc, char **argv)
{
    using namespace almond;
    apps::daemon_options options;
    if (!apps::parseDaemonOptions("almond-node, the scheduler on an entry host", argc, argv, options))
        return apps::badInput;
    daemon::node_settings settings;
    const int status = apps::loadSettings(options, daemon::readNodeSettings, settings);
    if (status >= 0)
        return status;
    observe::startLog(settings.id, observe::levelNamed(settings.logLevel));
    std::unique_ptr<platform::clients> clients;
    std::unique_ptr<daemon::node_daemon> node;
    return kernel::runProcess(
        argc, argv,
        [&](boost::asio::io_context &context) {
            clients = std::make_unique<platform::clients>(context, settings);
            node = std::make_unique<daemon::node_daemon>(settings, clients->binding());
            node->start(context);
        },
        [&] { return node->stop(); },
        [&] {
            daemon::node_settings changed;
            // After an error, which loadSettings() prints, the old settings stay in force.
            if (apps::loadSettings(options, daemon::readNodeSettings, changed) < 0)
                node->reload(changed);
        });
}
