#include "apps/command_line.h"
#include "apps/ctl/control_session.h"
#include "config/config_journal.h"

namespace almond::ctl {

using apps::exit_status;
using kernel::task;

namespace {

task<int> list(control_session &session)
{
    const store::journal_contents contents = co_await store::loadJournal(session.store, config::journalName);
    if (contents.status == store::store_status::unavailable)
        co_return fail(session, exit_status::failed, "the platform's store does not respond");
    const config::config_view view = config::viewFromJournal(contents);
    json listed = json::array();
    std::string text;
    for (const auto &[name, domain] : view.parsed.failureDomains) {
        const std::string state = domain.withdrawn ? "withdrawn" : "in service";
        listed.push_back({{"name", name}, {"region", domain.region}, {"withdrawn", domain.withdrawn}});
        text += name + "\t" + domain.region + "\t" + state + "\n";
    }
    print(session, {{"version", view.version}, {"failureDomains", listed}}, text);
    co_return exit_status::succeeded;
}

} // namespace

task<int> runDomainCommand(control_session &session)
{
    const std::string verb = session.word(1);
    if (verb == "list")
        co_return co_await list(session);
    const std::string name = session.word(2);
    if ((verb != "withdraw" && verb != "return") || name.empty())
        co_return fail(session, exit_status::badInput,
                       "failure-domain: use list, withdraw NAME or return NAME");
    co_return co_await submitAndReport(session, config::withdrawalPatch(name, verb == "withdraw"));
}

} // namespace almond::ctl
