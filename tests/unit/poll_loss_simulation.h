#pragma once

#include "jobs/poll_schedule.h"
#include "tests/unit/interference_fixture.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

namespace almond::tests {

struct poll_loss_case
{
    //! Tail relative to the target from the begin of the excess on.
    double level = 20.0;
    //! Share of the polls that have no response.
    double lostPolls = 0.0;
};

struct poll_loss_outcome
{
    //! Longest time between two lists of runs.
    kernel::milliseconds blind{0};
    //! Longest time on end over the target beside best-effort tasks at work.
    kernel::milliseconds besideWork{0};
    //! The same with the time that the tail takes to fall.
    kernel::milliseconds over{0};
    int extraPolls = 0;
    bool suspended = false;
};

//! Simulates a worker that loses polls, and its owner's decisions, in steps of 10 ms. A serving task goes far
//! over its target beside two best-effort tasks.
class poll_loss_simulation
{
public:
    poll_loss_simulation(const poll_loss_case &simulated, std::uint32_t seed)
        : m_case(simulated)
        , m_random(seed)
        , m_beginMs(startMs + 4000 + between(0, 999))
    {
        for (const char *image : {"heavy", "light"})
            setSlackPerCore(m_fixture.model, "frail", image, 0.0);
        for (const jobs::running_report &row : m_fixture.running)
            m_fixture.session.acceptedRuns[row.task] = {row.run, kernel::fromMillis(startMs - 60'000)};
    }

    poll_loss_outcome run()
    {
        m_listedMs = startMs;
        m_polls.listedAt = kernel::fromMillis(startMs);
        m_nextRegular = startMs;
        for (m_now = startMs; m_now < m_beginMs + observedMs; m_now += stepMs) {
            carryOut();
            advance();
            receive(m_regular, false);
            for (poll_under_way &extra : m_extras)
                receive(extra, true);
            std::erase_if(m_extras, [](const poll_under_way &extra) { return extra.endsAt == never; });
            sendRegular();
            if (m_now % checkMs == 0)
                check();
            const bool idle = m_limits[0] == 0 && m_limits[1] == 0;
            m_outcome.suspended = m_outcome.suspended || idle;
            if (idle && m_level <= 1.0)
                break;
        }
        return m_outcome;
    }

private:
    struct poll_under_way
    {
        std::int64_t sentAt = 0;
        //! When the response arrives, or its absence is found.
        std::int64_t endsAt = never;
        bool isLost = false;
    };
    struct order_under_way
    {
        jobs::throttle_order order;
        std::int64_t arrivesAt = 0;
    };

    static constexpr std::int64_t never = 1'000'000'000;
    static constexpr std::int64_t startMs = 100'000;
    static constexpr std::int64_t observedMs = 10'000;
    static constexpr std::int64_t stepMs = 10;
    static constexpr std::int64_t checkMs = 100;
    static constexpr std::int64_t figureMs = 500;
    static constexpr std::int64_t waitMs = 500;
    static constexpr std::int64_t waitInMissMs = 250;
    static constexpr std::int64_t responseMs = 20;
    static constexpr std::int64_t timeoutMs = 800;
    static constexpr std::int64_t retryMs = 150;
    static constexpr double halfLifeMs = 400.0;
    static constexpr double idleLevel = 0.6;

    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(m_random);
    }

    void carryOut()
    {
        std::vector<order_under_way> waiting;
        std::swap(waiting, m_orders);
        for (const order_under_way &sent : waiting) {
            if (m_now < sent.arrivesAt) {
                m_orders.push_back(sent);
                continue;
            }
            m_limits.at(sent.order.task.step) = sent.order.percent;
            jobs::order_response accepted;
            accepted.outcome = jobs::order_outcome::accepted;
            jobs::recordThrottleResponse(m_fixture.throttle, sent.order, accepted, kernel::fromMillis(m_now));
            if (const auto next = jobs::nextThrottleOrder(
                    m_fixture.throttle, {sent.order.task, sent.order.run}, kernel::fromMillis(m_now)))
                send({*next});
        }
    }

    void send(const std::vector<jobs::throttle_order> &orders)
    {
        for (const jobs::throttle_order &order : orders)
            m_orders.push_back({order, m_now + between(150, 350)});
    }

    void advance()
    {
        const bool atWork = m_limits[0] > 0 || m_limits[1] > 0;
        const double fall = std::exp2(-static_cast<double>(stepMs) / halfLifeMs);
        const double loaded = m_now < m_beginMs ? idleLevel : m_case.level;
        m_level = atWork ? loaded : std::max(idleLevel, m_level * fall);
        const bool over = m_level > 1.0;
        m_over = over ? m_over + stepMs : 0;
        m_besideWork = over && atWork ? m_besideWork + stepMs : 0;
        m_outcome.over = std::max(m_outcome.over, kernel::milliseconds(m_over));
        m_outcome.besideWork = std::max(m_outcome.besideWork, kernel::milliseconds(m_besideWork));
        m_levelSum += m_level;
        if (m_now % figureMs != 0)
            return;
        // Each figure covers the time since the one before.
        const double mean = m_levelSum * stepMs / figureMs;
        const double error = std::normal_distribution<double>(0.0, 0.08)(m_random);
        m_figure = std::max<std::int64_t>(1, std::llround(mean * std::exp(error) * targetMs));
        m_levelSum = 0.0;
    }

    poll_under_way makePoll(std::int64_t wait)
    {
        const bool isLost = std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < m_case.lostPolls;
        return {m_now, m_now + wait + (isLost ? timeoutMs : responseMs), isLost};
    }

    void sendRegular()
    {
        if (m_polls.isUnderWay || m_now < m_nextRegular)
            return;
        const std::int64_t usual = jobs::isTargetMissed(m_fixture.throttle) ? waitInMissMs : waitMs;
        const std::int64_t wait = m_isUnanswered ? 0 : usual;
        m_regular = makePoll(wait);
        m_polls.isUnderWay = true;
        m_polls.sentAt = kernel::fromMillis(m_now);
        m_polls.wait = kernel::milliseconds(wait);
    }

    void receive(poll_under_way &poll, bool isExtra)
    {
        if (m_now < poll.endsAt)
            return;
        poll.endsAt = never;
        if (isExtra) {
            --m_polls.extraUnderWay;
        } else {
            m_polls.isUnderWay = false;
            m_nextRegular = poll.isLost ? m_now + retryMs : m_now;
            m_isUnanswered = poll.isLost && m_listedMs < poll.sentAt;
        }
        if (poll.isLost || jobs::isOvertaken(m_polls, kernel::fromMillis(poll.sentAt)))
            return;
        m_isUnanswered = false;
        m_outcome.blind = std::max(m_outcome.blind, kernel::milliseconds(m_now - m_listedMs));
        m_listedMs = m_now;
        m_polls.listedAt = kernel::fromMillis(m_now);
        m_polls.listSentAt = kernel::fromMillis(poll.sentAt);
        for (std::size_t run = 0; run < m_limits.size(); ++run)
            m_fixture.running.at(run + 1).measurement = 40 * static_cast<std::int64_t>(m_limits.at(run));
        send(m_fixture.decide(m_now, m_figure));
    }

    //! Does what the owner does between polls.
    void check()
    {
        send(jobs::suspendBetweenPolls(m_fixture.throttle, m_fixture.rules, m_fixture.table,
                                       m_fixture.session, kernel::fromMillis(m_now)));
        if (!jobs::isExtraPollDue(m_polls, {}, kernel::fromMillis(m_now)))
            return;
        m_extras.push_back(makePoll(0));
        ++m_polls.extraUnderWay;
        m_polls.extraSentAt = kernel::fromMillis(m_now);
        ++m_outcome.extraPolls;
    }

    poll_loss_case m_case;
    std::mt19937 m_random;
    std::int64_t m_beginMs = 0;
    interference_fixture m_fixture;
    jobs::poll_progress m_polls;
    poll_under_way m_regular;
    std::vector<poll_under_way> m_extras;
    std::vector<order_under_way> m_orders;
    poll_loss_outcome m_outcome;
    std::array<int, 2> m_limits{100, 100};
    std::int64_t m_now = 0;
    std::int64_t m_nextRegular = 0;
    std::int64_t m_listedMs = 0;
    bool m_isUnanswered = false;
    double m_level = idleLevel;
    double m_levelSum = 0.0;
    std::int64_t m_figure = 30;
    std::int64_t m_over = 0;
    std::int64_t m_besideWork = 0;
};

} // namespace almond::tests
