#pragma once

#include "tests/unit/job_fixtures.h"

#include <string>
#include <utility>
#include <vector>

namespace almond::tests {

//! A service that short tasks of one queue keep full, in rounds of planning: runs end, their room is seen,
//! and the planner gives it away.
class full_service
{
public:
    //! Longest time that a lasting task may wait while two workers have room for it.
    static constexpr kernel::milliseconds longestWait{3000};
    //! Longest time from one plan to the next.
    static constexpr kernel::milliseconds roundTime{150};
    static constexpr kernel::milliseconds shortRun{1000};
    static constexpr const char *shortJob = "00000000000000ff";

    full_service(std::vector<jobs::worker_info> workers, std::int64_t shortMillicores)
        : m_workers(std::move(workers))
    {
        constexpr std::uint32_t neverUsedUp = 20'000;
        jobs::addJob(table, makeJob(shortJob, {step(neverUsedUp, shortMillicores)}));
    }

    //! Lets short tasks take all room, as if they had begun one after the other.
    void fill()
    {
        const std::vector<jobs::journal_record> begun = plan(unlimited);
        for (std::size_t number = 0; number < begun.size(); ++number) {
            jobs::apply(table, begun[number]);
            const auto share = static_cast<std::int64_t>(number) * shortRun.count()
                / static_cast<std::int64_t>(begun.size());
            m_ends.emplace_back(now + kernel::milliseconds(share), begun[number]);
        }
    }

    //! Ends the short runs that are due by the next round.
    void endDueRuns()
    {
        now += roundTime;
        std::erase_if(m_ends, [this](const auto &entry) {
            const bool due = entry.first <= now;
            if (due)
                jobs::apply(table, ended(entry.second.task, entry.second.run, jobs::run_end::done));
            return due;
        });
    }

    //! Plans once and starts what was planned.
    void startPlanned()
    {
        constexpr std::size_t startsOfARound = 400;
        for (const jobs::journal_record &record : plan(startsOfARound)) {
            jobs::apply(table, record);
            if (record.task.job == shortJob)
                m_ends.emplace_back(now + shortRun, record);
        }
    }

    //! Whether two workers have room for a task of \a spec at present.
    bool hasRoomTwiceOver(const jobs::step_spec &spec) const
    {
        std::size_t found = 0;
        for (const jobs::candidate &worker : candidates()) {
            const bool labelled
                = spec.requiredLabel.empty() || jobs::hasLabel(worker.info, spec.requiredLabel);
            found += labelled && placement::fits(spec.demand, worker.available) ? 1 : 0;
        }
        return found > 1;
    }

    //! Plays rounds for \a longestWait. Returns how many tasks of \a ids waited all the while, with room for
    //! one twice over whenever a round began.
    std::size_t tasksLeftWaiting(const std::vector<std::string> &ids)
    {
        const jobs::step_spec spec = table.jobs.at(ids.front()).spec.steps.front();
        const kernel::time_point until = now + longestWait;
        bool alwaysRoom = true;
        while (now < until) {
            endDueRuns();
            alwaysRoom = alwaysRoom && hasRoomTwiceOver(spec);
            startPlanned();
        }
        std::size_t left = 0;
        for (const std::string &id : ids)
            left += alwaysRoom ? table.jobs.at(id).waiting : 0;
        return left;
    }

    jobs::job_table table;
    kernel::time_point now = at(60'000);

private:
    static constexpr std::size_t unlimited = 1'000'000;

    std::vector<jobs::candidate> candidates() const
    {
        std::vector<jobs::candidate> usable;
        for (const jobs::worker_info &info : m_workers) {
            const auto load = table.loads.find(jobs::incarnationOf(info));
            usable.push_back(jobs::makeCandidate(info, load == table.loads.end() ? nullptr : &load->second));
        }
        return usable;
    }

    std::vector<jobs::journal_record> plan(std::size_t limit) const
    {
        return jobs::planStarts(table, m_config, m_interference, candidates(), limit, now);
    }

    std::vector<jobs::worker_info> m_workers;
    jobs::fleet_config m_config = fleetConfig();
    jobs::interference_view m_interference;
    std::vector<std::pair<kernel::time_point, jobs::journal_record>> m_ends;
};

//! \a count workers that are alike.
inline std::vector<jobs::worker_info> equalWorkers(std::uint32_t count)
{
    std::vector<jobs::worker_info> made;
    for (std::uint32_t number = 0; number < count; ++number)
        made.push_back(worker("w" + std::to_string(number)));
    return made;
}

//! A step of \a count tasks that last.
inline jobs::step_spec lastingStep(std::uint32_t count, std::int64_t millicores)
{
    jobs::step_spec spec = step(count, millicores);
    spec.longRunning = true;
    return spec;
}

//! Adds a job whose lasting tasks have run on a worker that is gone.
inline void addLostJob(full_service &service, const std::string &id, const jobs::step_spec &spec)
{
    jobs::addJob(service.table, makeJob(id, {spec}));
    for (std::uint32_t index = 0; index < spec.count; ++index) {
        const jobs::task_name task{id, 0, 0, index};
        jobs::apply(service.table, started(task, 1, "gone@1"));
        jobs::apply(service.table, ended(task, 1, jobs::run_end::lost));
    }
}

} // namespace almond::tests
