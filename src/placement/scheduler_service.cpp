#include "placement/scheduler_service.h"

#include "observe/log.h"
#include "placement/cell_directory.h"

namespace almond::placement {

using kernel::task;
using observe::log_level;
using store::store_status;

namespace {

constexpr kernel::milliseconds admitTimeout{3000};
constexpr kernel::milliseconds stopPollInterval{5};

} // namespace

scheduler_service::scheduler_service(boost::asio::io_context &context, scheduler_options options,
                                     owner_dependencies dependencies, wire::peer_link &peers)
    : m_context(context)
    , m_options(std::move(options))
    , m_dependencies(std::move(dependencies))
    , m_peers(peers)
{
    m_dependencies.ownershipConfirmedAt = [this] { return m_confirmedAt; };
    m_dependencies.admitInCell
        = [this](std::string cell, json records) { return admitInCell(std::move(cell), std::move(records)); };
}

std::shared_ptr<cell_owner> scheduler_service::find(const std::string &cell) const
{
    const auto found = m_cells.find(cell);
    return found == m_cells.end() ? nullptr : found->second;
}

task<void> scheduler_service::run()
{
    m_running = true;
    while (!m_stopping) {
        const bool renewed = co_await renew();
        co_await refreshView(renewed);
        dropReplacedOwners();
        co_await kernel::sleepFor(m_options.renewInterval);
    }
    m_running = false;
}

task<bool> scheduler_service::renew()
{
    if (!m_lease.empty()) {
        const store::store_reply kept = co_await m_dependencies.store.keepAlive(m_lease);
        if (kept.status == store_status::unavailable)
            co_return false;
        if (kept.status != store_status::ok) {
            m_lease.clear();
            m_memberRegistered = false;
        }
    }
    if (m_lease.empty()) {
        const store::store_reply granted = co_await m_dependencies.store.grantLease(m_options.storeLease);
        if (granted.status != store_status::ok)
            co_return false;
        m_lease = granted.value;
    }
    if (!m_memberRegistered)
        m_memberRegistered = co_await registerMember();
    co_return m_memberRegistered;
}

task<bool> scheduler_service::registerMember()
{
    const std::string key = memberKey(m_options.self.id);
    const std::string value = encodeMember(m_options.self);
    const store::store_reply written = co_await m_dependencies.store.create(key, value, m_lease);
    if (written.status != store_status::conflict)
        co_return written.status == store_status::ok;
    // The response to an earlier call was lost, or the key belongs to an older lease that has not expired
    // yet.
    const store::store_reply existing = co_await m_dependencies.store.get(key);
    co_return existing.status == store_status::ok &&existing.value == value;
}

task<void> scheduler_service::refreshView(bool renewed)
{
    const time_point readStartedAt = m_dependencies.clock();
    const store::range_reply reply = co_await m_dependencies.store.range(store::prefixRange(schedulerPrefix));
    if (reply.status != store_status::ok)
        co_return;
    m_view = decodeOwnership(reply.items);
    m_viewReadAt = readStartedAt;
    // The owners can be read without a lease, but cells are acquired and released only with one.
    if (!renewed)
        co_return;
    const std::vector<std::string> names = cellNames(m_dependencies.config()->parsed);
    std::set<std::string> owned;
    for (const auto &[name, owner] : m_cells)
        owned.insert(name);
    const ownership_plan plan = planOwnership(m_view, names, m_options.self.id, owned, m_ownerless,
                                              m_options.takeoverGrace, m_dependencies.clock());
    // This process may renew task leases until detachedLimit after the ownership was confirmed, and a later
    // owner waits for that long after its takeover. So a read confirms the ownership only if the store names
    // this process for all its cells: no later owner has taken over before it.
    if (plan.reassert.empty() && plan.lost.empty())
        m_confirmedAt = readStartedAt;
    for (const std::string &cell : plan.reassert)
        co_await m_dependencies.store.create(ownerKey(cell), encodeMember(m_options.self), m_lease);
    for (const std::string &cell : plan.lost)
        co_await release(cell);
    for (const std::string &cell : plan.release)
        co_await release(cell);
    for (const std::string &cell : plan.acquire)
        co_await acquire(cell);
}

task<void> scheduler_service::acquire(std::string cell)
{
    const auto listed = m_view.owners.find(cell);
    const bool claimed = listed != m_view.owners.end() && listed->second.id == m_options.self.id;
    if (!claimed) {
        const store::store_reply written
            = co_await m_dependencies.store.create(ownerKey(cell), encodeMember(m_options.self), m_lease);
        if (written.status != store_status::ok)
            co_return;
    }
    auto owner = std::make_shared<cell_owner>(m_context, m_dependencies, cell);
    const bool taken = co_await owner->takeOver();
    if (!taken) {
        co_await m_dependencies.store.remove(ownerKey(cell));
        co_return;
    }
    observe::log(log_level::info, "cell acquired", {{"cell", cell}, {"epoch", owner->state().epoch}});
    m_cells[cell] = owner;
    m_view.owners[cell] = m_options.self;
    owner->start();
}

task<void> scheduler_service::release(std::string cell)
{
    const std::shared_ptr<cell_owner> owner = find(cell);
    if (!owner)
        co_return;
    m_cells.erase(cell);
    co_await owner->stop();
    const auto listed = m_view.owners.find(cell);
    if (listed != m_view.owners.end() && listed->second.id == m_options.self.id)
        co_await m_dependencies.store.remove(ownerKey(cell));
    observe::log(log_level::info, "cell released", {{"cell", cell}});
}

bool scheduler_service::knowsOwners(time_point now) const
{
    return !m_view.owners.empty() && now - m_viewReadAt <= m_options.storeLease;
}

void scheduler_service::dropReplacedOwners()
{
    std::erase_if(m_cells, [](const auto &item) { return item.second->isReplaced(); });
}

task<bool> scheduler_service::admitInCell(std::string cell, json records)
{
    if (const auto own = find(cell))
        co_return co_await own->commitRecords(decodeRecords(records), admitTimeout);
    const auto owner = m_view.owners.find(cell);
    if (owner == m_view.owners.end())
        co_return false;
    json arguments;
    arguments["cell"] = cell;
    arguments["records"] = std::move(records);
    const auto response
        = co_await m_peers.call(owner->second.peerAddress, "cell.adopt", std::move(arguments), admitTimeout);
    co_return response && response->value("committed", false);
}

task<void> scheduler_service::stop()
{
    m_stopping = true;
    while (m_running)
        co_await kernel::sleepFor(stopPollInterval);
    for (const auto &[name, owner] : std::map(m_cells))
        co_await release(name);
    if (!m_lease.empty())
        co_await m_dependencies.store.revokeLease(m_lease);
}

json scheduler_service::dump() const
{
    json cells = json::object();
    for (const auto &[name, owner] : m_cells)
        cells[name] = owner->dump();
    json owners = json::object();
    for (const auto &[name, owner] : m_view.owners)
        owners[name] = owner.id;
    return {{"id", m_options.self.id},
            {"lease", m_lease},
            {"storeConfirmedAtMs", kernel::toMillis(m_confirmedAt)},
            {"members", m_view.members.size()},
            {"owners", owners},
            {"cells", cells}};
}

} // namespace almond::placement
