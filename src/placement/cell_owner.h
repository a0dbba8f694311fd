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

//! Settings of a cell owner.
struct owner_settings
{
    //! Time for which records are collected before they are committed as one journal entry.
    kernel::milliseconds commitInterval{50};
    //! Time between two requests to a worker if nothing that concerns it changes.
    kernel::milliseconds syncInterval{1000};
    kernel::milliseconds syncTimeout{1000};
    //! A worker that has not accepted a request for longer than this receives no new work.
    kernel::milliseconds reachableLimit{3000};
    //! Number of journal entries between two snapshots.
    std::uint64_t snapshotAfter = 256;
    //! Time for which an ended job is kept.
    kernel::milliseconds retention{24 * 3600 * 1000};
    lease_rules leases;
    quarantine_rules quarantine;
};

//! Services of the process that a cell owner uses.
struct owner_dependencies
{
    std::string processId;
    store::store_api store;
    kernel::clock_source clock;
    std::function<config::config_view_ptr()> config;
    const store::host_list *hosts = nullptr;
    http::connection_pool *workers = nullptr;
    //! When the store last confirmed that this process owns its cells.
    std::function<time_point()> ownershipConfirmedAt;
    //! Sends admitted_records to the owner of \a cell, which may be another process. True once they are in
    //! its journal; after false they may be there or not.
    std::function<kernel::task<bool>(std::string cell, json records)> admitInCell;
    owner_settings settings;
};

//! Counters of one cell, exported as metrics.
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

//! Owner of one cell: commits records to the cell's journal, assigns its jobs and sends requests to its
//! workers. It does the input and output; the decisions are in plan.h, preemption.h, worker_health.h and
//! worker_link.h.
class cell_owner : public std::enable_shared_from_this<cell_owner>
{
public:
    cell_owner(boost::asio::io_context &context, owner_dependencies dependencies, std::string name);

    //! Loads the journal and appends an owner_record for this process, which fences the previous owner. False
    //! if the journal can't be read or another process appended first.
    kernel::task<bool> takeOver();
    //! Starts to plan and to send requests to the workers. Call once, after takeOver().
    void start();
    //! Returns when the commit in progress, the requests to workers and the moves of jobs have ended.
    kernel::task<void> stop();
    //! Tells whether another process has appended to the cell's journal since takeOver().
    bool isReplaced() const { return m_replaced; }

    //! Commits \a records to the journal. True once they are there; after false, which comes after \a limit
    //! at the latest, they may be there or not.
    kernel::task<bool> commitRecords(std::vector<cell_record> records, kernel::milliseconds limit);
    //! Plans and sends requests to all workers as soon as possible, for example after a configuration change.
    void wakeAll();

    const cell_state &state() const { return m_state; }
    const cell_counters &counters() const { return m_counters; }
    const std::string &name() const { return m_name; }
    //! Returns the state of the cell and its workers for diagnostics.
    json dump() const;

private:
    //! A worker to which this owner sends requests.
    struct managed_worker
    {
        explicit managed_worker(const boost::asio::any_io_executor &executor)
            : signal(executor)
        {
        }
        worker_link link;
        worker_health health;
        //! Triggers the next request.
        kernel::wake_signal signal;
        //! Whether the worker is in the host list and not leaving.
        bool listed = true;
    };
    //! Records of a caller of commitRecords(), which waits for \a done.
    struct commit_request
    {
        std::vector<cell_record> records;
        std::shared_ptr<kernel::completion<bool>> done;
    };
    //! Records of one journal entry, and the callers that wait for its commit.
    struct commit_batch
    {
        std::vector<cell_record> records;
        std::vector<commit_request> requests;
    };

    kernel::task<void> commitLoop(std::shared_ptr<cell_owner> self);
    kernel::task<void> syncLoop(std::shared_ptr<cell_owner> self, std::string id);
    kernel::task<void> moveLoop(std::shared_ptr<cell_owner> self);
    //! Sends \a jobs to the owner of the cell \a target and records the end of the move.
    kernel::task<void> sendMovedJobs(std::string target, std::vector<std::string> jobs);
    kernel::task<void> takeSnapshot(std::shared_ptr<cell_owner> self);
    //! Appends \a next to the journal and applies it. False if another process appended first or this owner
    //! stops.
    kernel::task<bool> appendBatch(const commit_batch &next);

    //! Collects the pending records and plans starts, evictions and moves.
    commit_batch prepareBatch(time_point now);
    plan_inputs planInputs(std::span<const cell_record> records, time_point now) const;
    void planMoves(const plan_inputs &inputs, std::vector<cell_record> &records, time_point now) const;
    void applyBatch(const commit_batch &next);
    //! Chooses attempts to evict in favour of urgent jobs; the next requests to their workers stop them.
    void preempt(const plan_inputs &inputs);
    //! Updates the health of the worker that ran the attempt.
    void recordAttemptEnd(const ended_record &ended);
    void count(const cell_record &record);
    std::set<std::string> workersAffectedBy(std::span<const cell_record> records) const;
    void wakeWorkers(const std::set<std::string> &ids);
    //! Starts the sync loop of the worker unless it is running.
    void manageWorker(const std::string &id);
    //! Starts the sync loops of new workers and updates which workers are listed.
    void refreshWorkers();
    //! Adds \a records to the next journal entry.
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
    //! Number of loops that have not ended.
    std::size_t m_runningLoops = 0;
    std::uint64_t m_nextSubmission = 1;
    //! Records from the workers for the next journal entry.
    std::vector<cell_record> m_pendingRecords;
    //! Attempts chosen for eviction in favour of urgent jobs that have not ended yet.
    std::set<attempt_id> m_evicting;
    std::vector<commit_request> m_commitRequests;
    std::map<std::string, std::shared_ptr<managed_worker>> m_workers;
    kernel::wake_signal m_commitSignal;
    cell_counters m_counters;
};

} // namespace almond::placement
