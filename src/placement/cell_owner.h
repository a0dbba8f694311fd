#pragma once

#include "config/config_journal.h"
#include "http/client.h"
#include "kernel/completion.h"
#include "placement/plan.h"
#include "placement/preemption.h"
#include "placement/worker_health.h"
#include "placement/worker_link.h"
#include "store/host_list.h"
#include "store/journal.h"

#include <functional>
#include <memory>
#include <string>

namespace almond::placement {

//! Intervals of a cell's owner.
struct owner_settings
{
    //! Time that records are gathered before they are committed as one journal entry.
    kernel::milliseconds commitInterval{50};
    //! Time between two requests to a worker that nothing changed for.
    kernel::milliseconds syncInterval{1000};
    kernel::milliseconds syncTimeout{1000};
    //! A worker that has not answered for this long gets no new work.
    kernel::milliseconds reachableLimit{3000};
    //! Entries between two snapshots.
    std::uint64_t snapshotAfter = 256;
    //! Time for which a job that ended is remembered.
    kernel::milliseconds retention{24 * 3600 * 1000};
    lease_rules leases;
    quarantine_rules quarantine;
};

//! What an owner needs from the rest of its process.
struct owner_dependencies
{
    std::string processId;
    store::store_api store;
    kernel::clock_source clock;
    std::function<config::config_view_ptr()> config;
    const store::host_list *hosts = nullptr;
    http::connection_pool *workers = nullptr;
    //! When the store last confirmed this process's lease.
    std::function<time_point()> ownershipConfirmedAt;
    //! Hands jobs to the owner of another cell; true once they are in its journal.
    std::function<kernel::task<bool>(std::string cell, json records)> admitInCell;
    owner_settings settings;
};

//! Counters of one cell, for metrics.
struct cell_counters
{
    std::uint64_t entries = 0;
    std::uint64_t records = 0;
    std::uint64_t starts = 0;
    std::uint64_t finished = 0;
    std::uint64_t evicted = 0;
    std::uint64_t lost = 0;
    std::uint64_t syncs = 0;
    std::uint64_t syncFailures = 0;
};

//! Owns one cell: commits its records to the journal, plans, and drives its workers.
//! All decisions are in plan.h and worker_link.h; this class does their input and output.
class cell_owner : public std::enable_shared_from_this<cell_owner>
{
public:
    cell_owner(boost::asio::io_context &context, owner_dependencies dependencies, std::string name);

    //! Loads the journal and appends this process as the owner. False when another one came first.
    kernel::task<bool> takeOver();
    //! Starts the loops. Call once, after takeOver().
    void start();
    //! Ends the loops after the commit in flight.
    kernel::task<void> stop();
    //! Tells whether another process has written this cell's journal since.
    bool isReplaced() const { return m_replaced; }

    //! Commits \a records that came from outside; true once they are in the journal.
    kernel::task<bool> commitRecords(std::vector<cell_record> records, kernel::milliseconds limit);
    //! Plans and asks the workers again as soon as possible.
    void wakeAll();

    const cell_state &state() const { return m_state; }
    const cell_counters &counters() const { return m_counters; }
    const std::string &name() const { return m_name; }
    json dump() const;

private:
    struct managed_worker
    {
        explicit managed_worker(const boost::asio::any_io_executor &executor)
            : signal(executor)
        {
        }
        worker_link link;
        worker_health health;
        kernel::wake_signal signal;
        bool listed = true;
    };
    struct commit_request
    {
        std::vector<cell_record> records;
        std::shared_ptr<kernel::completion<bool>> done;
    };
    struct batch
    {
        std::vector<cell_record> records;
        std::vector<commit_request> waiting;
    };

    kernel::task<void> commitLoop(std::shared_ptr<cell_owner> self);
    kernel::task<void> syncLoop(std::shared_ptr<cell_owner> self, std::string id);
    kernel::task<void> moveLoop(std::shared_ptr<cell_owner> self);
    kernel::task<void> sendMovedJobs(std::string target, std::vector<std::string> jobs);
    kernel::task<void> takeSnapshot(std::shared_ptr<cell_owner> self);
    kernel::task<bool> appendBatch(const batch &next);

    batch prepareBatch(time_point now);
    plan_inputs planInputs(std::span<const cell_record> records, time_point now) const;
    void planMoves(const plan_inputs &inputs, std::vector<cell_record> &records, time_point now) const;
    void applyBatch(const batch &next);
    void preempt(const plan_inputs &inputs);
    void recordAttemptEnd(const ended_record &ended);
    void count(const cell_record &record);
    std::set<std::string> workersAffectedBy(std::span<const cell_record> records) const;
    void wakeWorkers(const std::set<std::string> &ids);
    void manageWorker(const std::string &id);
    void refreshWorkers();
    void queueRecords(std::vector<cell_record> records);
    bool belongsToCell(const store::listed_host &host) const;
    link_inputs linkInputs() const;
    std::set<std::string> usableWorkers(time_point now) const;

    boost::asio::io_context &m_context;
    owner_dependencies m_dependencies;
    std::string m_name;
    std::string m_journal;
    cell_state m_state;
    std::uint64_t m_snapshotIndex = 0;
    bool m_snapshotRunning = false;
    bool m_stopping = false;
    bool m_replaced = false;
    std::size_t m_running = 0;
    std::uint64_t m_nextSubmission = 1;
    std::vector<cell_record> m_pendingRecords;
    //! Attempts chosen to make room for urgent work whose end is still awaited.
    std::set<attempt_id> m_evicting;
    std::vector<commit_request> m_commitRequests;
    std::map<std::string, std::shared_ptr<managed_worker>> m_workers;
    kernel::wake_signal m_commitSignal;
    cell_counters m_counters;
};

} // namespace almond::placement
