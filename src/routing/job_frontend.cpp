#include "routing/job_frontend.h"

#include "routing/outcome.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace almond::routing {

using http::reply;
using http::status;
using json = nlohmann::json;
using kernel::task;

namespace {

constexpr std::string_view jobsPath = "/v1/jobs";
constexpr kernel::milliseconds callTimeout{6000};

std::string_view pathOf(const http::request &request)
{
    return http::splitTarget({request.target().data(), request.target().size()}).path;
}

//! Returns the jobs of a request body: one job, a list of jobs, or {"jobs": [...]}.
json jobsOf(const json &body)
{
    if (body.is_array())
        return body;
    if (body.contains("jobs"))
        return body.at("jobs");
    return json::array({body});
}

void assignMissingIds(json &jobs)
{
    for (json &job : jobs) {
        if (job.is_object() && !job.contains("id"))
            job["id"] = to_string(boost::uuids::random_generator()());
    }
}

status statusOfResults(const json &results)
{
    bool refused = false;
    bool unknown = false;
    for (const json &result : results) {
        refused = refused || result.at("status") == "refused";
        unknown = unknown || result.at("status") == "unknown";
    }
    if (unknown)
        return status::service_unavailable;
    return refused ? status::unprocessable_entity : status::accepted;
}

reply noSchedulerReply()
{
    return makeOutcomeReply(status::service_unavailable, outcome::unknown,
                            "no scheduler answered; submit again with the same id");
}

} // namespace

job_frontend::job_frontend(wire::peer_link &peers, std::vector<std::string> schedulers)
    : m_peers(peers)
    , m_schedulers(std::move(schedulers))
{
}

bool job_frontend::handles(std::string_view path)
{
    return path == jobsPath || path.starts_with("/v1/jobs/");
}

task<std::optional<json>> job_frontend::callAnyScheduler(std::string method, json arguments)
{
    for (std::size_t attempt = 0; attempt < m_schedulers.size(); ++attempt) {
        const std::string &scheduler = m_schedulers[m_next++ % m_schedulers.size()];
        auto answer = co_await m_peers.call(scheduler, method, arguments, callTimeout);
        if (answer && !answer->is_null())
            co_return answer;
    }
    co_return std::nullopt;
}

task<reply> job_frontend::handle(http::request request)
{
    const std::string_view path = pathOf(request);
    if (path == jobsPath && request.method() == http::verb::post)
        co_return co_await submit(std::move(request));
    if (path == jobsPath) {
        const auto answer = co_await callAnyScheduler("job.list", json::object());
        co_return answer ? http::makeJsonReply(status::ok, *answer) : noSchedulerReply();
    }
    const std::string id(path.substr(jobsPath.size() + 1));
    if (request.method() == http::verb::get)
        co_return co_await show(id);
    if (request.method() == http::verb::delete_)
        co_return co_await cancel(id);
    co_return http::makeErrorReply(status::method_not_allowed, "use GET, POST or DELETE");
}

task<reply> job_frontend::submit(http::request request)
{
    const json body = json::parse(request.body(), nullptr, false);
    if (body.is_discarded())
        co_return makeOutcomeReply(status::bad_request, outcome::notRun, "the body is not JSON");
    json jobs = jobsOf(body);
    assignMissingIds(jobs);
    json arguments;
    arguments["jobs"] = std::move(jobs);
    const auto answer = co_await callAnyScheduler("job.submit", std::move(arguments));
    if (!answer)
        co_return noSchedulerReply();
    co_return http::makeJsonReply(statusOfResults(answer->at("results")), *answer);
}

task<reply> job_frontend::show(std::string id)
{
    json arguments;
    arguments["ids"] = json::array({id});
    const auto answer = co_await callAnyScheduler("job.list", std::move(arguments));
    if (!answer)
        co_return noSchedulerReply();
    const json &jobs = answer->at("jobs");
    if (!jobs.empty())
        co_return http::makeJsonReply(status::ok, jobs.front());
    const bool complete = answer->at("complete").get<bool>();
    co_return http::makeErrorReply(complete ? status::not_found : status::service_unavailable,
                                   complete ? "no such job" : "not every cell answered");
}

task<reply> job_frontend::cancel(std::string id)
{
    json arguments;
    arguments["ids"] = json::array({id});
    const auto answer = co_await callAnyScheduler("job.cancel", std::move(arguments));
    if (!answer)
        co_return noSchedulerReply();
    const json result = answer->at("results").at(0);
    const std::string cancelStatus = result.at("status");
    const status code = cancelStatus == "cancelled" ? status::ok
        : cancelStatus == "absent"                  ? status::not_found
        : cancelStatus == "ended"                   ? status::conflict
                                                    : status::service_unavailable;
    co_return http::makeJsonReply(code, result);
}

} // namespace almond::routing
