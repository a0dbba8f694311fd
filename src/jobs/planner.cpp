#include "jobs/planner.h"

#include "jobs/lateness.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

namespace almond::jobs {

namespace {

//! Share of their reserved processor time, in percent, that serving tasks are expected to use; the rest is
//! open to tasks that fill. A lower share crowds the serving tasks.
constexpr std::int64_t servingUsePercent = 60;

//! New lasting tasks wait for short ones of their priority for up to this long, in which a short one ends;
//! then a few in each round, one for so many workers, come first and have workers kept free for them.
constexpr milliseconds lastingPatience{3000};
constexpr std::size_t workersPerReservation = 100;

struct ready_step
{
    int priority = 0;
    //! False sorts first.
    bool longRunning = false;
    lateness prospect = lateness::inTime;
    std::int64_t acceptedAtMs = 0;
    const job_state *owner = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    const queue_rules *queue = nullptr;
};

std::vector<ready_step> readySteps(const job_table &table, const fleet_config &config, time_point unixNow)
{
    std::vector<ready_step> ready;
    for (const std::string &id : table.jobsWithWaitingTasks) {
        const job_state &owner = table.jobs.find(id)->second;
        const auto queue = config.queues.find(owner.spec.queue);
        if (queue == config.queues.end())
            continue;
        for (const auto &[number, occurrence] : owner.occurrences) {
            const lateness prospect = latenessOf(owner, number, queue->second, unixNow);
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                if (occurrence.steps[step].waiting > 0 && isReady(owner, occurrence, step))
                    ready.push_back({queue->second.priority, owner.spec.steps[step].longRunning, prospect,
                                     owner.spec.acceptedAtMs, &owner, number, step, &queue->second});
            }
        }
    }
    std::sort(ready.begin(), ready.end(), [](const ready_step &left, const ready_step &right) {
        return std::tie(left.priority, left.longRunning, left.prospect, left.acceptedAtMs,
                        left.owner->spec.id, left.occurrence, left.step)
            < std::tie(right.priority, right.longRunning, right.prospect, right.acceptedAtMs,
                       right.owner->spec.id, right.occurrence, right.step);
    });
    return ready;
}

//! What decides where a task may go, but for its size.
using task_kind = std::tuple<std::string_view, std::string_view, std::string_view, bool, bool>;

//! A round of planning: candidates shrink as tasks are placed.
struct round_state
{
    const job_table &table;
    const interference_view &interference;
    std::vector<candidate> candidates;
    //! Tasks placed in this round on each candidate, by step.
    std::map<std::pair<std::string, task_name>, std::uint32_t> placed;
    std::vector<journal_record> records;
    //! Lasting tasks that were placed before the others of their priority.
    std::set<task_name> placedFirst;
    //! Kinds of tasks that found no room in this round, with the least demand that did not fit.
    std::map<task_kind, resources> hopeless;
};

task_name firstOf(const ready_step &step)
{
    return {step.owner->spec.id, step.occurrence, step.step, 0};
}

std::uint32_t tasksOfStep(const round_state &round, const candidate &worker, const task_name &first)
{
    std::uint32_t count = 0;
    const auto load = round.table.loads.find(worker.incarnation);
    if (load != round.table.loads.end()) {
        for (auto run = load->second.runs.lower_bound(first); run != load->second.runs.end(); ++run) {
            const task_name &name = run->first;
            if (name.job != first.job || name.occurrence != first.occurrence || name.step != first.step)
                break;
            ++count;
        }
    }
    const auto added = round.placed.find({worker.incarnation, first});
    return count + (added == round.placed.end() ? 0 : added->second);
}

bool hasRoom(const candidate &worker, const step_spec &spec)
{
    if (!spec.bestEffort)
        return fits(spec.demand, worker.available);
    resources guaranteed = spec.demand;
    guaranteed.millicores = 0;
    const bool hasSpare = worker.spareMillicores >= spec.demand.millicores
        || (worker.bestEffortMillicores == 0 && worker.spareMillicores * 2 >= spec.demand.millicores);
    return hasSpare && fits(guaranteed, worker.available);
}

//! What a step asks of a candidate, looked up once.
struct placing
{
    const ready_step *step = nullptr;
    const step_spec *spec = nullptr;
    task_name first;
    //! Empty for an image that has not been seen at work.
    std::optional<image_number> image;
};

placing placingOf(const round_state &round, const ready_step &step)
{
    const step_spec &spec = step.owner->spec.steps[step.step];
    const auto known = round.interference.model.numbers.find(spec.image);
    placing result{&step, &spec, firstOf(step), {}};
    if (known != round.interference.model.numbers.end())
        result.image = known->second;
    return result;
}

//! Slack that one more task takes from \a serving on \a worker.
double slackTakenBy(const round_state &round, const candidate &worker, const serving_view &serving,
                    const placing &task)
{
    const interference_view &known = round.interference;
    const double perCore = task.image
        ? slackPerCore(known.model, known.rules.learning, serving.image, *task.image)
        : known.rules.learning.priorSlackPerCore;
    return modelCores(task.spec->demand.millicores, worker.info.capacity) * perCore;
}

//! The least slack that a serving task on \a worker would have beside one more task that takes twice what is
//! known of it. Serving tasks to which it is harmless don't count.
double slackBeside(const round_state &round, const candidate &worker, const placing &task)
{
    double least = round.interference.rules.largestSlack;
    for (const serving_view &serving : worker.serving) {
        const double taken = slackTakenBy(round, worker, serving, task);
        if (taken > round.interference.rules.negligibleSlack)
            least = std::min(least, serving.slack - 2.0 * taken);
    }
    return least;
}

bool mayRun(const round_state &round, const candidate &worker, const placing &task)
{
    const step_spec &spec = *task.spec;
    if (!hasRoom(worker, spec) || worker.info.service != task.step->queue->service)
        return false;
    if (worker.reserved && !spec.longRunning && !spec.bestEffort)
        return false;
    if (worker.bestEffortBlocked && spec.bestEffort)
        return false;
    if (!spec.requiredLabel.empty() && !hasLabel(worker.info, spec.requiredLabel))
        return false;
    return spec.perWorkerLimit == 0 || tasksOfStep(round, worker, task.first) < spec.perWorkerLimit;
}

//! Serving tasks of other images on \a worker.
std::ptrdiff_t otherImages(const candidate &worker, const placing &task)
{
    return std::count_if(worker.serving.begin(), worker.serving.end(), [&task](const serving_view &serving) {
        return !task.image || serving.image != *task.image;
    });
}

//! Higher is better; empty for a worker that can't take the task. Firm tasks are packed so that large ones
//! still find room. Tasks that serve gather by image, so that what disturbs one image finds workers without
//! it. Tasks that fill go where they disturb the least.
std::optional<double> preference(const round_state &round, const candidate &worker, const placing &task)
{
    constexpr double farFromData = 1e9;
    constexpr double besideOtherImage = 1e6;
    const step_spec &spec = *task.spec;
    if (!mayRun(round, worker, task))
        return std::nullopt;
    const bool nearData = spec.dataRack.empty() || hasLabel(worker.info, spec.dataRack);
    const double locality = nearData ? 0.0 : -farFromData;
    if (!spec.bestEffort) {
        const double mixed = spec.longRunning && spec.tailLatencyTarget.count() > 0
            ? besideOtherImage * static_cast<double>(otherImages(worker, task))
            : 0.0;
        return locality - mixed - static_cast<double>(worker.available.millicores - spec.demand.millicores);
    }
    const double slack = slackBeside(round, worker, task);
    if (slack < round.interference.rules.placementSlack)
        return std::nullopt;
    return locality + slack
        + static_cast<double>(worker.spareMillicores)
        / static_cast<double>(std::max<std::int64_t>(worker.info.capacity.millicores, 1));
}

//! Index of the best candidate on \a rack (any when empty) for one task, or -1.
std::ptrdiff_t chooseCandidate(const round_state &round, const placing &task, std::string_view rack)
{
    std::ptrdiff_t best = -1;
    double bestValue = -std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < round.candidates.size(); ++index) {
        const candidate &worker = round.candidates[index];
        if (!rack.empty() && worker.info.rack != rack)
            continue;
        const std::optional<double> value = preference(round, worker, task);
        if (value && *value > bestValue) {
            best = static_cast<std::ptrdiff_t>(index);
            bestValue = *value;
        }
    }
    return best;
}

