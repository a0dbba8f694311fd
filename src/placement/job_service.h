#pragma once

#include "placement/scheduler_service.h"
#include "settings/findings.h"

#include <string>
#include <vector>

namespace almond::placement {

//! Reads a job as its submitter wrote it; appends what is wrong to \a found, by JSON path below \a path.
job_spec readJob(const json &value, const std::string &path, settings::findings &found);

//! Submits, cancels, lists and shows jobs over all cells, whichever scheduler owns them.
//! Registers its calls with \a peers, so that each scheduler answers for the cells it owns.
class job_service
{
public:
    job_service(scheduler_service &scheduler, owner_dependencies dependencies, wire::peer_link &peers);

    //! The calls give null while this scheduler does not know the owners of the cells; the caller asks
    //! another.
    //! {"jobs": [...]} gives {"results": [{"id", "status": accepted|refused|unknown, "findings"}]}. An
    //! unknown result may be asked for again with the same id: a job is admitted once.
    kernel::task<json> submit(json arguments);
    //! {"ids": [...]} gives {"results": [{"id", "status": cancelled|ended|absent|unknown}]}.
    kernel::task<json> cancel(json arguments);
    //! {"ids": [...], "phase"} gives {"jobs": [...], "complete"}; without ids all jobs.
    kernel::task<json> list(json arguments);

private:
    struct checked_job
    {
        job_spec spec;
        settings::findings findings;
    };

    checked_job check(const json &value, std::size_t index) const;
    kernel::task<json> admit(std::string cell, std::vector<job_spec> specs);
    kernel::task<json> callOwner(std::string cell, std::string method, json arguments);
    kernel::task<json> cancelInCell(json arguments);
    json listInOwnedCells(const json &arguments) const;

    scheduler_service &m_scheduler;
    owner_dependencies m_dependencies;
    wire::peer_link &m_peers;
};

} // namespace almond::placement
