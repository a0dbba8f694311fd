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

int unreachable(const control_session &session)
{
    return fail(session, exit_status::unknownOutcome, "no scheduler answered; ask again with the same ids");
}

json jobsOf(const json &document)
{
    if (document.is_array())
        return document;
    return document.contains("jobs") ? document.at("jobs") : json::array({document});
}

int worstOf(const json &results)
{
    int worst = exit_status::succeeded;
    for (const json &result : results) {
        const std::string status = result.at("status");
        const bool good = status == "accepted" || status == "cancelled";
        const int own = good      ? exit_status::succeeded
            : status == "unknown" ? exit_status::unknownOutcome
                                  : exit_status::refused;
        worst = std::max(worst, own);
    }
    return worst;
}

std::string linesOf(const json &results)
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
    const auto answer = co_await callScheduler(session, "job.submit", std::move(arguments));
    if (!answer)
        co_return unreachable(session);
    const json &results = answer->at("results");
    print(session, *answer, linesOf(results));
    co_return worstOf(results);
}

task<int> list(control_session &session)
{
    json arguments;
    arguments["phase"] = session.options.phase;
    const auto answer = co_await callScheduler(session, "job.list", std::move(arguments));
    if (!answer)
        co_return unreachable(session);
    std::ostringstream text;
    for (const json &job : answer->at("jobs"))
        text << job.at("id").get<std::string>() << '\t' << job.at("phase").get<std::string>() << '\t'
             << job.at("cell").get<std::string>() << '\t' << job.at("worker").get<std::string>() << '\n';
    if (!answer->at("complete").get<bool>())
        text << "incomplete: not every cell answered\n";
    print(session, *answer, text.str());
    co_return exit_status::succeeded;
}

task<int> show(control_session &session, std::string id)
{
    json arguments;
    arguments["ids"] = json::array({id});
    const auto answer = co_await callScheduler(session, "job.list", std::move(arguments));
    if (!answer)
        co_return unreachable(session);
    const json &jobs = answer->at("jobs");
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
    const auto answer = co_await callScheduler(session, "job.cancel", std::move(arguments));
    if (!answer)
        co_return unreachable(session);
    print(session, *answer, linesOf(answer->at("results")));
    co_return worstOf(answer->at("results"));
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
