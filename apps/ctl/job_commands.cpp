#include "apps/command_line.h"
#include "apps/ctl/control_session.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <sstream>

namespace almond::ctl {

using apps::exit_status;
using kernel::task;

namespace {

constexpr int indent = 2;

int failUnreachable(const control_session &session)
{
    return fail(session, exit_status::unknownOutcome,
                "no scheduler responded; repeat the command with the same ids");
}

//! Returns the jobs of a document that is an array, an object with the member "jobs", or one job.
json jobsOf(const json &document)
{
    if (document.is_array())
        return document;
    return document.contains("jobs") ? document.at("jobs") : json::array({document});
}

//! Returns the most severe exit status of the results.
int worstExitStatus(const json &results)
{
    int worst = exit_status::succeeded;
    for (const json &result : results) {
        const std::string status = result.at("status");
        const bool succeeded = status == "accepted" || status == "cancelled";
        const int resultStatus = succeeded ? exit_status::succeeded
            : status == "unknown"          ? exit_status::unknownOutcome
                                           : exit_status::refused;
        worst = std::max(worst, resultStatus);
    }
    return worst;
}

std::string formatResults(const json &results)
{
    std::ostringstream text;
    for (const json &result : results) {
        text << result.at("id").get<std::string>() << '\t' << result.at("status").get<std::string>() << '\n';
        for (const json &item : result.value("findings", json::array()))
            text << "  " << item.at("place").get<std::string>() << ": "
                 << item.at("message").get<std::string>() << '\n';
    }
    return text.str();
}

task<int> submit(control_session &session)
{
    settings::findings found;
    const json document = settings::readFile(session.options.file, found);
    if (!found.empty()) {
        std::ostringstream text;
        settings::print(text, found);
        co_return fail(session, exit_status::badInput, text.str() + "nothing was submitted");
    }
    json jobs = jobsOf(document);
    for (json &job : jobs) {
        if (job.is_object() && !job.contains("id"))
            job["id"] = to_string(boost::uuids::random_generator()());
    }
    json arguments;
    arguments["jobs"] = jobs;
    const auto response = co_await callScheduler(session, "job.submit", std::move(arguments));
    if (!response)
        co_return failUnreachable(session);
    const json &results = response->at("results");
    print(session, *response, formatResults(results));
    co_return worstExitStatus(results);
}

task<int> list(control_session &session)
{
    json arguments;
    arguments["phase"] = session.options.phase;
    const auto response = co_await callScheduler(session, "job.list", std::move(arguments));
    if (!response)
        co_return failUnreachable(session);
    std::ostringstream text;
    for (const json &job : response->at("jobs"))
        text << job.at("id").get<std::string>() << '\t' << job.at("phase").get<std::string>() << '\t'
             << job.at("cell").get<std::string>() << '\t' << job.at("worker").get<std::string>() << '\n';
    if (!response->at("complete").get<bool>())
        text << "incomplete: not every cell answered\n";
    print(session, *response, text.str());
    co_return exit_status::succeeded;
}

task<int> show(control_session &session, std::string id)
{
    json arguments;
    arguments["ids"] = json::array({id});
    const auto response = co_await callScheduler(session, "job.list", std::move(arguments));
    if (!response)
        co_return failUnreachable(session);
    const json &jobs = response->at("jobs");
    if (jobs.empty())
        co_return fail(session, exit_status::refused, "no such job: " + id);
    print(session, jobs.front(), jobs.front().dump(indent) + "\n");
    co_return exit_status::succeeded;
}

task<int> cancel(control_session &session)
{
    json ids = json::array();
    for (std::size_t index = 2; index < session.options.words.size(); ++index)
        ids.push_back(session.word(index));
    json arguments;
    arguments["ids"] = ids;
    const auto response = co_await callScheduler(session, "job.cancel", std::move(arguments));
    if (!response)
        co_return failUnreachable(session);
    print(session, *response, formatResults(response->at("results")));
    co_return worstExitStatus(response->at("results"));
}

} // namespace

task<int> runJobCommand(control_session &session)
{
    const std::string verb = session.word(1);
    if (verb == "submit")
        co_return co_await submit(session);
    if (verb == "list")
        co_return co_await list(session);
    if (verb == "show" && !session.word(2).empty())
        co_return co_await show(session, session.word(2));
    if (verb == "cancel" && !session.word(2).empty())
        co_return co_await cancel(session);
    co_return fail(session, exit_status::badInput, "job: use submit, list, show ID or cancel ID...");
}

} // namespace almond::ctl
