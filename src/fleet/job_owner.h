#pragma once

#include "fleet/owner_election.h"
#include "fleet/owner_metrics.h"
#include "fleet/worker_registry.h"
#include "jobs/admission.h"
#include "jobs/ended_jobs.h"
#include "jobs/interference.h"
#include "jobs/job_timing.h"
#include "jobs/miss_monitor.h"
#include "jobs/overdue_jobs.h"
#include "jobs/planner.h"
#include "jobs/wait_monitor.h"
#include "jobs/worker_api.h"
#include "jobs/worker_evaluation.h"
#include "jobs/worker_session.h"
#include "kernel/completion.h"
#include "store/fenced_journal.h"
#include "store/prefix_watcher.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace almond::fleet {

using nlohmann::json;

//! Keys of the jobs in the store.
namespace job_key {
inline constexpr const char *prefix = "almond/jobs/";
//! A job by its id. If the job was cancelled before it was accepted, a tombstone is here for a while, so that
//! no submission of it can be accepted any more.
inline constexpr const char *accepted = "almond/jobs/accepted/";
inline constexpr const char *cancelled = "almond/jobs/cancelled/";
inline constexpr const char *journal = "almond/journal";
//! Learned interference between pairs of images, for the next owner.
inline constexpr const char *pairs = "almond/interference/pairs";
} // namespace job_key

