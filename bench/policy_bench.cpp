#include "routing/routing_state.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <queue>
#include <string>
#include <vector>

//! Compares routing policies in simulated time, with the product's own decision code: 6 gateways, 65 minions
//! of 8 slots, log-normal service times, 0.5 ms between failure domains. Prints p50, p99 and p99.9 of each
//! policy and of one shared queue, which is the limit. Usage: policy_bench [REQUESTS] [SEED]
namespace {

using namespace almond;
using namespace almond::routing;

constexpr std::size_t gatewayCount = 6;
constexpr std::size_t minionCount = 65;
constexpr std::int64_t slotCount = 8;
constexpr std::size_t domainCount = 3;
constexpr double meanServiceMs = 20;
constexpr double serviceSigma = 0.5;
constexpr double crossDomainMs = 0.5;
constexpr double deadlineMs = 2000;
constexpr double failingAnswerMs = 0.2;
constexpr double retryPollMs = 1;
constexpr std::size_t overloadFactor = 4;

enum class shape { plain, oneSlow, oneInTwentySlow, oneInTwentyFailing };

struct trial
{
    double load = 0.8;
    shape kind = shape::plain;
    routing_policy policy = routing_policy::leastLoaded;
    //! Least connections by probing all minions and reserving, in place of the policy.
    bool probes = false;
    std::size_t requests = 0;
    std::uint64_t seed = 1;
};

struct outcome
{
    std::vector<double> latencies;
    std::size_t late = 0;
    std::size_t failed = 0;
    std::size_t refused = 0;
    double spanMs = 0;
};

//! Minions of the trial that are slow or fail at once.
bool isOdd(const trial &t, std::size_t minion)
{
    if (t.kind == shape::oneSlow)
        return minion == 0;
    return t.kind != shape::plain && minion % 20 == 0;
}

double slowFactor(const trial &t, std::size_t minion)
{
    const bool slow = t.kind == shape::oneSlow || t.kind == shape::oneInTwentySlow;
    return slow && isOdd(t, minion) ? 10 : 1;
}

struct request
{
    double arrivedMs = 0;
    double serviceMs = 0;
    std::vector<std::string> tried;
};

enum class event_kind { arrival, probed, reachMinion, leaveMinion, answer, poll };

struct event
{
    double atMs = 0;
    std::uint64_t order = 0;
    event_kind kind = event_kind::arrival;
    std::size_t request = 0;
    std::size_t gateway = 0;
    std::size_t minion = 0;
    attempt_result result = attempt_result::answered;
    double sentMs = 0;
    std::int64_t busy = 0;

    bool operator<(const event &other) const
    {
        return atMs != other.atMs ? atMs > other.atMs : order > other.order;
    }
};

time_point toTime(double ms)
{
    return kernel::fromMillis(1'000'000 + static_cast<std::int64_t>(ms));
}

class simulation
{
public:
    explicit simulation(const trial &t)
        : m_trial(t)
        , m_random(t.seed)
        , m_gateways(gatewayCount)
        , m_waiting(gatewayCount)
        , m_polling(gatewayCount)
        , m_busy(minionCount)
    {
        m_settings.policy = t.policy;
        std::vector<listed_minion> listed;
        for (std::size_t number = 0; number < minionCount; ++number)
            listed.push_back({std::to_string(number), "", "", false, slotCount});
        for (std::size_t number = 0; number < gatewayCount; ++number) {
            m_gateways[number].random.seed(t.seed * 100 + number);
            updateMinions(m_gateways[number], listed);
        }
    }

    outcome run()
    {
        planArrivals();
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.atMs;
            handle(next);
        }
        // Until the last answer: what queued up must not count as served at the rate of arrivals.
        m_outcome.spanMs = m_now;
        return std::move(m_outcome);
    }

private:
    void push(event item)
    {
        item.order = m_order++;
        m_events.push(item);
    }

    void planArrivals()
    {
        const double capacity = static_cast<double>(minionCount * slotCount) / meanServiceMs;
        std::exponential_distribution<double> gap(capacity * m_trial.load);
        std::lognormal_distribution<double> service(std::log(meanServiceMs) - serviceSigma * serviceSigma / 2,
                                                    serviceSigma);
        double now = 0;
        for (std::size_t number = 0; number < m_trial.requests; ++number) {
            now += gap(m_random);
            m_requests.push_back({now, service(m_random), {}});
            event arrival;
            arrival.atMs = now;
            arrival.request = number;
            arrival.gateway = number % gatewayCount;
            push(arrival);
        }
    }

    void handle(const event &item)
    {
        switch (item.kind) {
        case event_kind::arrival:
            addRetryTokens(m_gateways[item.gateway], m_settings);
            m_waiting[item.gateway].push_back(item.request);
            dispatch(item.gateway);
            break;
        case event_kind::probed:
            sendToLeastConnected(item);
            break;
        case event_kind::reachMinion:
            reachMinion(item);
            break;
        case event_kind::leaveMinion:
            leaveMinion(item);
            break;
        case event_kind::answer:
            takeAnswer(item);
            break;
        case event_kind::poll:
            m_polling[item.gateway] = false;
            dispatch(item.gateway);
            break;
        }
    }