void take(const round_state &round, candidate &worker, const placing &task)
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

void place(round_state &round, const placing &task, std::uint32_t index, std::uint32_t run,
           std::size_t candidateIndex)
{
    candidate &worker = round.candidates[candidateIndex];
    take(round, worker, task);
    ++round.placed[{worker.incarnation, task.first}];
    journal_record record;
    record.task = task.first;
    record.task.index = index;
    record.run = run;
    record.worker = worker.incarnation;
    round.records.push_back(std::move(record));
}

//! Keeps new firm batch tasks off the worker on which room for a lasting task is nearest. False when no
//! worker could ever have it.
bool reserveFor(round_state &round, const ready_step &step)
{
    const step_spec &spec = step.owner->spec.steps[step.step];
    candidate *nearest = nullptr;
    for (candidate &worker : round.candidates) {
        const auto load = round.table.loads.find(worker.incarnation);
        const std::int64_t serving = load == round.table.loads.end() ? 0 : load->second.longRunningMillicores;
        const bool couldHold = worker.info.service == step.queue->service
            && worker.info.capacity.millicores - serving >= spec.demand.millicores
            && fits(spec.demand, worker.info.capacity)
            && (spec.requiredLabel.empty() || hasLabel(worker.info, spec.requiredLabel))
            && (spec.perWorkerLimit == 0 || tasksOfStep(round, worker, firstOf(step)) < spec.perWorkerLimit);
        if (couldHold && !worker.reserved
            && (!nearest || worker.available.millicores > nearest->available.millicores))
            nearest = &worker;
    }
    if (nearest)
        nearest->reserved = true;
    return nearest != nullptr;
}

