// The part of job_owner that decides whether what a start depends on is recent enough.

#include "fleet/job_owner.h"

#include "jobs/job_codec.h"
#include "observe/log.h"

#include <algorithm>
#include <utility>

namespace almond::fleet {

using kernel::task;
using observe::log_level;

//! When what a start depends on was last confirmed; zero if it never was.
job_owner::confirmed_times job_owner::confirmedTimes() const
{
    return {m_dependencies.configConfirmedAt(), m_dependencies.workersConfirmedAt(),
            m_jobKeys ? m_jobKeys->confirmedAt() : time_point{}};
}

time_point job_owner::permissionEnd(start_input input) const
{
    const owner_rules &rules = m_dependencies.rules;
    const std::array<milliseconds, startInputCount> validities{rules.configValidity, rules.workersValidity,
                                                               rules.jobsValidity};
    const auto index = static_cast<std::size_t>(input);
    return confirmedTimes().at(index) + validities.at(index);
}

time_point job_owner::startPermissionEnd() const
{
    return std::min({permissionEnd(start_input::config), permissionEnd(start_input::workers),
                     permissionEnd(start_input::jobs)});
}

bool job_owner::knowsRecentJobs() const
{
    return m_dependencies.clock() < permissionEnd(start_input::jobs);
}

//! What is too old at \a now to start anything; empty if nothing is.
std::string job_owner::outdatedInput(time_point now) const
{
    if (now >= permissionEnd(start_input::config))
        return "the configuration may be outdated";
    if (now >= permissionEnd(start_input::workers))
        return "the list of workers may be outdated";
    return now < permissionEnd(start_input::jobs) ? "" : "the list of jobs may be outdated";
}

//! Lets a start wait for a moment while something that it depends on is too old. If it were given up, it
//! would have to be planned and recorded anew.
task<void> job_owner::holdStart(start_attempt &attempt, const jobs::journal_record &record)
{
    const time_point now = m_dependencies.clock();
    if (attempt.heldSince == time_point{}) {
        attempt.heldSince = now;
        ++m_counters.startsHeld;
        observe::logLimited(log_level::info, "start waits for a confirmation of the store",
                            {{"task", jobs::formatTask(record.task)},
                             {"run", record.run},
                             {"worker", record.worker},
                             {"reason", outdatedInput(now)}},
                            now);
    }
    co_await kernel::sleepFor(m_dependencies.rules.retryDelay);
}

//! Ends the wait of \a attempt, if there was one. Returns why it may not go on; empty if it may.
std::string job_owner::releaseStart(start_attempt &attempt, const managed_worker &worker,
                                    time_point now) const
{
    const time_point heldSince = std::exchange(attempt.heldSince, time_point{});
    if (heldSince == time_point{})
        return "";
    if (m_dependencies.metrics)
        recordStartHold(*m_dependencies.metrics, now - heldSince);
    const bool usable
        = attempt.mayHaveArrived || jobs::acceptsNewTasks(worker.session, m_dependencies.rules.sessions, now);
    return usable ? "" : "the worker takes no new tasks by now";
}

confirmed_ages job_owner::confirmedAges(time_point now) const
{
    confirmed_ages ages{};
    const confirmed_times times = confirmedTimes();
    for (std::size_t input = 0; input < startInputCount; ++input)
        ages.at(input) = now - (times.at(input) == time_point{} ? m_termStart : times.at(input));
    return ages;
}

void job_owner::recordAges(time_point now)
{
    const confirmed_ages ages = confirmedAges(now);
    for (std::size_t input = 0; input < startInputCount; ++input)
        m_longestAges.at(input) = std::max(m_longestAges.at(input), ages.at(input));
    if (m_dependencies.metrics)
        recordConfirmedAges(*m_dependencies.metrics, ages);
}

//! How long ago what a start depends on was confirmed, now and at most in this term.
json job_owner::describeAges() const
{
    const confirmed_ages ages = confirmedAges(m_dependencies.clock());
    json found = json::object();
    for (std::size_t input = 0; input < startInputCount; ++input)
        found[std::string(inputName(static_cast<start_input>(input)))]
            = {{"ageMs", ages.at(input).count()}, {"longestMs", m_longestAges.at(input).count()}};
    return found;
}

} // namespace almond::fleet
