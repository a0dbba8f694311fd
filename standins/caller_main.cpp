#include "http/client.h"
#include "kernel/text.h"
#include "standins/record_log.h"
#include "standins/standin_process.h"

#include <algorithm>
#include <memory>
#include <random>

namespace {

using namespace almond;

constexpr kernel::milliseconds responseTimeout{30'000};
constexpr kernel::milliseconds retryDelay{20};
constexpr double microsPerSecond = 1e6;

//! Parameters of the generated load.
struct load_plan
{
    std::vector<std::string> gateways;
    std::string service;
    //! Prefix of the request ids.
    std::string name;
    std::size_t requests = 0;
    double ratePerSecond = 0;
    //! Share of requests that are not idempotent (POST), from 0 to 1.
    double postShare = 0;
    //! Share of the POST requests that have an idempotency key, from 0 to 1.
    double keyedShare = 0;
    std::size_t responseBytes = 0;
};

//! Number of requests by outcome, and the latencies of the requests that ran.
struct load_result
{
    std::size_t sent = 0;
    std::size_t finished = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    //! Requests that ran but whose response has another id or a body that is too short.
    std::size_t mismatched = 0;
    std::vector<double> latenciesMs;
};

//! State and services of the caller process.
struct caller_process
{
    load_plan plan;
    load_result result;
    std::mt19937_64 random{1};
    std::unique_ptr<standins::record_log> log;
    std::unique_ptr<http::connection_pool> pool;
    std::size_t nextGateway = 0;
};

struct planned_request
{
    std::string id;
    //! Not idempotent.
    bool post = false;
    //! Has an idempotency key.
    bool keyed = false;
};

http::request makeRequest(const caller_process &caller, const planned_request &planned,
                          const std::string &gateway)
{
    http::request request(planned.post ? http::verb::post : http::verb::get, "/" + caller.plan.service + "/x",
                          11);
    request.set(http::field::host, gateway);
    request.set("Almond-Request-Id", planned.id);
    request.set("Almond-Test-Bytes", std::to_string(caller.plan.responseBytes));
    if (planned.keyed)
        request.set("Idempotency-Key", planned.id);
    if (planned.post)
        request.body() = "comment " + planned.id;
    return request;
}

//! Sends the request to the gateways in turn until one accepts a connection, as a load balancer does, but at
//! most three times to each. No request is sent twice.
kernel::task<http::exchange_result> sendOnce(caller_process &caller, const planned_request &planned)
{
    http::exchange_result result;
    for (std::size_t attempt = 0; attempt < 3 * caller.plan.gateways.size(); ++attempt) {
        const std::string &gateway = caller.plan.gateways[caller.nextGateway++ % caller.plan.gateways.size()];
        result
            = co_await caller.pool->exchange(gateway, makeRequest(caller, planned, gateway), responseTimeout);
        if (result.status != http::exchange_status::notSent)
            co_return result;
        co_await kernel::sleepFor(retryDelay);
    }
    co_return result;
}

bool isMatchingResponse(const caller_process &caller, const planned_request &planned,
                        const http::response &response)
{
    const std::string &body = response.body();
    return http::header(response, "Almond-Request-Id") == planned.id
        && body.size() > caller.plan.responseBytes
        && body.compare(caller.plan.responseBytes, planned.id.size(), planned.id) == 0;
}

std::string determineOutcome(const http::exchange_result &result)
{
    if (result.status == http::exchange_status::notSent)
        return "not-run";
    if (result.status != http::exchange_status::answered)
        return "unknown";
    const std::string_view outcome = http::header(result.answer, "Almond-Outcome");
    return outcome.empty() ? "unknown" : std::string(outcome);
}

void recordOutcome(load_result &result, const std::string &outcome, bool matchesRequest, double latencyMs)
{
    ++result.finished;
    result.notRun += outcome == "not-run" ? 1 : 0;
    result.unknown += outcome == "unknown" ? 1 : 0;
    result.answered += outcome == "run" ? 1 : 0;
    result.mismatched += outcome == "run" && !matchesRequest ? 1 : 0;
    if (outcome == "run")
        result.latenciesMs.push_back(latencyMs);
}

kernel::task<void> runRequest(caller_process &caller, planned_request planned)
{
    caller.log->write("request", {{"request", planned.id}, {"idempotent", !planned.post}});
    const auto startedAt = std::chrono::steady_clock::now();
    const http::exchange_result result = co_await sendOnce(caller, planned);
    const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - startedAt;
    const std::string outcome = determineOutcome(result);
    const bool matchesRequest = outcome == "run" && isMatchingResponse(caller, planned, result.answer);
    recordOutcome(caller.result, outcome, matchesRequest, elapsed.count());
    caller.log->write("answer",
                      {{"request", planned.id},
                       {"idempotent", !planned.post},
                       {"outcome", outcome},
                       {"status", result.answer.result_int()},
                       {"own", matchesRequest},
                       {"latencyMs", elapsed.count()},
                       {"detail", result.detail}});
}

//! Generates an open-loop load with Poisson arrivals: requests start at their arrival times whether or not
//! earlier ones have completed. Returns when all have completed.
kernel::task<void> runLoad(caller_process &caller)
{
    const auto executor = co_await boost::asio::this_coro::executor;
    std::exponential_distribution<double> gapSeconds(caller.plan.ratePerSecond);
    std::uniform_real_distribution<double> share(0, 1);
    boost::asio::steady_timer timer(executor);
    auto next = std::chrono::steady_clock::now();
    for (; caller.result.sent < caller.plan.requests; ++caller.result.sent) {
        next += std::chrono::microseconds(
            static_cast<std::int64_t>(gapSeconds(caller.random) * microsPerSecond));
        timer.expires_at(next);
        co_await timer.async_wait(boost::asio::use_awaitable);
        planned_request planned;
        planned.id = caller.plan.name + "-" + std::to_string(caller.result.sent);
        planned.post = share(caller.random) < caller.plan.postShare;
        planned.keyed = planned.post && share(caller.random) < caller.plan.keyedShare;
        kernel::spawn(executor, runRequest(caller, std::move(planned)));
    }
    while (caller.result.finished < caller.plan.requests)
        co_await kernel::sleepFor(kernel::milliseconds(5));
}

double quantile(std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

void printSummary(load_result &result)
{
    std::sort(result.latenciesMs.begin(), result.latenciesMs.end());
    const nlohmann::json summary = {{"requests", result.sent},
                                    {"answered", result.answered},
                                    {"not_run", result.notRun},
                                    {"unknown", result.unknown},
                                    {"wrong", result.mismatched},
                                    {"p50_ms", quantile(result.latenciesMs, 0.5)},
                                    {"p99_ms", quantile(result.latenciesMs, 0.99)},
                                    {"p999_ms", quantile(result.latenciesMs, 0.999)}};
    std::cout << summary.dump() << '\n';
}

} // namespace

//! Stand-in for callers: sends requests at a given rate and records each outcome.
int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Stand-in for callers", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> gateways("g", "gateways", "addresses of the gateways", true, "",
                                          "IP:PORT,...", command);
    TCLAP::ValueArg<std::string> service("", "service", "service that the requests are for", true, "", "NAME",
                                         command);
    TCLAP::ValueArg<std::string> name("n", "name", "prefix of request ids", false, "load", "NAME", command);
    TCLAP::ValueArg<std::size_t> requests("", "requests", "number of requests", false, 1000, "N", command);
    TCLAP::ValueArg<double> rate("", "rate", "requests per second", false, 200, "N", command);
    TCLAP::ValueArg<double> posts("", "posts", "share of non-idempotent requests, 0 to 1", false, 0.2, "X",
                                  command);
    TCLAP::ValueArg<double> keyed("", "keyed",
                                  "share of the non-idempotent requests with an idempotency key, 0 to 1",
                                  false, 0, "X", command);
    TCLAP::ValueArg<std::size_t> responseBytes("", "answer-bytes", "size of the response body", false, 0, "N",
                                               command);
    TCLAP::ValueArg<std::string> record("", "record", "file to which events are appended", false, "", "FILE",
                                        command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "random seed of the load", false, 1, "N", command);
    if (!standins::parseCommandLine(command, argc, argv))
        return 2;
    caller_process caller;
    caller.plan = {kernel::splitList(gateways.getValue()),
                   service.getValue(),
                   name.getValue(),
                   requests.getValue(),
                   rate.getValue(),
                   posts.getValue(),
                   keyed.getValue(),
                   responseBytes.getValue()};
    caller.random.seed(seed.getValue());
    caller.log = std::make_unique<standins::record_log>(record.getValue());
    return kernel::runOnce(argc, argv, [&](boost::asio::io_context &context) -> kernel::task<int> {
        caller.pool = std::make_unique<http::connection_pool>(context, http::pool_limits{});
        co_await runLoad(caller);
        printSummary(caller.result);
        co_return 0;
    });
}
