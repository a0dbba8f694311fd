#include "fleet/worker_registry.h"

#include <stdexcept>

namespace almond::fleet {

namespace {

managed_worker_ptr find(const std::map<std::string, managed_worker_ptr, std::less<>> &workers,
                        std::string_view key)
{
    const auto found = workers.find(key);
    return found == workers.end() ? nullptr : found->second;
}

} // namespace

managed_worker_ptr worker_registry::add(const boost::asio::any_io_executor &executor,
                                        jobs::worker_session session, time_point now)
{
    auto worker = std::make_shared<managed_worker>(executor);
    worker->session = std::move(session);
    worker->sessionOpenedAt = now;
    if (!m_byId.try_emplace(worker->session.info.id, worker).second)
        throw std::logic_error("worker " + worker->session.info.id + " already has a session");
    m_workers[worker->session.incarnation] = worker;
    return worker;
}

managed_worker_ptr worker_registry::findId(std::string_view id) const
{
    return find(m_byId, id);
}

managed_worker_ptr worker_registry::findIncarnation(std::string_view incarnation) const
{
    return find(m_workers, incarnation);
}

void worker_registry::restart(const managed_worker_ptr &worker, std::int64_t bornMs)
{
    m_workers.erase(worker->session.incarnation);
    jobs::restartSession(worker->session, bornMs);
    m_workers[worker->session.incarnation] = worker;
}

void worker_registry::removeUnused(const std::function<bool(const managed_worker &)> &isUnused)
{
    // The two maps hold one pointer each.
    constexpr long ownReferences = 2;
    std::erase_if(m_workers, [&](const auto &entry) {
        const managed_worker_ptr &worker = entry.second;
        if (worker.use_count() > ownReferences || !isUnused(*worker))
            return false;
        m_byId.erase(worker->session.info.id);
        return true;
    });
}

} // namespace almond::fleet
