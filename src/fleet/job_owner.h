#pragma once

#include "fleet/owner_election.h"
#include "fleet/owner_metrics.h"
#include "jobs/interference.h"
#include "jobs/job_timing.h"
#include "jobs/planner.h"
#include "jobs/wait_monitor.h"
#include "jobs/worker_api.h"
#include "jobs/worker_evaluation.h"
#include "jobs/worker_session.h"
#include "kernel/completion.h"
#include "store/fenced_journal.h"
#include "store/prefix_follower.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace almond::fleet {

using nlohmann::json;

//! Keys under which jobs lie in the store.
namespace job_key {
inline constexpr const char *prefix = "almond/jobs/";
inline constexpr const char *accepted = "almond/jobs/accepted/";
inline constexpr const char *cancelled = "almond/jobs/cancelled/";
inline constexpr const char *journal = "almond/journal";
//! What is learned of pairs of images, for the next owner.
inline constexpr const char *pairs = "almond/interference/pairs";
} // namespace job_key

struct owner_rules
{
    //! Time that records are gathered before one commit; bounds the writes to the store.
    milliseconds commitInterval{20};
    //! The same as a multiple of the time that planning took: the rest belongs to looks and orders, without
    //! which there is nothing to plan.
    int commitIntervalPerPlan = 4;
    //! Bound of what planning may add to the interval; must stay well under the shortest objective of a job.
    milliseconds longestCommitInterval{150};
    //! Pause between checks of leases and due times.
    milliseconds tickInterval{100};
    //! Longest wait of one look at a worker; must stay well under the lease of its tasks.
    milliseconds lookWait{1500};
    //! The same where tasks that fill disturb tasks that serve, whose figures must stay fresh.
    milliseconds closeLookWait{500};
    //! The same while a serving task is too slow: what is done for it must come before the harm bound.
    milliseconds excessLookWait{250};
    //! Time for an answer beyond the wait that was asked for.
    milliseconds retryPause{150};
    //! Attempts to start a task before the run is given up.
    int startAttempts = 4;
    //! A worker that turned an order away gets no new work for this long.
    milliseconds refusalPause{1000};
    //! A configuration older than this starts nothing: a failure domain may have been withdrawn.
    milliseconds configValidity{3500};
    //! How long a watch of the configuration waits. An answer confirms what stood when its watch began, so
    //! the age comes near twice this before the next one; it must stay under configValidity with the time of
    //! an answer.
    milliseconds configWatch{1500};
    //! A list of workers older than this starts nothing: a worker may have said that it leaves. Must stay
    //! under the 2 s after which such a worker may get nothing more.
    milliseconds workersValidity{1900};
    //! The same of the list of workers.
    milliseconds workersWatch{800};
    //! A reading of a worker's clock older than this is renewed.
    milliseconds clockValidity{15'000};
    std::size_t startsPerCommit = 400;
    //! Time between two refreshes of what is learned of interference.
    milliseconds modelInterval{500};
    //! Time between two writes of the learned pairs to the store; a new owner lacks at most this much.
    milliseconds pairsInterval{2000};
    //! What is known of a serving job's load is forgotten when no figure has come for this long.
    milliseconds loadValidity{10'000};
    jobs::session_rules sessions;
    jobs::evaluation_rules conduct;
};

//! Time from one commit to the next when planning for it took \a planning.
milliseconds commitIntervalAfter(const owner_rules &rules, milliseconds planning);

//! What an owner needs from the rest of its process.
struct owner_services
{
    std::string processId;
    store::store_api store;
    jobs::worker_api workers;
    //! Monotonic time, for leases and silences.
    kernel::clock_source clock;
    //! Time of day, for due times.
    kernel::clock_source unixClock;
    std::function<jobs::fleet_config_ptr()> config;
    std::function<time_point()> configConfirmedAt;
    //! When the list of workers was last known to be complete.
    std::function<time_point()> workersConfirmedAt;
    //! Whether the office was confirmed recently enough to renew the leases of tasks.
    std::function<bool()> mayRenew;
    //! Null where nobody collects metrics; else it outlives the owner.
    owner_metrics *metrics = nullptr;
    owner_rules rules;
};

struct owner_counters
{
    std::uint64_t commits = 0;
    std::uint64_t records = 0;
    std::uint64_t starts = 0;
    std::uint64_t startsRefused = 0;
    std::uint64_t looks = 0;
    std::uint64_t looksFailed = 0;
    std::uint64_t stops = 0;
    std::uint64_t paceOrders = 0;
};

//! Owns every job for one term: keeps the ledger, commits its records, plans, and drives the workers. All
//! decisions are in almond::jobs; this class does their input and output.
class job_owner : public std::enable_shared_from_this<job_owner>
{
public:
    job_owner(boost::asio::io_context &context, owner_services services, won_term term);

    //! Reads the journal and the accepted jobs. False when the store did not answer.
    kernel::task<bool> load();
    //! Starts the loops; call once, after load().
    void start();
    //! Ends the loops after the commit in flight, and leaves word of what a successor can't find out itself.
    kernel::task<void> stop();
    //! Another owner has been seen, or the office is lost.
    bool isOver() const { return m_over; }
    void resign(const std::string &reason);
    //! Every earlier owner has said that it renews no lease any more.
    void noteFormerHoldersOver();

    void takeWorker(const std::string &id, const std::optional<jobs::worker_info> &info);
    void wake() { m_commitSignal.wake(); }

    //! State of the job \a id as far as it is durable; empty for an unknown job.
    std::optional<jobs::job_status> statusOf(const std::string &id) const;
    //! Number of jobs of \a queue of which no task has started.
    std::size_t pendingIn(const std::string &queue) const;
    std::size_t workerCount() const { return m_workers.size(); }
    json dump() const;
    //! What the usable workers have left and what waits for it.
    json describeRoom() const;
    //! How many lasting tasks don't run, and the longest times of that.
    json describeWaiting() const;
    json explain(const std::string &id) const;
    const owner_counters &counters() const { return m_counters; }

private:
    struct driven_worker
    {
        explicit driven_worker(const boost::asio::any_io_executor &executor)
            : signal(executor)
        {
        }
        jobs::worker_session session;
        kernel::wake_signal signal;
        time_point refusedAt{};
        jobs::throttle_state pace;
        jobs::worker_evaluation conduct;
        bool driving = false;
    };
    //! How far the start of one run has come.
    struct start_attempt
    {
        int number = 0;
        time_point sentAt{};
        //! An order without an answer may have been carried out.
        bool mayHaveArrived = false;
    };
    using driven_ptr = std::shared_ptr<driven_worker>;
    using self_ptr = std::shared_ptr<job_owner>;
    struct batch
    {
        std::vector<jobs::journal_record> records;
        //! Ends that are durable once the batch is.
        std::map<std::string, std::uint64_t> ends;
    };

    kernel::task<void> commitLoop(self_ptr self);
    kernel::task<void> tickLoop(self_ptr self);
    kernel::task<void> driveWorker(self_ptr self, driven_ptr worker);
    kernel::task<void> startTask(self_ptr self, driven_ptr worker, jobs::journal_record record);
    kernel::task<void> stopRun(self_ptr self, driven_ptr worker, jobs::task_name task, std::uint32_t run);
    kernel::task<void> loadPairs();
    kernel::task<void> savePairs(self_ptr self, std::string pairs);
    kernel::task<bool> appendBatch(const batch &next);
    kernel::task<void> handOver();
    void takeHandedLeases();
    void takeObserved(batch &next, time_point now);
    void judgeInheritedFailures();
    kernel::task<void> lookOnce(driven_ptr worker);

    void takeJobKey(const store::stored_item &item);
    void takeCancel(const std::string &id);
    batch prepareBatch(time_point now);
    //! The configuration in force, with the queues that it has dropped and that have accepted jobs.
    jobs::fleet_config_ptr configForJobs();
    bool mayStart(time_point now) const;
    std::vector<jobs::candidate> candidates(time_point now) const;
    bool tooManyQuarantined(time_point now) const;
    std::int64_t pacedMillicores(const driven_worker &worker, const jobs::worker_load &load) const;
    void finishBatch(const batch &next);
    void followJobs();
    void savePairsIfDue(time_point now);
    void accountFor(const std::vector<jobs::journal_record> &records, time_point now);
    bool takeStartAnswer(driven_worker &worker, const jobs::journal_record &record,
                         const jobs::order_response &answer, const start_attempt &attempt);
    void giveBack(driven_worker &worker, const jobs::journal_record &record, const std::string &reason);
    void observe(std::vector<jobs::journal_record> records);
    bool isRefusing(const driven_worker &worker, time_point now) const;
    jobs::fleet_view viewOf(const jobs::fleet_config &config, std::span<const jobs::worker_view> workers,
                            time_point now) const;
    void noteEnd(const jobs::journal_record &record, time_point now);
    void noteLapse(const driven_worker &worker, std::span<const jobs::journal_record> lapsed, time_point now);
    void watchWaiting(time_point now);
    void judgeWorker(driven_worker &worker, const jobs::poll_response &answer, time_point now);
    void stopUnwanted(const driven_ptr &worker);
    void paceFills(const driven_ptr &worker, time_point now);
    kernel::task<void> orderPace(self_ptr self, driven_ptr worker, jobs::throttle_order order);
    bool needsLook(const driven_worker &worker, time_point now) const;
    milliseconds lookWaitFor(const driven_worker &worker) const;
    jobs::order_target targetOf(const driven_worker &worker) const;
    void drive(const driven_ptr &worker);

    boost::asio::io_context &m_context;
    owner_services m_services;
    won_term m_term;
    time_point m_since{};
    //! When the leases that earlier owners have granted are certainly over.
    time_point m_inheritedUntil{};
    jobs::job_table m_book;
    jobs::known_queues m_queues;
    //! The configuration that m_configForJobs was made from; null when it must be made anew.
    jobs::fleet_config_ptr m_configTaken;
    jobs::fleet_config_ptr m_configForJobs;
    jobs::interference_view m_interference;
    time_point m_modelRefreshedAt{};
    time_point m_pairsSavedAt{};
    std::string m_savedPairs;
    jobs::step_durations m_kin;
    jobs::job_timings m_accounts;
    jobs::wait_monitor m_waiting;
    std::uint64_t m_index = 0;
    std::uint64_t m_submission = 0;
    std::set<std::string> m_cancelled;
    std::vector<jobs::journal_record> m_observed;
    //! Tasks with failures that an earlier owner may not have judged.
    std::vector<jobs::task_name> m_toJudge;
    //! Jobs whose newest records are not durable yet.
    std::set<std::string, std::less<>> m_undurable;
    std::map<std::string, driven_ptr> m_workers; // by incarnation
    std::map<std::string, std::string> m_incarnations; // by worker id
    std::set<std::pair<std::string, std::uint32_t>> m_stopping; // task and run
    std::shared_ptr<store::prefix_follower> m_jobs;
    kernel::wake_signal m_commitSignal;
    bool m_committing = false;
    bool m_loaded = false;
    bool m_over = false;
    owner_counters m_counters;
};

} // namespace almond::fleet
