#pragma once

#include "http/message.h"
#include "kernel/task.h"
#include "wire/peer_link.h"

#include <string>
#include <vector>

namespace almond::routing {

//! The callers' HTTP interface for jobs: /v1/jobs and /v1/jobs/ID, passed on to a scheduler.
class job_frontend
{
public:
    //! \a schedulers are peer addresses; a call goes to the next one when one does not answer.
    job_frontend(wire::peer_link &peers, std::vector<std::string> schedulers);

    //! Tells whether \a path belongs to this interface.
    static bool handles(std::string_view path);
    kernel::task<http::reply> handle(http::request asked);

private:
    kernel::task<http::reply> submit(http::request asked);
    kernel::task<http::reply> show(std::string id);
    kernel::task<http::reply> cancel(std::string id);
    kernel::task<std::optional<nlohmann::json>> callAny(std::string method, nlohmann::json arguments);

    wire::peer_link &m_peers;
    std::vector<std::string> m_schedulers;
    std::size_t m_next = 0;
};

} // namespace almond::routing
