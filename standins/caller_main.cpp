#include "http/client.h"
#include "kernel/text.h"
#include "standins/record_log.h"
#include "standins/standin_process.h"

#include <algorithm>
#include <memory>
#include <random>

namespace {

using namespace almond;

constexpr kernel::milliseconds answerTimeout{30'000};
constexpr kernel::milliseconds refusedPause{20};
constexpr double microsPerSecond = 1e6;

//! What the load consists of.
struct load_plan
{
    std::vector<std::string> gateways;
    std::string service;
    std::string name;
    std::size_t requests = 0;
    double ratePerSecond = 0;
    double postShare = 0;
    double keyedShare = 0;
    std::size_t answerBytes = 0;
};

//! What came of the load.
struct load_result
{
    std::size_t sent = 0;
    std::size_t finished = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t wrong = 0;
    std::vector<double> latenciesMs;
};

//! The parts of the caller that live as long as its process.
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
    bool post = false;
    bool keyed = false;
};

http::request requestFor(const caller_process &caller, const planned_request &planned,
                         const std::string &gateway)
{
    http::request message(planned.post ? http::verb::post : http::verb::get, "/" + caller.plan.service + "/x",
                          11);
    message.set(http::field::host, gateway);
    message.set("Almond-Request-Id", planned.id);
    message.set("Almond-Test-Bytes", std::to_string(caller.plan.answerBytes));
    if (planned.keyed)
        message.set("Idempotency-Key", planned.id);
    if (planned.post)
        message.body() = "comment " + planned.id;
    return message;
}

//! Goes on to the next gateway where a connection is refused, as the balancer would.
kernel::task<http::exchange_result> sendOnce(caller_process &caller, const planned_request &planned)
{
    http::exchange_result result;
    for (std::size_t attempt = 0; attempt < 3 * caller.plan.gateways.size(); ++attempt) {
        const std::string &gateway = caller.plan.gateways[caller.nextGateway++ % caller.plan.gateways.size()];
        result = co_await caller.pool->exchange(gateway, requestFor(caller, planned, gateway), answerTimeout);
        if (result.status != http::exchange_status::notSent)
            co_return result;
        co_await kernel::sleepFor(refusedPause);
    }
    co_return result;
}

bool isOwnAnswer(const caller_process &caller, const planned_request &planned, const http::response &answer)
{
    const std::string &body = answer.body();
    return http::header(answer, "Almond-Request-Id") == planned.id && body.size() > caller.plan.answerBytes
        && body.compare(caller.plan.answerBytes, planned.id.size(), planned.id) == 0;
}

std::string outcomeOf(const http::exchange_result &result)
{
    if (result.status == http::exchange_status::notSent)
        return "not-run";
    if (result.status != http::exchange_status::answered)
        return "unknown";
    const std::string_view said = http::header(result.answer, "Almond-Outcome");
    return said.empty() ? "unknown" : std::string(said);
}

void count(load_result &result, const std::string &outcome, bool own, double latencyMs)
{
    ++result.finished;
    result.notRun += outcome == "not-run" ? 1 : 0;
    result.unknown += outcome == "unknown" ? 1 : 0;
    result.answered += outcome == "run" ? 1 : 0;
    result.wrong += outcome == "run" && !own ? 1 : 0;
    if (outcome == "run")
        result.latenciesMs.push_back(latencyMs);
}

kernel::task<void> runRequest(caller_process &caller, planned_request planned)
{
    caller.log->write("request", {{"request", planned.id}, {"idempotent", !planned.post}});
    const auto startedAt = std::chrono::steady_clock::now();
    const http::exchange_result result = co_await sendOnce(caller, planned);
    const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - startedAt;
    const std::string outcome = outcomeOf(result);
    const bool own = outcome == "run" && isOwnAnswer(caller, planned, result.answer);
    count(caller.result, outcome, own, elapsed.count());
    caller.log->write("answer",
                      {{"request", planned.id},
                       {"idempotent", !planned.post},
                       {"outcome", outcome},
                       {"status", result.answer.result_int()},
                       {"own", own},
                       {"latencyMs", elapsed.count()},
                       {"detail", result.detail}});
}

//! Open loop: requests start at the planned times whether or not earlier ones were answered.
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
    const auto place = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[place];
}

void printSummary(load_result &result)
{
    std::sort(result.latenciesMs.begin(), result.latenciesMs.end());
    const nlohmann::json summary = {{"requests", result.sent},
                                    {"answered", result.answered},
                                    {"not_run", result.notRun},
                                    {"unknown", result.unknown},
                                    {"wrong", result.wrong},
                                    {"p50_ms", quantile(result.latenciesMs, 0.5)},
                                    {"p99_ms", quantile(result.latenciesMs, 0.99)},
                                    {"p999_ms", quantile(result.latenciesMs, 0.999)}};
    std::cout << summary.dump() << '\n';
}

} // namespace

//! The stand-in of callers: sends requests at a given rate and records each answer.
int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Stand-in of callers", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> gateways("g", "gateways", "addresses", true, "", "IP:PORT,...", command);
    TCLAP::ValueArg<std::string> service("", "service", "what is asked", true, "", "NAME", command);
    TCLAP::ValueArg<std::string> name("n", "name", "prefix of request ids", false, "load", "NAME", command);
    TCLAP::ValueArg<std::size_t> requests("", "requests", "how many", false, 1000, "N", command);
    TCLAP::ValueArg<double> rate("", "rate", "requests a second", false, 200, "N", command);
    TCLAP::ValueArg<double> posts("", "posts", "share of non-idempotent requests", false, 0.2, "X", command);
    TCLAP::ValueArg<double> keyed("", "keyed", "share of those with a key", false, 0, "X", command);
    TCLAP::ValueArg<std::size_t> bytes("", "answer-bytes", "size of an answer", false, 0, "N", command);
    TCLAP::ValueArg<std::string> record("", "record", "file for the record", false, "", "FILE", command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "of the arrival times", false, 1, "N", command);
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
                   bytes.getValue()};
    caller.random.seed(seed.getValue());
    caller.log = std::make_unique<standins::record_log>(record.getValue());
    return kernel::runOnce(argc, argv, [&](boost::asio::io_context &context) -> kernel::task<int> {
        caller.pool = std::make_unique<http::connection_pool>(context, http::pool_limits{});
        co_await runLoad(caller);
        printSummary(caller.result);
        co_return 0;
    });
}