task_kind kindOf(const placing &task)
{
    return {task.step->queue->service, task.spec->requiredLabel, task.spec->image, task.spec->bestEffort,
            task.spec->longRunning};
}

//! Tells whether a task of the same kind that asks for no more has found no room in this round. Room only
//! shrinks within a round.
bool isUnplaceable(const round_state &round, const placing &task)
{
    const auto found = round.hopeless.find(kindOf(task));
    return found != round.hopeless.end() && fits(found->second, task.spec->demand);
}

void recordUnplaced(round_state &round, const placing &task)
{
    // A limit for each worker is the step's own affair.
    if (task.spec->perWorkerLimit > 0)
        return;
    const auto [place, added] = round.hopeless.try_emplace(kindOf(task), task.spec->demand);
    if (!added && fits(task.spec->demand, place->second))
        place->second = task.spec->demand;
}

void placeSingles(round_state &round, const ready_step &step, std::size_t limit)
{
    const placing task = placingOf(round, step);
    if (isUnplaceable(round, task))
        return;
    const auto &tasks = step.owner->occurrences.at(step.occurrence).steps[step.step].tasks;
    for (std::uint32_t index = 0; index < tasks.size() && round.records.size() < limit; ++index) {
        task_name name = task.first;
        name.index = index;
        if (tasks[index].phase != task_phase::waiting || round.placedFirst.contains(name))
            continue;
        const std::ptrdiff_t chosen = chooseCandidate(round, task, {});
        if (chosen < 0) {
            recordUnplaced(round, task);
            return;
        }
        place(round, task, index, tasks[index].run + 1, static_cast<std::size_t>(chosen));
    }
}

//! What may still be done in this round for lasting tasks that go before others of their priority.
struct early_budget
{
    std::size_t placements = 0;
    //! Workers to keep free for tasks that fit nowhere. They don't use up placements: tasks that fit must not
    //! wait behind them.
    std::size_t reservations = 0;
};

//! Places waiting tasks of the lasting \a step, or keeps workers free for them, as far as \a left allows.
void placeEarly(round_state &round, const ready_step &step, bool onlyInterrupted, early_budget &left)
{
    const placing task = placingOf(round, step);
    const auto &tasks = step.owner->occurrences.at(step.occurrence).steps[step.step].tasks;
    for (std::uint32_t index = 0; index < tasks.size() && left.placements > 0; ++index) {
        task_name name = task.first;
        name.index = index;
        if (tasks[index].phase != task_phase::waiting || round.placedFirst.contains(name)
            || (onlyInterrupted && !tasks[index].interrupted))
            continue;
        const std::ptrdiff_t chosen = isUnplaceable(round, task) ? -1 : chooseCandidate(round, task, {});
        if (chosen >= 0) {
            place(round, task, index, tasks[index].run + 1, static_cast<std::size_t>(chosen));
            round.placedFirst.insert(name);
            --left.placements;
            continue;
        }
        recordUnplaced(round, task);
        if (left.reservations == 0 || !reserveFor(round, step))
            return;
        --left.reservations;
    }
}

//! Members of a gang are placed together or not at all.
bool isEarly(const ready_step &step)
{
    return step.longRunning && !step.owner->spec.steps[step.step].gang;
}

//! Serves lasting tasks among \a ready, which has the steps of one priority, before the others. All that ran
//! before and fit start again: their users miss them, and they only take back as much room as they had. Of
//! the new ones that have waited long a few do; without this a steady stream of short tasks would keep them
//! from starting at all.
void serveLasting(round_state &round, std::span<const ready_step> ready, std::size_t limit,
                  time_point unixNow)
{
    const std::size_t few = 1 + round.candidates.size() / workersPerReservation;
    early_budget again{limit - round.records.size(), few};
    for (const ready_step &step : ready) {
        if (isEarly(step))
            placeEarly(round, step, true, again);
    }
    early_budget fresh{std::min(few, again.placements), again.reservations};
    for (const ready_step &step : ready) {
        const milliseconds waited = unixNow - kernel::fromMillis(step.acceptedAtMs);
        if (isEarly(step) && waited >= lastingPatience)
            placeEarly(round, step, false, fresh);
    }
}

