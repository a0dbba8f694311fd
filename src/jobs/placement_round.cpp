#include "jobs/placement_round.h"

#include <algorithm>
#include <limits>
#include <set>
#include <string>
#include <utility>

namespace almond::jobs {

namespace {

//! Slack that one more task takes from \a serving on \a worker.
double slackTakenBy(const planning_round &round, const candidate &worker, const serving_view &serving,
                    const placement_request &task)
{
    const interference_view &known = round.interference;
    const double perCore = task.image
        ? slackPerCore(known.model, known.rules.learning, serving.image, *task.image)
        : known.rules.learning.priorSlackPerCore;
    return modelCores(task.spec->demand.millicores, worker.info->capacity) * perCore;
}

//! Least slack that a serving task on \a worker would have beside one more task, if the task took twice the
//! slack that the model predicts. Ignores serving tasks to which the task is harmless.
double worstSlackWith(const planning_round &round, const candidate &worker, const placement_request &task)
{
    double least = round.interference.rules.largestSlack;
    for (const serving_view &serving : worker.serving) {
        const double taken = slackTakenBy(round, worker, serving, task);
        if (taken > round.interference.rules.negligibleSlack)
            least = std::min(least, serving.slack - 2.0 * taken);
    }
    return least;
}

//! Whether the worst slack on \a worker beside one more task keeps the task away.
bool isSlackTooLow(const planning_round &round, const candidate &worker, const placement_request &task,
                   double worstSlack)
{
    constexpr std::int64_t negligiblePercent = 10;
    constexpr std::int64_t whole = 100;
    if (worstSlack >= round.interference.rules.placementSlack || task.slackLimit == slack_limit::ignored)
        return false;
    return task.slackLimit == slack_limit::inForce
        || worker.bestEffortMillicores * whole > worker.info->capacity.millicores * negligiblePercent;
}

//! Whether the capacity that is not shared with best-effort tasks suffices.
bool hasGuaranteedCapacity(const candidate &worker, const step_spec &spec)
{
    resources guaranteed = spec.demand;
    if (spec.bestEffort)
        guaranteed.millicores = 0;
    return fits(guaranteed, worker.available);
}

//! Whether a best-effort task finds the CPU that it needs, by itself or shared as far as it may be.
bool findsSpareCpu(const candidate &worker, const placement_request &task)
{
    const std::int64_t demanded = task.spec->demand.millicores;
    return hasSpareCpu(worker, expectedMillicores(demanded, task.overdue))
        || (task.mayCrowd && !isTooCrowded(worker, demanded));
}

//! Whether the capacity that is left on \a worker suffices.
bool hasRoom(const candidate &worker, const placement_request &task)
{
    return hasGuaranteedCapacity(worker, *task.spec)
        && (!task.spec->bestEffort || findsSpareCpu(worker, task));
}

//! Returns why \a worker can't take one more task, without regard to the slack of its serving tasks.
std::optional<placement_refusal> refusalByWorker(const planning_round &round, const candidate &worker,
                                                 const placement_request &task)
{
    const step_spec &spec = *task.spec;
    if (worker.info->service != task.step->queue->service)
        return placement_refusal::otherService;
    if (!spec.requiredLabel.empty() && !hasLabel(*worker.info, spec.requiredLabel))
        return placement_refusal::label;
    if (!hasGuaranteedCapacity(worker, spec))
        return placement_refusal::capacity;
    if (spec.bestEffort && !findsSpareCpu(worker, task))
        return placement_refusal::spareCpu;
    if (worker.reserved && !spec.longRunning && !spec.bestEffort)
        return placement_refusal::reserved;
    if (spec.bestEffort && (worker.bestEffortBlocked || (task.overdue && worker.targetMissed)))
        return placement_refusal::targetMissed;
    if (spec.bestEffort && worker.heldForOverdue)
        return placement_refusal::reserved;
    if (spec.perWorkerLimit > 0 && tasksOfStep(round, worker, task.first) >= spec.perWorkerLimit)
        return placement_refusal::perWorkerLimit;
    return std::nullopt;
}

//! Number of serving tasks of other images on \a worker.
std::ptrdiff_t countOtherImages(const candidate &worker, const placement_request &task)
{
    return std::count_if(worker.serving.begin(), worker.serving.end(), [&task](const serving_view &serving) {
        return !task.image || serving.image != *task.image;
    });
}

//! Returns the score of a candidate, higher is better; nothing if it cannot take the task. Tasks with
//! guaranteed resources are packed tightly, so that large ones still fit elsewhere. Serving tasks are grouped
//! by image, so that best-effort tasks that interfere with one image find workers without it. Best-effort
//! tasks go where they interfere least.
std::optional<double> score(const planning_round &round, const candidate &worker,
                            const placement_request &task)
{
    constexpr double remoteDataPenalty = 1e9;
    constexpr double mixedImagePenalty = 1e6;
    const step_spec &spec = *task.spec;
    // Most workers of a busy fleet have no room, which is seen without a look at their descriptions.
    if (!hasRoom(worker, task) || refusalByWorker(round, worker, task))
        return std::nullopt;
    const bool nearData = spec.dataRack.empty() || hasLabel(*worker.info, spec.dataRack);
    const double locality = nearData ? 0.0 : -remoteDataPenalty;
    if (!spec.bestEffort) {
        const double mixed = spec.longRunning && spec.tailLatencyTarget.count() > 0
            ? mixedImagePenalty * static_cast<double>(countOtherImages(worker, task))
            : 0.0;
        return locality - mixed - static_cast<double>(worker.available.millicores - spec.demand.millicores);
    }
    const double slack = worstSlackWith(round, worker, task);
    if (isSlackTooLow(round, worker, task, slack))
        return std::nullopt;
    return locality + slack
        + static_cast<double>(worker.spareMillicores)
        / static_cast<double>(std::max<std::int64_t>(worker.info->capacity.millicores, 1));
}

void deduct(const planning_round &round, candidate &worker, const placement_request &task)
{
    const step_spec &spec = *task.spec;
    resources guaranteed = spec.demand;
    if (spec.bestEffort) {
        for (serving_view &serving : worker.serving)
            serving.slack -= slackTakenBy(round, worker, serving, task);
        worker.spareMillicores -= guaranteed.millicores;
        worker.bestEffortMillicores += guaranteed.millicores;
        guaranteed.millicores = 0;
    } else {
        worker.spareMillicores
            -= spec.longRunning ? guaranteed.millicores * servingUsePercent / 100 : guaranteed.millicores;
    }
    if (spec.longRunning && spec.tailLatencyTarget.count() > 0 && task.image)
        worker.serving.push_back({*task.image, round.interference.rules.learning.priorBaselineSlack});
    worker.available = worker.available - guaranteed;
}

//! Placements in a round that may be taken back.
struct tentative_placements
{
    planning_round &round;
    const placement_request &task;
    //! The candidates that were changed, as they were before, in the order of the changes.
    std::vector<std::pair<std::size_t, candidate>> before;

