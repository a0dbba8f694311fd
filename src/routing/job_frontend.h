#pragma once

#include "http/message.h"
#include "kernel/task.h"
#include "wire/peer_link.h"

#include <string>
#include <vector>

namespace almond::routing {

//! Serves the HTTP interface for jobs, /v1/jobs and /v1/jobs/ID, by calling a scheduler.
class job_frontend
{
public:
    //! \a schedulers are peer addresses. A call tries them in turn until one responds.
    job_frontend(wire::peer_link &peers, std::vector<std::string> schedulers);

    //! Returns whether \a path belongs to this interface.
    static bool handles(std::string_view path);
    kernel::task<http::reply> handle(http::request request);

private:
    kernel::task<http::reply> submit(http::request request);
    kernel::task<http::reply> show(std::string id);
    kernel::task<http::reply> cancel(std::string id);
    kernel::task<std::optional<nlohmann::json>> callAnyScheduler(std::string method,
                                                                 nlohmann::json arguments);

    wire::peer_link &m_peers;
    std::vector<std::string> m_schedulers;
    std::size_t m_next = 0;
};

} // namespace almond::routing
