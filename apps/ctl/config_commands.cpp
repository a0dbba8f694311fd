#include "apps/command_line.h"
#include "apps/ctl/control_session.h"
#include "config/config_journal.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <sstream>

namespace almond::ctl {

using apps::exit_status;
using config::submit_result;
using config::submit_status;
using kernel::task;

namespace {

constexpr int indent = 2;

json describeResult(const submit_result &result, const std::string &submission)
{
    json findings = json::array();
    for (const settings::finding &item : result.findings)
        findings.push_back({{"place", item.place}, {"message", item.message}});
    return {{"newest", result.newest},
            {"submission", submission},
            {"findings", findings},
            {"winner", result.conflictingAuthor}};
}

//! Reports a patch whose base version is not the newest.
int reportStale(const control_session &session, std::uint64_t base, const submit_result &result, json details)
{
    std::string text = "refused: the patch is against version " + std::to_string(base) + ", the newest is "
        + std::to_string(result.newest);
    if (!result.conflictingAuthor.empty())
        text += "; version " + std::to_string(base + 1) + " was written by " + result.conflictingAuthor;
    details["status"] = "stale";
    details["base"] = base;
    return fail(session, exit_status::refused, text, details);
}

int reportResult(const control_session &session, std::uint64_t base, const submit_result &result,
                 const std::string &submission)
{
    json details = describeResult(result, submission);
    switch (result.status) {
    case submit_status::accepted:
        details["status"] = "accepted";
        details["version"] = base + 1;
        print(session, details, "version " + std::to_string(base + 1) + " accepted\n");
        return exit_status::succeeded;
    case submit_status::stale:
        return reportStale(session, base, result, details);
    case submit_status::invalid: {
        std::ostringstream text;
        settings::print(text, result.findings);
        details["status"] = "invalid";
        return fail(session, exit_status::badInput, text.str() + "nothing was changed", details);
    }
    case submit_status::unknown:
        break;
    }
    details["status"] = "unknown";
    return fail(session, exit_status::unknownOutcome,
                "unknown: the store did not respond; repeat with --base " + std::to_string(base)
                    + " --submission " + submission,
                details);
}

task<std::optional<config::config_view>> currentView(control_session &session)
{
    const store::journal_contents contents = co_await store::loadJournal(session.store, config::journalName);
    if (contents.status == store::store_status::unavailable)
        co_return std::nullopt;
    co_return config::viewFromJournal(contents);
}

int failUnavailable(const control_session &session)
{
    return fail(session, exit_status::failed, "the platform's store does not respond");
}

task<int> show(control_session &session)
{
    const auto view = co_await currentView(session);
    if (!view)
        co_return failUnavailable(session);
    print(session, {{"version", view->version}, {"document", view->document}},
          "version " + std::to_string(view->version) + "\n" + view->document.dump(indent) + "\n");
    co_return exit_status::succeeded;
}

task<int> versions(control_session &session)
{
    const store::journal_contents contents = co_await store::loadJournal(session.store, config::journalName);
    if (contents.status == store::store_status::unavailable)
        co_return failUnavailable(session);
    json listed = json::array();
    std::string text;
    for (const store::journal_entry &entry : contents.entries) {
        const config::config_change change = config::changeFromEntry(entry);
        listed.push_back({{"version", change.version},
                          {"author", change.author},
                          {"submittedAtMs", kernel::toMillis(change.submittedAt)},
                          {"patch", change.patch}});
        text += std::to_string(change.version) + "\t" + change.author + "\t" + change.patch.dump() + "\n";
    }
    print(session, {{"versions", listed}, {"snapshot", contents.snapshotIndex}}, text);
    co_return exit_status::succeeded;
}

//! Reads the patch file. Returns -1 on success, else the exit status.
int readPatch(const control_session &session, json &patch)
{
    settings::findings found;
    patch = settings::readFile(session.options.file, found);
    if (found.empty())
        return -1;
    std::ostringstream text;
    settings::print(text, found);
    return fail(session, exit_status::badInput, text.str() + "nothing was changed");
}

//! Shows the changes that a patch would make, and the errors in it, without submitting it.
task<int> diff(control_session &session)
{
    json patch;
    const int status = readPatch(session, patch);
    if (status >= 0)
        co_return status;
    const auto view = co_await currentView(session);
    if (!view)
        co_return failUnavailable(session);
    settings::findings found;
    const json after = config::applyPatch(view->document, patch, found);
    const json changes = json::diff(view->document, after);
    std::ostringstream text;
    for (const json &change : changes)
        text << change.dump() << '\n';
    settings::print(text, found);
    print(session, {{"version", view->version}, {"changes", changes}, {"findings", found.size()}},
          text.str());
    co_return found.empty() ? exit_status::succeeded : exit_status::badInput;
}

task<int> patchFromFile(control_session &session)
{
    json patch;
    const int status = readPatch(session, patch);
    if (status >= 0)
        co_return status;
    co_return co_await submitAndReport(session, std::move(patch));
}

} // namespace

task<int> submitAndReport(control_session &session, json patch)
{
    std::uint64_t base = session.options.base.value_or(0);
    if (!session.options.base) {
        const auto view = co_await currentView(session);
        if (!view)
            co_return failUnavailable(session);
        base = view->version;
    }
    config::submission change;
    change.base = base;
    change.patch = std::move(patch);
    change.author = session.options.author;
    change.id = session.options.submission;
    if (change.id.empty())
        change.id = to_string(boost::uuids::random_generator()());
    const submit_result result = co_await config::submitPatch(session.store, change, kernel::systemNow());
    co_return reportResult(session, base, result, change.id);
}

task<int> runConfigCommand(control_session &session)
{
    const std::string verb = session.word(1);
    if (verb == "show")
        co_return co_await show(session);
    if (verb == "versions")
        co_return co_await versions(session);
    if (verb == "patch")
        co_return co_await patchFromFile(session);
    if (verb == "diff")
        co_return co_await diff(session);
    co_return fail(session, exit_status::badInput, "config: use show, versions, patch or diff");
}

} // namespace almond::ctl