    //! Asks every minion for its count; the answers are there after one round trip.
    void probe(std::size_t gateway)
    {
        auto &waiting = m_waiting[gateway];
        for (; !waiting.empty(); waiting.pop_front()) {
            event probed;
            probed.kind = event_kind::probed;
            probed.atMs = m_now + 2 * crossDomainMs;
            probed.request = waiting.front();
            probed.gateway = gateway;
            push(probed);
        }
    }

    void sendToLeastConnected(const event &item)
    {
        std::size_t best = 0;
        for (std::size_t minion = 1; minion < minionCount; ++minion) {
            if (m_busy[minion] + m_reserved[minion] < m_busy[best] + m_reserved[best])
                best = minion;
        }
        if (m_busy[best] + m_reserved[best] >= slotCount) {
            event again = item;
            again.atMs = m_now + retryPollMs;
            push(again);
            return;
        }
        ++m_reserved[best];
        send(item.gateway, best, item.request);
    }

    void dispatch(std::size_t gateway)
    {
        if (m_trial.probes)
            return probe(gateway);
        auto &waiting = m_waiting[gateway];
        while (!waiting.empty()) {
            const std::size_t number = waiting.front();
            request &asked = m_requests[number];
            const double leftMs = deadlineMs - (m_now - asked.arrivedMs);
            const milliseconds left(std::llround(leftMs));
            const bool hasWaited = m_now > asked.arrivedMs;
            if (leftMs <= 0 || (hasWaited && wouldMissDeadline(m_gateways[gateway], m_settings, left))) {
                waiting.pop_front();
                ++m_outcome.late;
                continue;
            }
            const auto index = chooseMinion(m_gateways[gateway], m_settings, asked.tried, toTime(m_now));
            if (!index)
                break;
            waiting.pop_front();
            send(gateway, *index, number);
        }
        if (!waiting.empty() && !m_polling[gateway]) {
            m_polling[gateway] = true;
            event poll;
            poll.kind = event_kind::poll;
            poll.atMs = m_now + retryPollMs;
            poll.gateway = gateway;
            push(poll);
        }
    }

    static double travelMs(std::size_t gateway, std::size_t minion)
    {
        return gateway % domainCount == minion % domainCount ? 0 : crossDomainMs;
    }

    void send(std::size_t gateway, std::size_t minion, std::size_t number)
    {
        recordSend(m_gateways[gateway].minions[minion]);
        m_requests[number].tried.push_back(std::to_string(minion));
        event reach;
        reach.kind = event_kind::reachMinion;
        reach.atMs = m_now + travelMs(gateway, minion);
        reach.request = number;
        reach.gateway = gateway;
        reach.minion = minion;
        reach.sentMs = m_now;
        push(reach);
    }

    void reachMinion(event item)
    {
        m_reserved[item.minion] -= m_trial.probes ? 1 : 0;
        double timeMs = 0;
        if (m_busy[item.minion] >= slotCount) {
            item.result = attempt_result::refusedFull;
        } else if (m_trial.kind == shape::oneInTwentyFailing && isOdd(m_trial, item.minion)) {
            item.result = attempt_result::failed;
            timeMs = failingAnswerMs;
        } else {
            ++m_busy[item.minion];
            timeMs = m_requests[item.request].serviceMs * slowFactor(m_trial, item.minion);
        }
        item.kind = event_kind::leaveMinion;
        item.atMs = m_now + timeMs;
        push(item);
    }

    //! The answer leaves the minion with the number of slots that are taken then.
    void leaveMinion(event item)
    {
        if (item.result == attempt_result::answered)
            --m_busy[item.minion];
        item.busy = m_busy[item.minion];
        item.kind = event_kind::answer;
        item.atMs = m_now + travelMs(item.gateway, item.minion);
        push(item);
    }

    void takeAnswer(const event &item)
    {
        minion_state &minion = m_gateways[item.gateway].minions[item.minion];
        const milliseconds elapsed(std::llround(m_now - item.sentMs));
        recordAttempt(minion, m_settings, {item.result, elapsed, item.busy}, toTime(m_now));
        if (item.result == attempt_result::answered) {
            recordLatency(m_gateways[item.gateway], elapsed);
            const double latency = m_now - m_requests[item.request].arrivedMs;
            m_outcome.latencies.push_back(latency);
            m_outcome.late += latency > deadlineMs ? 1 : 0;
        } else if (item.result == attempt_result::refusedFull) {
            ++m_outcome.refused;
            m_waiting[item.gateway].push_front(item.request);
        } else if (takeRetryToken(m_gateways[item.gateway])) {
            m_waiting[item.gateway].push_front(item.request);
        } else {
            ++m_outcome.failed;
        }
        dispatch(item.gateway);
    }