struct owner_rules
{
    //! Shortest time between two commits, in which records are batched; limits the writes to the store.
    milliseconds commitInterval{20};
    //! The interval between commits is at least this multiple of the time that planning took. The remaining
    //! time is for polls and orders, without which there is nothing to plan.
    int commitIntervalFactor = 8;
    //! Upper limit of the interval between commits, however long planning takes; must stay well under the
    //! shortest latency objective of a job.
    milliseconds maximumCommitInterval{150};
    //! Time between two checks of leases and due times.
    milliseconds tickInterval{100};
    //! How long a worker may delay the response to a poll; must stay well under the lease of its tasks.
    milliseconds pollWait{1500};
    //! The same where best-effort tasks can disturb serving tasks, whose measurements must stay fresh.
    milliseconds contendedPollWait{500};
    //! The same while a serving task misses its tail-latency target: mitigation must take effect before the
    //! time allowed for such a violation has passed.
    milliseconds slowServicePollWait{250};
    //! Delay before a failed order is sent again.
    milliseconds retryDelay{150};
    //! Attempts to send a start order. After them the run is recorded as not started, or is stopped if an
    //! order may have arrived.
    int startAttempts = 4;
    //! A worker that refused an order gets no new tasks for this long.
    milliseconds refusalBackoff{1000};
    //! Nothing is started if the configuration was confirmed longer ago than this: a failure domain may have
    //! been withdrawn since.
    milliseconds configValidity{3500};
    //! Timeout of one watch of the configuration. A response confirms the state at the start of its watch, so
    //! the age of the configuration reaches almost twice this value. Twice this value plus the time for a
    //! response must stay under configValidity.
    milliseconds configWatchTime{1500};
    //! Nothing is started if the list of workers was confirmed longer ago than this: a worker may have
    //! announced that it leaves. Must stay under 2 s, after which such a worker may get no more tasks.
    milliseconds workersValidity{1900};
    //! The same for the list of workers and workersValidity.
    milliseconds workersWatchTime{800};
    //! Nothing is started if the accepted jobs and cancellations were confirmed longer ago than this: a job
    //! may have been cancelled. Must stay under 3 s, after which such a job may start nothing more, by the
    //! time that an order takes to its worker.
    milliseconds jobsValidity{2700};
    //! The same for the jobs and jobsValidity.
    milliseconds jobsWatchTime{1000};
    //! Time between two polls of a worker without responses that nothing is assigned to. Once it counts as
    //! unresponsive, it gets no new tasks before it has responded.
    milliseconds silentPollInterval{500};
    //! A reading of a worker's clock that is older than this is renewed by a poll.
    milliseconds clockValidity{15'000};
    //! Maximum number of tasks that one commit starts.
    std::size_t startsPerCommit = 400;
    //! Time between two updates of the expected waits of best-effort tasks.
    milliseconds waitUpdateInterval{250};
    //! Time between two updates of the interference model.
    milliseconds modelRefreshInterval{500};
    //! Time between two writes of the learned pairs to the store; a new owner misses at most what was learned
    //! in this time.
    milliseconds pairsSaveInterval{2000};
    //! The load of a serving job is forgotten if no measurement has arrived for this long.
    milliseconds loadValidity{10'000};
    //! How long a serving task may miss its tail-latency target because of best-effort tasks.
    milliseconds harmBound{4000};
    //! How long an ended job is kept: callers ask for its status, and requests about it may still be under
    //! way.
    milliseconds endedRetention{150'000};
    //! Ended jobs whose keys one write removes; with the fence they must fit into one transaction.
    std::size_t removalsPerWrite = 15;
    //! Time between two such writes.
    milliseconds removalPause{200};
    //! Time until a failed removal or compaction is tried again.
    milliseconds removalRetryDelay{5000};
    //! How long a page of a listing may be under way that still contains a removed key.
    milliseconds listingTime{60'000};
    //! The journal is compacted once this many of its records, and at least half of all, belong to removed
    //! jobs.
    std::size_t smallestCompaction = 2000;
    jobs::poll_rules polls;
    jobs::session_rules sessions;
    jobs::evaluation_rules evaluation;
    jobs::admission_rules admission;
};

//! How long ended jobs are kept so that callers can ask for their status for \a statusRetention, and late
//! requests about them find that they are over.
milliseconds endedRetention(milliseconds statusRetention);

//! Time from one commit to the next if planning took \a planning.
milliseconds commitIntervalAfter(const owner_rules &rules, milliseconds planning);

//! Numbers of jobs by queue.
using job_counts = std::map<std::string, std::size_t, std::less<>>;

//! What a job_owner needs from its process.
struct job_owner_dependencies
{
    std::string processId;
    store::store_api store;
    jobs::worker_api workers;
    //! Monotonic time, for leases and timeouts.
    kernel::clock_source clock;
    //! Time of day, for due times.
    kernel::clock_source unixClock;
    std::function<jobs::fleet_config_ptr()> config;
    //! When the configuration was last confirmed as current.
    std::function<time_point()> configConfirmedAt;
    //! When the list of workers was last confirmed as complete.
    std::function<time_point()> workersConfirmedAt;
    //! Whether ownership was confirmed recently enough to renew task leases.
    std::function<bool()> mayRenew;
    //! Null if no metrics are collected; must outlive the owner otherwise.
    owner_metrics *metrics = nullptr;
    //! Null if the time is not measured; must outlive the owner otherwise.
    owner_time *times = nullptr;
    owner_rules rules;
};

struct owner_counters
{
    std::uint64_t commits = 0;
    std::uint64_t records = 0;
    std::uint64_t starts = 0;
    std::uint64_t startsRefused = 0;
    //! Starts that waited until what they depend on was confirmed again.
    std::uint64_t startsHeld = 0;
    std::uint64_t polls = 0;
    std::uint64_t pollsFailed = 0;
    //! Polls that were sent beside one that was overdue.
    std::uint64_t extraPolls = 0;
    std::uint64_t stops = 0;
    std::uint64_t throttleOrders = 0;
    std::uint64_t jobsRemoved = 0;
    std::uint64_t journalRecordsRemoved = 0;
};

//! Manages all jobs for one term: keeps the job table, commits its records to the journal, plans, and sends
//! orders to the workers. The decisions are made in almond::jobs; this class does the input and output.
class job_owner : public std::enable_shared_from_this<job_owner>
{
public:
    job_owner(boost::asio::io_context &context, job_owner_dependencies dependencies, won_term term);

    //! Reads the journal and the accepted jobs. False if the store did not respond or this owner has
    //! resigned.
    kernel::task<bool> load();
    //! Starts the loops for commits, periodic checks and workers. Call once, after load().
    void start();
    //! Ends the loops after the commit in progress, and writes to the journal what a successor can't find out
    //! itself.
    kernel::task<void> stop();
    //! Whether this owner has lost ownership or has been stopped.
    bool hasResigned() const { return m_resigned; }
    //! Stops all activity of this owner; \a reason is logged.
    void resign(const std::string &reason);
    //! Call once all former owners have confirmed that they renew no more task leases.
    void noteFormerOwnersStopped();

    //! Updates the worker \a id from the list of workers; without \a info it has left the list.
    void updateWorker(const std::string &id, const std::optional<jobs::worker_info> &info);
    //! Triggers a commit and planning.
    void wake() { m_commitSignal.wake(); }

    //! Durable status of the job \a id; empty for an unknown job.
    std::optional<jobs::job_status> statusOf(const std::string &id) const;
    //! Number of jobs of \a queue of which no task has started.
    std::size_t pendingJobCount(const std::string &queue) const;
    //! The same for all queues that have such jobs.
    job_counts pendingJobCounts() const;
    //! Whether the accepted jobs and cancellations are recent enough to act on them.
    bool knowsRecentJobs() const;
    //! How long a best-effort task of \a image in a queue of \a service and \a priority that becomes ready
    //! now is expected to wait.
    jobs::wait_estimate expectedWait(std::string_view service, int priority, const std::string &image) const;
    //! The same for a step whose tasks have guaranteed resources.
    jobs::wait_estimate expectedWait(std::string_view service, int priority,
                                     const jobs::guaranteed_step &step) const;
    std::size_t workerCount() const { return m_workers.size(); }
    json dump() const;
    //! Free capacity of the usable workers, and the tasks that wait for it.
    json describeCapacity() const;
    //! How many long-running tasks are down, the longest downtimes, and the longest target misses of serving
    //! tasks beside best-effort tasks.
    json describeWaiting() const;
    //! Why the tasks of the job \a id that are not done have not ended yet.
    json explain(const std::string &id) const;
    const owner_counters &counters() const { return m_counters; }

private:
    //! What has happened with a worker in this term, over all of its sessions; for logs and metrics only.
    struct worker_trace
    {
        int sessionsOpened = 0;
        int pollsInFlight = 0;
        //! When its entry left the list of workers; zero if it has not, or is back.
        time_point leftListAt{};
    };
    //! Progress of starting one run.
    struct start_attempt
    {
        int number = 0;
        time_point sentAt{};
        jobs::order_target sentTo;
        //! A start order without a response may have been executed.
        bool mayHaveArrived = false;
        //! Since when it waits for permission to start; zero if it doesn't.
        time_point heldSince{};
    };
    struct sent_poll
    {
        time_point sentAt{};
        jobs::order_target sentTo;
        jobs::poll_order order;
        bool isExtra = false;
    };
    //! Records of the journal.
    struct journal_size
    {
        std::size_t entriesRead = 0;
        std::size_t records = 0;
        //! Of them, those that concern no present job.
        std::size_t obsolete = 0;
    };
    struct removed_job
    {
        time_point at{};
        //! Of the store when the keys were removed. A listing may still show an earlier state.
        std::int64_t revision = 0;
    };
    using self_ptr = std::shared_ptr<job_owner>;
    struct batch
    {
        std::vector<jobs::journal_record> records;
        //! By incarnation: number of the last run end that is durable once the batch is committed.
        std::map<std::string, std::uint64_t> endNumbers;
    };

    kernel::task<void> commitLoop(self_ptr self);
    kernel::task<void> commitUntilResigned();
    kernel::task<void> tickLoop(self_ptr self);
    kernel::task<void> checkUntilResigned();
    void runChecks(time_point now);
    void recordLoop(time_point now);
    kernel::task<void> workerLoop(self_ptr self, managed_worker_ptr worker);
    kernel::task<void> startTask(self_ptr self, managed_worker_ptr worker, jobs::journal_record record);
    kernel::task<void> stopRun(self_ptr self, managed_worker_ptr worker, jobs::task_name task,
                               std::uint32_t run);
    kernel::task<void> loadPairs();
    kernel::task<void> savePairs(self_ptr self, std::string pairs);
    kernel::task<bool> appendBatch(const batch &next);
    kernel::task<void> handOver();
    void applyHandedOverLeases();
    void applyQueuedRecords(batch &next, time_point now);
    void collectInheritedFailures();
    kernel::task<void> awaitDurableEnds(managed_worker_ptr worker);
    kernel::task<void> pollOnce(managed_worker_ptr worker);
    kernel::task<void> pollBeside(self_ptr self, managed_worker_ptr worker);
    jobs::poll_order regularPoll(managed_worker &worker, time_point now) const;
    void applyPollResponse(const managed_worker_ptr &worker, const sent_poll &poll,
                           jobs::poll_response response);
    void applyFailedPoll(managed_worker &worker, const sent_poll &poll, const jobs::order_response &result,
                         time_point now);
    void applyList(const managed_worker_ptr &worker, const sent_poll &poll, jobs::poll_response response,
                   time_point now);
    void pollOverdueWorkers(time_point now);
    void countOrderForEarlier() const;

    kernel::task<bool> readJournal();
    void applyEntry(const store::journal_entry &entry);
    void applyJobKey(const store::stored_item &item);
    void applyAcceptedJob(const store::stored_item &item);
    void applyCancellation(const jobs::job_id &id);
    void removeEndedIfDue(time_point now);
    kernel::task<void> removeEnded(self_ptr self);
    kernel::task<bool> removeOldestJobs();
    store::transaction removalOf(std::span<const jobs::job_id> ended,
                                 std::span<const jobs::job_id> cancelled) const;
    kernel::task<bool> compactJournal();
    bool isCompactionDue() const;
    bool isRemoved(const jobs::job_id &id, std::int64_t revision) const;
    batch prepareBatch(time_point now);
    //! The current configuration plus the removed queues that still have accepted jobs.
    jobs::fleet_config_ptr effectiveConfig();
    bool mayStart(time_point now) const { return now < startPermissionEnd(); }
    //! Until when the configuration, the list of workers and the jobs are recent enough to start tasks.
    time_point startPermissionEnd() const;
    //! Indexed by start_input.
    using confirmed_times = std::array<time_point, startInputCount>;
    confirmed_times confirmedTimes() const;
    time_point permissionEnd(start_input input) const;
    confirmed_ages confirmedAges(time_point now) const;
    std::string outdatedInput(time_point now) const;
    kernel::task<void> holdStart(start_attempt &attempt, const jobs::journal_record &record);
    std::string releaseStart(start_attempt &attempt, const managed_worker &worker, time_point now) const;
    jobs::uncertain_runs uncertainRuns(time_point now) const;
    std::vector<jobs::journal_record> planRound(const jobs::fleet_config &config, time_point now) const;
    std::vector<jobs::candidate> candidateWorkers(const jobs::waiting_demand &waiting, time_point now) const;
    void addServingViews(std::span<jobs::candidate> candidates,
                         std::span<const jobs::throttle_state *const> throttles, jobs::waiting_demand waiting,
                         time_point now) const;
    bool tooManyQuarantined(time_point now) const;
    std::int64_t throttledMillicores(const managed_worker &worker, const jobs::worker_load &load) const;
    void finishBatch(const batch &next);
    void watchJobKeys();
    void savePairsIfDue(time_point now);
    void updateTimings(const std::vector<jobs::journal_record> &records, time_point now);
    void applyOrderResponse(managed_worker &worker, const jobs::order_target &sentTo,
                            const jobs::order_response &response);
    bool handleStartResponse(managed_worker &worker, const jobs::journal_record &record,
                             const jobs::order_response &response, const start_attempt &attempt);
    std::string startObstacle(const managed_worker &worker) const;
    bool disturbsServingTask(const managed_worker &worker, const jobs::task_name &task, time_point now) const;
    void recordNotStarted(managed_worker &worker, const jobs::journal_record &record,
                          const std::string &reason);
    void queueRecords(std::vector<jobs::journal_record> records);
    bool recentlyRefused(const managed_worker &worker, time_point now) const;
    jobs::fleet_view makeFleetView(const jobs::fleet_config &config,
                                   std::span<const jobs::worker_view> workers, time_point now) const;
    void recordEnd(const jobs::journal_record &record, time_point now);
    void recordExpiredRuns(const managed_worker &worker, std::span<const jobs::journal_record> expired,
                           time_point now);
    void reportUnlistedRuns(const managed_worker &worker, std::span<const jobs::journal_record> records,
                            time_point sentAt, time_point now) const;
    void traceListing(const std::string &id, bool listed, bool sessionKept);
    void pruneTraces(time_point now);
    void scanWaiting(time_point now);
    void updateExpectedWaits(time_point now);
    void updateBatchDemands(time_point now);
    void reportIdleTasks(time_point now);
    void recordAges(time_point now);
    json describeAges() const;
    void updateWorkerHealth(managed_worker &worker, const jobs::poll_response &response,
                            std::span<const jobs::listed_run> runs, time_point now);
    void stopUnwantedRuns(const managed_worker_ptr &worker, std::span<const jobs::listed_run> runs);
    void throttleBestEffort(const managed_worker_ptr &worker, std::span<jobs::listed_run> runs,
                            time_point now);
    void sendThrottleOrders(const managed_worker_ptr &worker, std::span<const jobs::throttle_order> orders,
                            time_point now);
    void suspendBetweenPolls(time_point now);
    void reportTargetMisses(const managed_worker &worker, const jobs::limit_faults &faults, time_point now);
    kernel::task<void> sendThrottleOrder(self_ptr self, managed_worker_ptr worker,
                                         jobs::throttle_order order);
    bool needsPoll(const managed_worker &worker, time_point now) const;
    milliseconds pollWaitFor(const managed_worker &worker) const;
    jobs::order_target orderTarget(const managed_worker &worker) const;
    void startWorkerLoop(const managed_worker_ptr &worker);
    managed_worker_ptr addWorker(jobs::worker_session session);
    //! Whether the owner has nothing left to do at \a worker.
    bool isUnused(const managed_worker &worker) const;
    void applyListing(managed_worker &worker);
    bool keepsIncarnation(const managed_worker &worker) const;
    void followLateListings();
    void replaceIncarnation(const managed_worker_ptr &worker, std::int64_t bornMs);
    void stopUnansweredStarts(const managed_worker_ptr &worker);
    kernel::task<void> stopUnansweredStart(self_ptr self, managed_worker_ptr worker, jobs::task_name task,
                                           std::uint32_t run);
    void moveRuns(const std::string &from, const std::string &to);
    void adoptUnlistedRuns();

    boost::asio::io_context &m_context;
    job_owner_dependencies m_dependencies;
    won_term m_term;
    time_point m_termStart{};
    //! When all leases that earlier owners have granted have certainly expired.
    time_point m_inheritedLeaseEnd{};
    jobs::job_table m_jobTable;
    jobs::known_queues m_queues;
    //! The configuration from which m_effectiveConfig was computed; null if it must be computed again.
    jobs::fleet_config_ptr m_configSource;
    jobs::fleet_config_ptr m_effectiveConfig;
    jobs::interference_view m_interference;
    time_point m_modelRefreshedAt{};
    time_point m_pairsSavedAt{};
    std::string m_savedPairs;
    jobs::step_durations m_stepDurations;
    jobs::job_timings m_timings;
    jobs::idle_times m_idleTimes;
    jobs::average_demands m_batchDemands;
    //! When m_idleTimes and m_batchDemands were updated.
    time_point m_tableReviewedAt{};
    jobs::service_throughputs m_throughputs;
    jobs::expected_waits m_expectedWaits;
    time_point m_expectedWaitsUpdatedAt{};
    jobs::wait_monitor m_waitMonitor;
    jobs::miss_monitor m_missMonitor;
    //! Of this term.
    confirmed_ages m_longestAges{};
    //! Index of the last journal entry that an owner wrote.
    std::uint64_t m_journalIndex = 0;
    std::uint64_t m_submissionNumber = 0;
    journal_size m_journalSize;
    std::set<jobs::job_id> m_cancelled;
    jobs::ended_jobs m_ended;
    //! Jobs whose keys were removed lately.
    std::map<jobs::job_id, removed_job> m_removed;
    //! Jobs whose keys can't be decoded. Another version may know them.
    std::set<jobs::job_id> m_undecoded;
    bool m_isRemoving = false;
    time_point m_removalRetryAt{};
    std::vector<jobs::journal_record> m_queuedRecords;
    //! Tasks whose number of failures an earlier owner may not have compared with the permitted attempts.
    std::vector<jobs::task_name> m_failedTasks;
    //! Jobs with records that are not committed yet.
    std::set<jobs::job_id> m_uncommittedJobs;
    worker_registry m_workers;
    std::map<std::string, worker_trace> m_traces; // by worker id
    std::set<std::pair<std::string, std::uint32_t>> m_stopping; // task and run
    std::shared_ptr<store::prefix_watcher> m_jobKeys;
    kernel::wake_signal m_commitSignal;
    bool m_commitLoopRunning = false;
    bool m_loaded = false;
    bool m_resigned = false;
    owner_loop m_loop;
    owner_counters m_counters;
};

} // namespace almond::fleet