    void add(std::uint32_t index, std::uint32_t run, std::size_t candidateIndex)
    {
        before.emplace_back(candidateIndex, round.candidates[candidateIndex]);
        place(round, task, index, run, candidateIndex);
    }

    void undo()
    {
        for (; !before.empty(); before.pop_back()) {
            auto &[index, old] = before.back();
            const auto count = round.placed.find({old.info, task.first});
            if (--count->second == 0)
                round.placed.erase(count);
            round.candidates[index] = std::move(old);
            round.records.pop_back();
        }
    }
};

bool tryPlaceGang(planning_round &round, const placement_request &task, std::string_view rack,
                  std::uint32_t run)
{
    const ready_step &step = *task.step;
    const auto count = static_cast<std::uint32_t>(
        step.jobState->occurrences.at(step.occurrence).steps[step.step].tasks.size());
    candidate_ranking ranking(round, task, rack);
    tentative_placements members{round, task, {}};
    for (std::uint32_t index = 0; index < count; ++index) {
        const std::ptrdiff_t chosen = ranking.best();
        if (chosen < 0) {
            members.undo();
            return false;
        }
        members.add(index, run, static_cast<std::size_t>(chosen));
        ranking.updateBest();
    }
    return true;
}

} // namespace

bool hasSpareCpu(const candidate &worker, std::int64_t millicores)
{
    return worker.spareMillicores >= millicores
        || (worker.bestEffortMillicores == 0 && worker.spareMillicores * 2 >= millicores);
}

bool isTooCrowded(const candidate &worker, std::int64_t millicores)
{
    const std::int64_t usable = worker.spareMillicores + worker.bestEffortMillicores;
    return worker.bestEffortMillicores + millicores > 2 * usable;
}

std::optional<placement_refusal> refusalOf(const planning_round &round, const candidate &worker,
                                           const placement_request &task)
{
    const auto refusal = refusalByWorker(round, worker, task);
    if (!refusal && task.spec->bestEffort
        && isSlackTooLow(round, worker, task, worstSlackWith(round, worker, task)))
        return placement_refusal::slack;
    return refusal;
}

task_name firstTaskOf(const ready_step &step)
{
    return {step.jobState->spec.id, step.occurrence, step.step, 0};
}

std::uint32_t tasksOfStep(const planning_round &round, const candidate &worker, const task_name &first)
{
    std::uint32_t count = 0;
    if (worker.load) {
        for (auto run = worker.load->runs.lower_bound(first); run != worker.load->runs.end(); ++run) {
            const task_name &name = run->first;
            if (name.job != first.job || name.occurrence != first.occurrence || name.step != first.step)
                break;
            ++count;
        }
    }
    const auto added = round.placed.find({worker.info, first});
    return count + (added == round.placed.end() ? 0 : added->second);
}

placement_key placementKeyOf(const placement_request &task)
{
    return {task.step->queue->service, task.spec->requiredLabel, task.spec->image, task.spec->bestEffort,
            task.spec->longRunning};
}

placement_request placementRequestOf(const planning_round &round, const ready_step &step)
{
    const step_spec &spec = step.jobState->spec.steps[step.step];
    const auto known = round.interference.model.numbers.find(spec.image);
    placement_request result{&step, &spec, firstTaskOf(step), {}};
    if (known != round.interference.model.numbers.end())
        result.image = known->second;
    return result;
}

std::ptrdiff_t chooseCandidate(const planning_round &round, const placement_request &task,
                               std::string_view rack)
{
    std::ptrdiff_t best = -1;
    double bestValue = -std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < round.candidates.size(); ++index) {
        const candidate &worker = round.candidates[index];
        if (!rack.empty() && worker.info->rack != rack)
            continue;
        const std::optional<double> value = score(round, worker, task);
        if (value && *value > bestValue) {
            best = static_cast<std::ptrdiff_t>(index);
            bestValue = *value;
        }
    }
    return best;
}