    trial m_trial;
    routing_settings m_settings;
    std::mt19937_64 m_random;
    std::vector<routing_state> m_gateways;
    std::vector<std::deque<std::size_t>> m_waiting;
    std::vector<bool> m_polling;
    std::vector<std::int64_t> m_busy;
    std::vector<std::int64_t> m_reserved = std::vector<std::int64_t>(minionCount);
    std::vector<request> m_requests;
    std::priority_queue<event> m_events;
    outcome m_outcome;
    std::uint64_t m_order = 0;
    double m_now = 0;
};

//! The limit: one queue before all slots of the minions that are neither slow nor failing.
outcome sharedQueue(const trial &t)
{
    std::size_t good = 0;
    for (std::size_t minion = 0; minion < minionCount; ++minion)
        good += isOdd(t, minion) ? 0 : 1;
    std::mt19937_64 random(t.seed);
    const double capacity = static_cast<double>(minionCount * slotCount) / meanServiceMs;
    std::exponential_distribution<double> gap(capacity * t.load);
    std::lognormal_distribution<double> service(std::log(meanServiceMs) - serviceSigma * serviceSigma / 2,
                                                serviceSigma);
    std::priority_queue<double, std::vector<double>, std::greater<>> freeAt;
    for (std::size_t slot = 0; slot < good * static_cast<std::size_t>(slotCount); ++slot)
        freeAt.push(0);
    outcome result;
    double now = 0;
    for (std::size_t number = 0; number < t.requests; ++number) {
        now += gap(random);
        const double timeMs = service(random);
        const double start = std::max(now, freeAt.top());
        if (start - now >= deadlineMs) {
            ++result.late;
            continue;
        }
        freeAt.pop();
        freeAt.push(start + timeMs);
        result.latencies.push_back(start + timeMs - now);
        result.late += start + timeMs - now > deadlineMs ? 1 : 0;
        result.spanMs = std::max(result.spanMs, start + timeMs);
    }
    return result;
}

double quantile(std::vector<double> &values, double share)
{
    if (values.empty())
        return 0;
    const auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + place, values.end());
    return values[static_cast<std::size_t>(place)];
}

double p99Of(outcome &result)
{
    return quantile(result.latencies, 0.99);
}

void print(const char *name, outcome &result, double limitP99)
{
    const double inTime = static_cast<double>(result.latencies.size())
        - static_cast<double>(std::count_if(result.latencies.begin(), result.latencies.end(),
                                            [](double latency) { return latency > deadlineMs; }));
    const double capacity = static_cast<double>(minionCount * slotCount) / meanServiceMs;
    const double p99 = p99Of(result);
    std::printf("| %-13s | %7.1f | %7.1f | %7.1f | %6.2f | %6.3f | %7zu | %6zu |\n", name,
                quantile(result.latencies, 0.5), p99, quantile(result.latencies, 0.999), p99 / limitP99,
                inTime / result.spanMs / capacity, result.refused, result.failed);
}

void compare(const char *title, trial t)
{
    std::printf(
        "\n%s\n\n| policy        | p50 ms  | p99 ms  | p99.9   | p99/sq | goodput| refused | failed |\n"
        "|---|---|---|---|---|---|---|---|\n",
        title);
    outcome limit = sharedQueue(t);
    const double limitP99 = p99Of(limit);
    print("shared queue", limit, limitP99);
    const std::vector<std::pair<const char *, routing_policy>> policies
        = {{"random", routing_policy::random},
           {"round-robin", routing_policy::roundRobin},
           {"two-choices", routing_policy::twoChoices},
           {"least-loaded", routing_policy::leastLoaded}};
    for (const auto &[name, policy] : policies) {
        t.policy = policy;
        outcome result = simulation(t).run();
        print(name, result, limitP99);
    }
    // Above capacity every waiting request would probe all minions all the time.
    if (t.load > 1)
        return;
    t.probes = true;
    outcome probed = simulation(t).run();
    print("least-conn.", probed, limitP99);
}

} // namespace

int main(int argc, char **argv)
{
    trial t;
    const std::size_t requests = argc > 1 ? std::stoul(argv[1]) : 200'000;
    t.seed = argc > 2 ? std::stoul(argv[2]) : 1;
    std::printf("requests %zu, seed %llu; goodput is answers in time over capacity\n", requests,
                static_cast<unsigned long long>(t.seed));
    for (const double load : {0.5, 0.8, 0.95, 1.3}) {
        t.load = load;
        // The queue needs several deadlines' time to fill.
        t.requests = load > 1 ? requests * overloadFactor : requests;
        compare(("Load " + std::to_string(load).substr(0, 4)).c_str(), t);
    }
    t.requests = requests;
    t.load = 0.8;
    t.kind = shape::oneSlow;
    compare("Load 0.8, one minion ten times slower", t);
    t.kind = shape::oneInTwentySlow;
    compare("Load 0.8, one minion in twenty ten times slower", t);
    t.kind = shape::oneInTwentyFailing;
    compare("Load 0.8, one minion in twenty failing at once", t);
    return 0;
}
