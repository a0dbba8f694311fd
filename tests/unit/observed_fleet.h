#pragma once

#include "jobs/waiting_watch.h"
#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

#include <deque>

namespace almond::tests {

inline const jobs::task_name task{onlyJob, 0, 0, 0};
//! The owner's office begins here on both clocks.
inline constexpr std::int64_t officeMs = 1000;

inline jobs::step_spec lastingStep(std::uint32_t count = 1, std::int64_t millicores = 1000)
{
    jobs::step_spec spec = step(count, millicores);
    spec.lasting = true;
    return spec;
}

//! A fleet as an owner sees it, some time after it took office.
struct observed_fleet
{
    jobs::ledger book;
    jobs::fleet_config config = fleetConfig();
    jobs::session_rules sessions;
    std::deque<jobs::worker_session> opened;
    std::vector<jobs::worker_view> workers;
    jobs::waiting_watch watch;
    jobs::room_counts rooms;
    std::int64_t nowMs = officeMs;
    bool configOld = false;
    bool workersOld = false;

    void add(std::vector<jobs::step_spec> steps, std::int64_t acceptedAtMs = officeMs)
    {
        jobs::job made = makeJob(onlyJob, std::move(steps));
        made.acceptedAtMs = acceptedAtMs;
        jobs::addJob(book, made);
    }

    //! A worker that has answered now. Workers are added in the order of their names.
    jobs::worker_session &addWorker(const std::string &id, std::int64_t millicores = 32'000)
    {
        opened.push_back(
            jobs::openSession(worker(id, millicores), jobs::inheritedLeaseEnd(sessions, at(officeMs))));
        workers.push_back({&opened.back(), nullptr, false, false});
        opened.back().fenced = true;
        answer(opened.back());
        return opened.back();
    }

    void answer(jobs::worker_session &session) const
    {
        jobs::order_answer answer;
        answer.outcome = jobs::order_outcome::accepted;
        answer.workerClockMs = nowMs;
        jobs::noteAnswer(session, answer, at(nowMs));
    }

    jobs::fleet_view view()
    {
        for (jobs::worker_view &worker : workers) {
            const auto load = book.loads.find(worker.session->incarnation);
            worker.load = load == book.loads.end() ? nullptr : &load->second;
        }
        return {book, config, sessions, workers, configOld, workersOld, at(officeMs), at(nowMs), at(nowMs)};
    }

    void start(const jobs::task_name &name, std::uint32_t run, jobs::worker_session &session)
    {
        ASSERT_TRUE(jobs::apply(book, started(name, run, session.incarnation)));
        session.ordering[name] = run;
    }

    void accept(const jobs::task_name &name, std::uint32_t run, jobs::worker_session &session) const
    {
        session.ordering.erase(name);
        session.accepted[name] = {run, at(nowMs)};
        answer(session);
    }

    void end(const jobs::task_name &name, std::uint32_t run, jobs::run_end how)
    {
        const jobs::ledger_record record = ended(name, run, how);
        ASSERT_TRUE(jobs::apply(book, record));
        jobs::noteEnd(watch, view(), record);
    }

    //! Takes the runs whose lease or life is over, as the owner's tick does.
    std::size_t lapse(jobs::worker_session &session)
    {
        const auto lapsed = jobs::lapsedRuns(session, sessions, book, at(nowMs));
        jobs::noteLapse(watch, view(), session, lapsed);
        for (const jobs::ledger_record &record : lapsed) {
            jobs::apply(book, record);
            jobs::noteEnd(watch, view(), record);
        }
        return lapsed.size();
    }

    std::optional<jobs::wait_cause> cause(const jobs::task_name &name = task)
    {
        rooms.clear();
        return jobs::causeOf(view(), name, rooms);
    }

    std::vector<jobs::watch_line> walkAt(std::int64_t ms)
    {
        nowMs = ms;
        return jobs::walkWaiting(watch, view());
    }

    //! Walks twice a second until \a ms and returns all lines.
    std::vector<jobs::watch_line> walkUntil(std::int64_t ms)
    {
        std::vector<jobs::watch_line> all;
        while (nowMs + 500 <= ms) {
            for (jobs::watch_line &line : walkAt(nowMs + 500))
                all.push_back(std::move(line));
        }
        return all;
    }
};

} // namespace almond::tests