std::size_t countPlaces(const planning_round &round, const placement_request &task, std::size_t most)
{
    const std::size_t limit = task.spec->perWorkerLimit;
    std::size_t places = 0;
    for (const candidate &worker : round.candidates) {
        if (refusalOf(round, worker, task))
            continue;
        const std::size_t left = limit == 0 ? most : limit - tasksOfStep(round, worker, task.first);
        candidate trial = worker;
        for (std::size_t added = 0; added < left && !refusalOf(round, trial, task); ++added) {
            deduct(round, trial, task);
            if (++places >= most)
                return most;
        }
    }
    return places;
}

void place(planning_round &round, const placement_request &task, std::uint32_t index, std::uint32_t run,
           std::size_t candidateIndex)
{
    candidate &worker = round.candidates[candidateIndex];
    deduct(round, worker, task);
    ++round.placed[{worker.info, task.first}];
    journal_record record;
    record.task = task.first;
    record.task.index = index;
    record.run = run;
    record.worker = incarnationOf(*worker.info);
    round.records.push_back(std::move(record));
}

bool placeGang(planning_round &round, const placement_request &task)
{
    const ready_step &step = *task.step;
    const step_state &state = step.jobState->occurrences.at(step.occurrence).steps[step.step];
    if (state.waiting < state.tasks.size() || round.placedEarly.contains(task.first))
        return false;
    std::uint32_t run = 0;
    for (const task_state &member : state.tasks)
        run = std::max(run, member.run);
    if (task.spec->sameRack) {
        std::set<std::string_view> racks;
        for (const candidate &worker : round.candidates)
            racks.insert(worker.info->rack);
        for (const std::string_view rack : racks) {
            if (!rack.empty() && tryPlaceGang(round, task, rack, run + 1))
                return true;
        }
    }
    return tryPlaceGang(round, task, {}, run + 1);
}

candidate_ranking::candidate_ranking(const planning_round &round, const placement_request &task,
                                     std::string_view rack)
    : m_round(round)
    , m_task(task)
{
    for (std::size_t index = 0; index < round.candidates.size(); ++index) {
        const candidate &worker = round.candidates[index];
        if (!rack.empty() && worker.info->rack != rack)
            continue;
        const std::optional<double> value = score(round, worker, task);
        if (value)
            m_heap.push_back({*value, index});
    }
    std::make_heap(m_heap.begin(), m_heap.end(), isWorse);
}

//! Of two candidates with the same score, the earlier one is better.
bool candidate_ranking::isWorse(const ranked &left, const ranked &right)
{
    return left.value < right.value || (left.value == right.value && left.index > right.index);
}

std::ptrdiff_t candidate_ranking::best() const
{
    return m_heap.empty() ? -1 : static_cast<std::ptrdiff_t>(m_heap.front().index);
}

void candidate_ranking::updateBest()
{
    std::pop_heap(m_heap.begin(), m_heap.end(), isWorse);
    const std::optional<double> value = score(m_round, m_round.candidates[m_heap.back().index], m_task);
    if (!value) {
        m_heap.pop_back();
        return;
    }
    m_heap.back().value = *value;
    std::push_heap(m_heap.begin(), m_heap.end(), isWorse);
}

} // namespace almond::jobs