bool tryPlaceGang(round_state &round, const ready_step &step, std::string_view rack, std::uint32_t run)
{
    round_state trial = round;
    const placing task = placingOf(round, step);
    const auto count = static_cast<std::uint32_t>(
        step.owner->occurrences.at(step.occurrence).steps[step.step].tasks.size());
    for (std::uint32_t index = 0; index < count; ++index) {
        const std::ptrdiff_t chosen = chooseCandidate(trial, task, rack);
        if (chosen < 0)
            return false;
        place(trial, task, index, run, static_cast<std::size_t>(chosen));
    }
    round.candidates = std::move(trial.candidates);
    round.placed = std::move(trial.placed);
    round.records = std::move(trial.records);
    return true;
}

//! All members start in one decision with one run number, on one rack where that is asked for and possible.
void placeGang(round_state &round, const ready_step &step)
{
    const step_state &state = step.owner->occurrences.at(step.occurrence).steps[step.step];
    if (state.waiting < state.tasks.size())
        return;
    std::uint32_t run = 0;
    for (const task_state &task : state.tasks)
        run = std::max(run, task.run);
    if (step.owner->spec.steps[step.step].sameRack) {
        std::set<std::string> racks;
        for (const candidate &worker : round.candidates)
            racks.insert(worker.info.rack);
        for (const std::string &rack : racks) {
            if (!rack.empty() && tryPlaceGang(round, step, rack, run + 1))
                return;
        }
    }
    tryPlaceGang(round, step, {}, run + 1);
}

//! Places the steps of one priority, which \a ready has in order.
void placePriority(round_state &round, std::span<const ready_step> ready, std::size_t limit,
                   time_point unixNow)
{
    serveLasting(round, ready, limit, unixNow);
    for (const ready_step &step : ready) {
        if (round.records.size() >= limit)
            return;
        if (step.owner->spec.steps[step.step].gang)
            placeGang(round, step);
        else
            placeSingles(round, step, limit);
    }
}

} // namespace

candidate makeCandidate(const worker_info &worker, const worker_load *load)
{
    candidate result{
        incarnationOf(worker), worker, worker.capacity, worker.capacity.millicores, 0, {}, false, false};
    if (!load)
        return result;
    result.available = worker.capacity - load->guaranteed;
    result.bestEffortMillicores = load->bestEffortMillicores;
    const std::int64_t idle = load->longRunningMillicores * (100 - servingUsePercent) / 100;
    result.spareMillicores = result.available.millicores + idle - load->bestEffortMillicores;
    return result;
}

std::vector<journal_record> planStarts(const job_table &table, const fleet_config &config,
                                       const interference_view &interference,
                                       std::vector<candidate> candidates, std::size_t limit,
                                       time_point unixNow)
{
    round_state round{table, interference, std::move(candidates), {}, {}, {}, {}};
    const std::vector<ready_step> ready = readySteps(table, config, unixNow);
    for (auto first = ready.begin(); first != ready.end() && round.records.size() < limit;) {
        const auto last = std::find_if(
            first, ready.end(), [first](const ready_step &step) { return step.priority != first->priority; });
        placePriority(round, {first, last}, limit, unixNow);
        first = last;
    }
    return std::move(round.records);
}

std::vector<std::string> jobsOutOfAttempts(const job_table &table, const fleet_config &config,
                                           std::span<const task_name> touched)
{
    std::vector<std::string> hopeless;
    for (const task_name &name : touched) {
        const auto owner = table.jobs.find(name.job);
        if (owner == table.jobs.end() || isFinal(owner->second.status))
            continue;
        const auto queue = config.queues.find(owner->second.spec.queue);
        const step_spec &spec = owner->second.spec.steps[name.step];
        if (queue == config.queues.end() || spec.longRunning)
            continue;
        const step_state &state = owner->second.occurrences.at(name.occurrence).steps[name.step];
        const std::uint32_t failures = spec.gang ? state.failedRuns : state.tasks[name.index].failures;
        if (failures >= queue->second.attempts)
            hopeless.push_back(name.job);
    }
    std::sort(hopeless.begin(), hopeless.end());
    hopeless.erase(std::unique(hopeless.begin(), hopeless.end()), hopeless.end());
    return hopeless;
}

} // namespace almond::jobs
