#pragma once

#include "jobs/interference.h"
#include "jobs/poll_schedule.h"
#include "jobs/worker_evaluation.h"
#include "jobs/worker_session.h"
#include "kernel/completion.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace almond::fleet {

using kernel::time_point;

//! What an owner keeps of one worker.
struct managed_worker
{
    explicit managed_worker(const boost::asio::any_io_executor &executor)
        : signal(executor)
    {
    }
    managed_worker(const managed_worker &) = delete;
    managed_worker &operator=(const managed_worker &) = delete;

    jobs::worker_session session;
    //! What the list of workers says at present; nothing if the worker is not listed.
    std::optional<jobs::worker_info> listing;
    //! The list names an earlier incarnation than the one that responds.
    bool isListingLate = false;
    kernel::wake_signal signal;
    time_point refusedAt{};
    jobs::poll_progress polls;
    jobs::throttle_state throttle;
    jobs::worker_evaluation evaluation;
    bool loopRunning = false;
    time_point sessionOpenedAt{};
};

using managed_worker_ptr = std::shared_ptr<managed_worker>;

//! The workers of one term, at most one entry for each worker id. Whatever acts on a worker holds its
//! managed_worker_ptr, and an entry stays as long as anything does: a worker whose entry in the list of
//! workers returns is found again, with the session and the polling loop that it has.
class worker_registry
{
public:
    worker_registry() = default;
    worker_registry(const worker_registry &) = delete;
    worker_registry &operator=(const worker_registry &) = delete;

    //! Adds a worker with \a session. The registry must not contain a worker with that id.
    managed_worker_ptr add(const boost::asio::any_io_executor &executor, jobs::worker_session session,
                           time_point now);
    //! Returns null if there is no such worker.
    managed_worker_ptr findId(std::string_view id) const;
    managed_worker_ptr findIncarnation(std::string_view incarnation) const;
    //! Continues \a worker with the incarnation that was born at \a bornMs.
    void restart(const managed_worker_ptr &worker, std::int64_t bornMs);
    //! Removes the workers for which \a isUnused returns true and that nothing else holds.
    void removeUnused(const std::function<bool(const managed_worker &)> &isUnused);

    //! All workers, by incarnation.
    const std::map<std::string, managed_worker_ptr, std::less<>> &workers() const { return m_workers; }
    std::size_t size() const { return m_workers.size(); }

private:
    std::map<std::string, managed_worker_ptr, std::less<>> m_workers; // by incarnation
    std::map<std::string, managed_worker_ptr, std::less<>> m_byId;
};

} // namespace almond::fleet
