#include "apps/command_line.h"
#include "apps/ctl/control_session.h"
#include "kernel/process.h"
#include "kernel/text.h"
#include "settings/process_settings.h"

namespace {

using namespace almond;

constexpr kernel::milliseconds storeTimeout{2000};

constexpr const char *description
    = "almondctl, the operators' command-line client.\n"
      "COMMAND: config show|versions|patch|diff, failure-domain list|withdraw NAME|return NAME, "
      "job submit|list|show ID|cancel ID..., dump IP:PORT, check gateway|scheduler.\n"
      "Exit status: 0 done, 1 failed, 2 bad input, 3 refused, 4 outcome unknown: repeat with the same ids.";

//! Fills in from the settings file the options that the command line omits. Returns -1 to go on, else the
//! exit status.
int applySettings(const std::string &file, bool checkOnly, ctl::control_options &options)
{
    if (file.empty() && !checkOnly)
        return -1;
    settings::control_settings fileSettings;
    const int status = apps::loadSettings(apps::daemon_options{file, checkOnly, false},
                                          settings::readControlSettings, fileSettings);
    if (status >= 0)
        return status;
    if (options.storeAddress.empty())
        options.storeAddress = fileSettings.storeAddress;
    if (options.schedulers.empty())
        options.schedulers = fileSettings.schedulers;
    if (options.author.empty())
        options.author = fileSettings.author;
    return -1;
}

int parse(int argc, char **argv, ctl::control_options &options)
{
    TCLAP::CmdLine command(description, ' ', ALMOND_VERSION);
    TCLAP::ValueArg<std::string> file("s", "settings", "settings file, JSON with comments", false, "", "FILE",
                                      command);
    TCLAP::ValueArg<std::string> store("", "store", "the platform's store", false, "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> schedulers("", "schedulers", "peer addresses of schedulers", false, "",
                                            "IP:PORT,...", command);
    TCLAP::ValueArg<std::string> author("", "author", "author of the change", false, "", "NAME", command);
    TCLAP::ValueArg<std::string> input("f", "file", "patch or jobs, JSON with comments", false, "", "FILE",
                                       command);
    TCLAP::ValueArg<std::int64_t> base("b", "base", "version to which the patch applies", false, -1, "N",
                                       command);
    TCLAP::ValueArg<std::string> submission("", "submission", "id of the submission, to repeat it", false, "",
                                            "ID", command);
    TCLAP::ValueArg<std::string> phase("", "phase", "only jobs in this phase", false, "", "PHASE", command);
    TCLAP::SwitchArg checkOnly("", "check-settings", "check the settings file and exit", command);
    TCLAP::SwitchArg asJson("j", "json", "print one JSON object", command);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "command and its arguments", false, "COMMAND",
                                                command);
    try {
        command.setExceptionHandling(false);
        command.parse(argc, argv);
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.argId() << ": " << error.error() << '\n';
        return apps::badInput;
    }
    options.words = words.getValue();
    options.storeAddress = store.getValue();
    options.schedulers = kernel::splitList(schedulers.getValue());
    options.author = author.getValue();
    options.file = input.getValue();
    options.submission = submission.getValue();
    options.phase = phase.getValue();
    options.asJson = asJson.getValue();
    if (base.getValue() >= 0)
        options.base = static_cast<std::uint64_t>(base.getValue());
    return applySettings(file.getValue(), checkOnly.getValue(), options);
}

int checkSettings(const ctl::control_options &options)
{
    const std::string role = options.words.size() > 1 ? options.words[1] : "";
    const apps::daemon_options checkOnly{options.file, true, false};
    settings::gateway_settings gateway;
    settings::scheduler_settings scheduler;
    if (role == "gateway")
        return apps::loadSettings(checkOnly, settings::readGatewaySettings, gateway);
    if (role == "scheduler")
        return apps::loadSettings(checkOnly, settings::readSchedulerSettings, scheduler);
    std::cerr << "check: use gateway or scheduler, and --file FILE\n";
    return apps::badInput;
}

kernel::task<int> dispatch(ctl::control_session &session)
{
    const std::string command = session.word(0);
    if (command == "config")
        co_return co_await ctl::runConfigCommand(session);
    if (command == "failure-domain")
        co_return co_await ctl::runDomainCommand(session);
    if (command == "job")
        co_return co_await ctl::runJobCommand(session);
    if (command == "dump")
        co_return co_await ctl::runDumpCommand(session);
    co_return ctl::fail(session, apps::badInput,
                        "unknown command: " + command + "; use config, failure-domain, job, dump or check");
}

} // namespace

//! almondctl: submits configuration patches and jobs and shows the state of the system.
int main(int argc, char **argv)
{
    ctl::control_session session;
    const int status = parse(argc, argv, session.options);
    if (status >= 0)
        return status;
    if (session.options.author.empty())
        session.options.author = "operator";
    if (session.word(0) == "check")
        return checkSettings(session.options);
    return kernel::runOnce(argc, argv, [&](boost::asio::io_context &context) {
        session.storeClient = std::make_unique<store::http_store>(session.options.storeAddress, storeTimeout);
        session.store = session.storeClient->api();
        session.peers = std::make_unique<wire::peer_link>(context);
        session.pool = std::make_unique<http::connection_pool>(context, http::pool_limits{});
        return dispatch(session);
    });
}
