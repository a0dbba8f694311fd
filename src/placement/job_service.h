#pragma once

#include "placement/scheduler_service.h"
#include "settings/findings.h"

#include <string>
#include <vector>

namespace almond::placement {

//! Parses a submitted job. Appends errors to \a found, each with its JSON path, which starts with \a path.
job_spec readJob(const json &value, const std::string &path, settings::findings &found);

//! Submits, cancels and lists jobs in all cells, whichever scheduler owns them. Its methods are provided to
//! the peers, so that each scheduler serves the calls for the cells that it owns.
class job_service
{
public:
    job_service(scheduler_service &scheduler, owner_dependencies dependencies, wire::peer_link &peers);

    //! Submits jobs. {"jobs": [...]} returns {"results": [{"id", "status": accepted|refused|unknown,
    //! "findings"}]}. A job with the status unknown may be submitted again with the same id: it is admitted
    //! only once. This and the other methods return null while this scheduler does not know the owners of the
    //! cells; the caller then tries another scheduler.
    kernel::task<json> submit(json arguments);
    //! Cancels jobs. {"ids": [...]} returns {"results": [{"id", "status": cancelled|ended|absent|unknown}]}.
    kernel::task<json> cancel(json arguments);
    //! Lists the jobs with the given ids, without ids all jobs, optionally only those in "phase".
    //! {"ids": [...], "phase"} returns {"jobs": [...], "complete"}; "complete" tells whether the owners of
    //! all cells responded.
    kernel::task<json> list(json arguments);

private:
    struct checked_job
    {
        job_spec spec;
        settings::findings findings;
    };

    //! Parses a job and checks that it can ever run. \a index is its position in the submission.
    checked_job check(const json &value, std::size_t index) const;
    //! Admits jobs to \a cell and returns their results.
    kernel::task<json> admit(std::string cell, std::vector<job_spec> specs);
    //! Calls \a method at the owner of \a cell. Returns an empty object without an owner or a response.
    kernel::task<json> callOwner(std::string cell, std::string method, json arguments);
    kernel::task<json> cancelInCell(json arguments);
    json listInOwnedCells(const json &arguments) const;

    scheduler_service &m_scheduler;
    owner_dependencies m_dependencies;
    wire::peer_link &m_peers;
};

} // namespace almond::placement
