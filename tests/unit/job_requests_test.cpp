#include "fleet/caller_service.h"
#include "jobs/job_codec.h"
#include "tests/fakes/fake_store.h"
#include "tests/unit/job_fixtures.h"
#include "tests/unit/loop.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>

//! Random histories of the requests about one job at several hosts. The store holds each call until the
//! history releases it, so that hosts stand still for any time; it loses responses, drops and rejects calls,
//! and carries out writes late.
namespace {

using namespace almond;
using fakes::call_completion;
using fleet::call_outcome;
using kernel::milliseconds;
using kernel::task;

constexpr std::size_t hostCount = 3;
constexpr milliseconds callTimeout{3000};

enum class request_kind { submit, cancel, status };

struct request
{
    request_kind kind = request_kind::submit;
    std::optional<call_outcome> outcome;
    //! Whether a cancelling had been sent, and a job had been acknowledged, when this request was sent.
    bool sentAfterCancel = false;
    bool sentAfterAcceptance = false;
};

//! One step of a history: a new request or an event of the store, with numbers that choose among the
//! possibilities.
struct step
{
    int action = 0;
    std::size_t choice = 0;
    int completion = 0;
};

class request_history
{
public:
    request_history()
    {
        for (std::size_t host = 0; host < hostCount; ++host) {
            fleet::caller_service_dependencies dependencies;
            dependencies.store = m_store.api();
            dependencies.clock = [] { return kernel::time_point(milliseconds(1'000'000)); };
            dependencies.unixClock = dependencies.clock;
            dependencies.peers = &m_peers;
            dependencies.owner = [] { return fleet::owner_view(); };
            dependencies.local = [] { return nullptr; };
            dependencies.rules.retryDelay = milliseconds(0);
            m_hosts.emplace_back(std::move(dependencies));
        }
    }

    void take(const step &next)
    {
        constexpr int requestActions = 3;
        if (next.action < requestActions)
            send(static_cast<request_kind>(next.action), next.choice % hostCount);
        else if (next.action == requestActions && m_store.late() > 0)
            m_store.carryOutLate(next.choice % m_store.late());
        else if (m_store.held() > 0)
            m_store.release(next.choice % m_store.held(), completionOf(next.completion));
        settle();
    }

    //! Ends all requests and carries out all late writes.
    void finish()
    {
        const auto isOpen = [](const request &sent) { return !sent.outcome; };
        while (std::any_of(m_requests.begin(), m_requests.end(), isOpen)) {
            if (m_store.held() > 0)
                m_store.release(0, call_completion::answer);
            settle();
            m_context.run_one_for(std::chrono::milliseconds(1));
        }
        while (m_store.late() > 0) {
            m_store.carryOutLate(0);
            settle();
        }
    }

    //! Whether an owner that reads the store now would start tasks of the job.
    bool mayRun() const
    {
        const auto accepted
            = m_store.state.items.find(std::string(fleet::job_key::accepted) + tests::onlyJob);
        const bool isJob
            = accepted != m_store.state.items.end() && !jobs::isTombstone(accepted->second.value);
        return isJob
            && !m_store.state.items.contains(std::string(fleet::job_key::cancelled) + tests::onlyJob);
    }

    //! Whether anything in the store says that the job is cancelled.
    bool isCancelled() const
    {
        const auto accepted
            = m_store.state.items.find(std::string(fleet::job_key::accepted) + tests::onlyJob);
        return m_store.state.items.contains(std::string(fleet::job_key::cancelled) + tests::onlyJob)
            || (accepted != m_store.state.items.end() && jobs::isTombstone(accepted->second.value));
    }

    bool has(request_kind kind) const
    {
        return std::any_of(m_requests.begin(), m_requests.end(),
                           [kind](const request &sent) { return sent.kind == kind; });
    }

    bool hasOutcome(request_kind kind, call_outcome outcome) const
    {
        return std::any_of(m_requests.begin(), m_requests.end(),
                           [&](const request &sent) { return sent.kind == kind && sent.outcome == outcome; });
    }

    //! Whether requests of \a kind were sent and all had \a outcome.
    bool allHad(request_kind kind, call_outcome outcome) const
    {
        return has(kind) && std::all_of(m_requests.begin(), m_requests.end(), [&](const request &sent) {
                   return sent.kind != kind || sent.outcome == outcome;
               });
    }

