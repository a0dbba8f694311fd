#pragma once

#include "jobs/wait_monitor.h"
#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

#include <deque>

namespace almond::tests {

inline const jobs::task_name task{onlyJob, 0, 0, 0};
//! The owner's office begins here on both clocks.
inline constexpr std::int64_t termStartMs = 1000;

inline jobs::step_spec lastingStep(std::uint32_t count = 1, std::int64_t millicores = 1000)
{
    jobs::step_spec spec = step(count, millicores);
    spec.longRunning = true;
    return spec;
}

//! A fleet as an owner sees it, some time after it took office.
struct observed_fleet
{
    jobs::job_table table;
    jobs::fleet_config config = fleetConfig();
    jobs::session_rules sessions;
    std::deque<jobs::worker_session> opened;
    std::vector<jobs::worker_view> workers;
    jobs::wait_monitor watch;
    jobs::fitting_workers_cache rooms;
    std::int64_t nowMs = termStartMs;
    bool configStale = false;
    bool workerListStale = false;

    void add(std::vector<jobs::step_spec> steps, std::int64_t acceptedAtMs = termStartMs)
    {
        jobs::job made = makeJob(onlyJob, std::move(steps));
        made.acceptedAtMs = acceptedAtMs;
        jobs::addJob(table, made);
    }

    //! A worker that has answered now. Workers are added in the order of their names.
    jobs::worker_session &addWorker(const std::string &id, std::int64_t millicores = 32'000)
    {
        opened.push_back(
            jobs::openSession(worker(id, millicores), jobs::inheritedLeaseEnd(sessions, at(termStartMs))));
        workers.push_back({&opened.back(), nullptr, false, false});
        opened.back().fenced = true;
        answer(opened.back());
        return opened.back();
    }

    void answer(jobs::worker_session &session) const
    {
        jobs::order_response answer;
        answer.outcome = jobs::order_outcome::accepted;
        answer.workerClockMs = nowMs;
        jobs::recordResponse(session, answer, at(nowMs));
    }

    jobs::fleet_view view()
    {
        for (jobs::worker_view &worker : workers) {
            const auto load = table.loads.find(worker.session->incarnation);
            worker.load = load == table.loads.end() ? nullptr : &load->second;
        }
        return {table,           config,          sessions,  workers,  configStale,
                workerListStale, at(termStartMs), at(nowMs), at(nowMs)};
    }

    void start(const jobs::task_name &name, std::uint32_t run, jobs::worker_session &session)
    {
        ASSERT_TRUE(jobs::apply(table, started(name, run, session.incarnation)));
        session.pendingStarts[name] = run;
    }

    void accept(const jobs::task_name &name, std::uint32_t run, jobs::worker_session &session) const
    {
        session.pendingStarts.erase(name);
        session.acceptedRuns[name] = {run, at(nowMs)};
        answer(session);
    }

    void end(const jobs::task_name &name, std::uint32_t run, jobs::run_end how)
    {
        const jobs::journal_record record = ended(name, run, how);
        ASSERT_TRUE(jobs::apply(table, record));
        jobs::recordEnd(watch, view(), record);
    }

    //! Takes the runs whose lease or life is over, as the owner's tick does.
    std::size_t lapse(jobs::worker_session &session)
    {
        const auto lapsed = jobs::expiredRuns(session, sessions, table, at(nowMs));
        jobs::recordExpiredRuns(watch, view(), session, lapsed);
        for (const jobs::journal_record &record : lapsed) {
            jobs::apply(table, record);
            jobs::recordEnd(watch, view(), record);
        }
        return lapsed.size();
    }

    std::optional<jobs::wait_cause> cause(const jobs::task_name &name = task)
    {
        rooms.clear();
        return jobs::causeOf(view(), name, rooms);
    }

    std::vector<jobs::log_line> walkAt(std::int64_t ms)
    {
        nowMs = ms;
        return jobs::scanWaiting(watch, view());
    }

    //! Walks twice a second until \a ms and returns all lines.
    std::vector<jobs::log_line> walkUntil(std::int64_t ms)
    {
        std::vector<jobs::log_line> all;
        while (nowMs + 500 <= ms) {
            for (jobs::log_line &line : walkAt(nowMs + 500))
                all.push_back(std::move(line));
        }
        return all;
    }
};

} // namespace almond::tests
