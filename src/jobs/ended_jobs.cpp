#include "jobs/ended_jobs.h"

#include <algorithm>
#include <utility>

namespace almond::jobs {

void updateEndedJobs(ended_jobs &ended, job_table &table, const std::set<job_id> &uncommitted, time_point now)
{
    for (const job_id &id : std::exchange(table.newlyEnded, {}))
        ended.unsettled.insert(id);
    std::erase_if(ended.unsettled, [&](const job_id &id) {
        const auto job = table.jobs.find(id);
        if (job != table.jobs.end() && (job->second.assigned > 0 || uncommitted.contains(id)))
            return false;
        releaseTasks(table, id);
        ended.kept.push_back({now, id});
        return true;
    });
}

void keepUnknown(ended_jobs &ended, const job_id &id, time_point now)
{
    ended.kept.push_back({now, id});
}

std::vector<job_id> expiredJobs(const ended_jobs &ended, milliseconds retention, time_point now,
                                std::size_t limit)
{
    std::vector<job_id> expired;
    for (const ended_jobs::kept_job &job : ended.kept) {
        if (expired.size() == limit || now - job.since < retention)
            break;
        expired.push_back(job.id);
    }
    return expired;
}

void forgetOldest(ended_jobs &ended, std::size_t count)
{
    const auto last = ended.kept.begin() + static_cast<std::ptrdiff_t>(std::min(count, ended.kept.size()));
    ended.kept.erase(ended.kept.begin(), last);
}

} // namespace almond::jobs