    bool isCancelAcknowledged() const
    {
        return hasOutcome(request_kind::cancel, call_outcome::ok)
            || hasOutcome(request_kind::cancel, call_outcome::absent);
    }

    bool isAccepted() const { return hasOutcome(request_kind::submit, call_outcome::ok); }

    const std::deque<request> &requests() const { return m_requests; }

private:
    static call_completion completionOf(int number)
    {
        constexpr std::array others{call_completion::loseAnswer, call_completion::drop,
                                    call_completion::refuse, call_completion::late};
        // Half of the calls are answered.
        return number < static_cast<int>(others.size()) ? others.at(static_cast<std::size_t>(number))
                                                        : call_completion::answer;
    }

    void send(request_kind kind, std::size_t host)
    {
        request &sent = m_requests.emplace_back();
        sent.kind = kind;
        sent.sentAfterCancel = has(request_kind::cancel);
        sent.sentAfterAcceptance = isAccepted();
        kernel::spawn(m_context.get_executor(), run(m_hosts[host], sent));
    }

    static task<void> run(fleet::caller_service &host, request &sent)
    {
        if (sent.kind == request_kind::submit) {
            jobs::job submitted = tests::makeJob(tests::onlyJob, {tests::step(1, 500)});
            const fleet::submit_result result = co_await host.submit(std::move(submitted), callTimeout);
            sent.outcome = result.outcome;
        } else if (sent.kind == request_kind::cancel) {
            sent.outcome = co_await host.cancel(tests::onlyJob, callTimeout);
        } else {
            const fleet::status_result result = co_await host.status(tests::onlyJob, callTimeout);
            sent.outcome = result.outcome;
        }
    }

    void settle()
    {
        m_context.restart();
        // Pauses between two attempts take no time, but end in a later turn of the loop.
        while (m_context.run_for(std::chrono::milliseconds(0)) > 0 || m_context.poll() > 0) { }
    }

    boost::asio::io_context m_context;
    wire::peer_link m_peers{m_context};
    fakes::fake_store m_store{m_context};
    std::deque<fleet::caller_service> m_hosts;
    std::deque<request> m_requests;
};

std::vector<step> drawHistory()
{
    constexpr int actionCount = 12;
    constexpr int completionCount = 8;
    const auto action = rc::gen::inRange(0, actionCount);
    return *rc::gen::container<std::vector<step>>(
        rc::gen::build<step>(rc::gen::set(&step::action, action),
                             rc::gen::set(&step::choice, rc::gen::inRange<std::size_t>(0, 60)),
                             rc::gen::set(&step::completion, rc::gen::inRange(0, completionCount))));
}

//! Guards against each of these: a job that may start after its cancelling was acknowledged; an accepted job
//! that nobody cancelled and that is lost or said not to exist; a job that may start although all submissions
//! were refused; a cancellation that takes effect although it was refused.
RC_GTEST_PROP(job_requests_test, ResponsesStayTrue, ())
{
    request_history history;
    bool acknowledged = false;
    const auto check = [&] {
        acknowledged = acknowledged || history.isCancelAcknowledged();
        RC_ASSERT(!acknowledged || !history.mayRun());
        const bool sentCancel = history.has(request_kind::cancel);
        RC_ASSERT(sentCancel || !history.isAccepted() || history.mayRun());
        for (const request &sent : history.requests()) {
            if (sent.kind == request_kind::status && sent.sentAfterAcceptance && !sentCancel)
                RC_ASSERT(sent.outcome != call_outcome::absent);
            if (sent.kind == request_kind::submit && !sentCancel)
                RC_ASSERT(sent.outcome != call_outcome::cancelled);
        }
    };
    for (const step &next : drawHistory()) {
        history.take(next);
        check();
    }
    history.finish();
    check();
    for (const request &sent : history.requests())
        RC_ASSERT(sent.outcome.has_value());
    if (history.allHad(request_kind::submit, call_outcome::refused))
        RC_ASSERT(!history.mayRun());
    if (history.allHad(request_kind::submit, call_outcome::cancelled))
        RC_ASSERT(!history.mayRun());
    if (history.allHad(request_kind::cancel, call_outcome::refused))
        RC_ASSERT(!history.isCancelled());
    RC_TAG(acknowledged ? "cancelled" : history.isAccepted() ? "accepted" : "neither");
}

} // namespace
