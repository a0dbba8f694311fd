#pragma once

#include "jobs/planner.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

//! Choice of a worker for one task within a planning round; internal to the planner.
namespace almond::jobs {

//! Percentage of their reserved CPU that serving tasks are expected to use; the rest is available to
//! best-effort tasks. With a lower value best-effort tasks crowd the serving tasks.
inline constexpr std::int64_t servingUsePercent = 60;

//! All properties of a task that determine where it can run, except its demand.
using placement_key = std::tuple<std::string_view, std::string_view, std::string_view, bool, bool>;

//! State of one planning round: the free capacity of candidates shrinks as tasks are placed.
struct planning_round
{
    planning_round(const job_table &jobTable, const interference_view &known,
                   std::vector<candidate> usableWorkers)
        : table(jobTable)
        , interference(known)
        , candidates(std::move(usableWorkers))
    {
    }

    const job_table &table;
    const interference_view &interference;
    std::vector<candidate> candidates;
    //! Number of tasks placed in this round by candidate and step.
    std::map<std::pair<const worker_info *, task_name>, std::uint32_t> placed;
    std::vector<journal_record> records;
    //! Long-running tasks that were placed before the others of their priority, and tasks of overdue jobs.
    std::set<task_name> placedEarly;
    //! For each kind of task that fitted on no candidate in this round, the smallest demand that did not fit.
    std::map<placement_key, resources> unplacedDemands;
    batch_shares batchShares;
    //! CPU in millicores that new long-running tasks may still take from batch tasks, by service and priority
    //! of their queues.
    std::map<std::pair<std::string_view, int>, std::int64_t> allowances;
};

//! Where a best-effort task may be placed although serving tasks would be left with too little slack.
enum class slack_limit : std::uint8_t {
    inForce,
    //! On workers with hardly any best-effort tasks, whose end would give slack back.
    lifted,
    //! Everywhere: only capacity decides.
    ignored
};

//! Properties of a step that are needed to choose a candidate, looked up once.
struct placement_request
{
    const ready_step *step = nullptr;
    const step_spec *spec = nullptr;
    task_name first;
    //! Empty for an image that the model does not know yet.
    std::optional<image_number> image;
    //! The job has been idle for long: less spare CPU than usual suffices.
    bool overdue = false;
    slack_limit slackLimit = slack_limit::inForce;
    //! The task may have to share its CPU with other best-effort tasks.
    bool mayCrowd = false;
};

//! Returns whether a best-effort task of \a millicores can expect enough CPU on \a worker.
bool hasSpareCpu(const candidate &worker, std::int64_t millicores);
//! Returns whether best-effort tasks, with one more of \a millicores, would demand so much more CPU than
//! \a worker has that they get less than half.
bool isTooCrowded(const candidate &worker, std::int64_t millicores);
//! CPU that a best-effort task which demands \a millicores must expect: with less than its demand it runs
//! slower, which is better than not at all for one of an overdue job.
constexpr std::int64_t expectedMillicores(std::int64_t millicores, bool overdue)
{
    return overdue ? millicores / 2 : millicores;
}
//! Returns why \a worker can't take one more task; nothing if it can.
std::optional<placement_refusal> refusalOf(const planning_round &round, const candidate &worker,
                                           const placement_request &task);
task_name firstTaskOf(const ready_step &step);
std::uint32_t tasksOfStep(const planning_round &round, const candidate &worker, const task_name &first);
placement_key placementKeyOf(const placement_request &task);
placement_request placementRequestOf(const planning_round &round, const ready_step &step);

//! Returns the index of the best candidate for one task on \a rack, or on any rack if it is empty; -1 for
//! none.
std::ptrdiff_t chooseCandidate(const planning_round &round, const placement_request &task,
                               std::string_view rack);

//! Returns the number of further tasks of the step that the candidates hold, counted up to \a most.
std::size_t countPlaces(const planning_round &round, const placement_request &task, std::size_t most);

//! Places the task \a index of the step on the candidate \a candidateIndex.
void place(planning_round &round, const placement_request &task, std::uint32_t index, std::uint32_t run,
           std::size_t candidateIndex);

//! Places all members of the gang of \a task in one decision with one run number, or none: on one rack if the
//! step asks for it and a rack has enough free capacity. Returns whether they were placed now.
bool placeGang(planning_round &round, const placement_request &task);

//! The candidates for the tasks of one step on one rack, or on any rack if it is empty, best first. Placing a
//! task changes only its own candidate, so the next best one is found without another pass over the fleet.
class candidate_ranking
{
public:
    candidate_ranking(const planning_round &round, const placement_request &task, std::string_view rack = {});

    //! Returns the index of the best candidate, as chooseCandidate() does; -1 for none.
    std::ptrdiff_t best() const;
    //! Ranks the best candidate again after a task was placed on it.
    void updateBest();

private:
    struct ranked
    {
        double value = 0.0;
        std::size_t index = 0;
    };
    static bool isWorse(const ranked &left, const ranked &right);

    const planning_round &m_round;
    const placement_request &m_task;
    std::vector<ranked> m_heap;
};

} // namespace almond::jobs
