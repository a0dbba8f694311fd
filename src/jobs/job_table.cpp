#include "jobs/job_table.h"

#include "jobs/job_codec.h"

#include <algorithm>
#include <stdexcept>

namespace almond::jobs {

using nlohmann::json;

namespace {

std::uint32_t occurrenceCount(const job &spec)
{
    return std::max(spec.repetitions, 1U);
}

std::int64_t dueMs(const job &spec, std::uint32_t occurrence)
{
    return spec.firstDueMs + static_cast<std::int64_t>(occurrence) * spec.interval.count();
}

void openOccurrence(job_table &table, job_state &jobState, std::uint32_t number)
{
    // An ended job may have released its tasks.
    if (number >= occurrenceCount(jobState.spec) || jobState.occurrences.contains(number)
        || jobState.spec.steps.empty())
        return;
    occurrence_state &opened = jobState.occurrences[number];
    opened.steps.resize(jobState.spec.steps.size());
    for (std::size_t index = 0; index < opened.steps.size(); ++index) {
        const std::uint32_t count = jobState.spec.steps[index].count;
        opened.steps[index].tasks.resize(count);
        opened.steps[index].waiting = count;
        jobState.waiting += count;
    }
    if (!isFinal(jobState.status))
        table.jobsWithWaitingTasks.insert(jobState.spec.id);
}

//! Pointers to one task and the structures that contain it; all null for a name that does not exist.
struct located_task
{
    job_state *jobState = nullptr;
    occurrence_state *occurrence = nullptr;
    step_state *step = nullptr;
    task_state *task = nullptr;
    const step_spec *spec = nullptr;
};

located_task locate(job_table &table, const task_name &name)
{
    const auto found = table.jobs.find(name.job);
    if (found == table.jobs.end() || name.step >= found->second.spec.steps.size())
        return {};
    job_state &jobState = found->second;
    const auto occurrence = jobState.occurrences.find(name.occurrence);
    if (occurrence == jobState.occurrences.end())
        return {};
    step_state &step = occurrence->second.steps[name.step];
    if (name.index >= step.tasks.size())
        return {};
    return {&jobState, &occurrence->second, &step, &step.tasks[name.index], &jobState.spec.steps[name.step]};
}

void countAssigned(job_table &table, const job_state &jobState, const step_spec &spec)
{
    if (!isGuaranteedBatch(spec))
        return;
    assigned_batch &assigned = table.assignedBatch[jobState.spec.queue];
    assigned.demand = assigned.demand + spec.demand;
    ++assigned.tasks;
}

void countReleased(job_table &table, const job_state &jobState, const step_spec &spec)
{
    const auto assigned = table.assignedBatch.find(jobState.spec.queue);
    if (!isGuaranteedBatch(spec) || assigned == table.assignedBatch.end())
        return;
    assigned->second.demand = assigned->second.demand - spec.demand;
    if (--assigned->second.tasks == 0)
        table.assignedBatch.erase(assigned);
}

void addLoad(job_table &table, const std::string &worker, const task_name &name, std::uint32_t run,
             const step_spec &spec)
{
    worker_load &load = table.loads[worker];
    resources guaranteed = spec.demand;
    if (spec.bestEffort) {
        load.bestEffortMillicores += guaranteed.millicores;
        load.bestEffortByImage[spec.image] += guaranteed.millicores;
        guaranteed.millicores = 0;
    }
    if (spec.longRunning)
        load.longRunningMillicores += guaranteed.millicores;
    if (spec.longRunning && spec.tailLatencyTarget.count() > 0)
        load.serving[name] = spec.image;
    load.guaranteed = load.guaranteed + guaranteed;
    load.runs[name] = run;
}

void removeLoad(job_table &table, const std::string &worker, const task_name &name, const step_spec &spec)
{
    const auto found = table.loads.find(worker);
    if (found == table.loads.end() || found->second.runs.erase(name) == 0)
        return;
    worker_load &load = found->second;
    resources guaranteed = spec.demand;
    if (spec.bestEffort) {
        load.bestEffortMillicores -= guaranteed.millicores;
        const auto image = load.bestEffortByImage.find(spec.image);
        if (image != load.bestEffortByImage.end() && image->second > guaranteed.millicores)
            image->second -= guaranteed.millicores;
        else if (image != load.bestEffortByImage.end())
            load.bestEffortByImage.erase(image);
        guaranteed.millicores = 0;
    }
    if (spec.longRunning)
        load.longRunningMillicores -= guaranteed.millicores;
    load.serving.erase(name);
    load.guaranteed = load.guaranteed - guaranteed;
    if (load.runs.empty())
        table.loads.erase(found);
}

void updateWaiting(job_table &table, job_state &jobState)
{
    if (jobState.waiting > 0 && !isFinal(jobState.status))
        table.jobsWithWaitingTasks.insert(jobState.spec.id);
    else
        table.jobsWithWaitingTasks.erase(jobState.spec.id);
}

//! The members of one run are recorded one by one, and all resume from what was known at the first of them.
void fixGangCheckpoint(gang_checkpoint &checkpoint, std::uint32_t run)
{
    if (run <= checkpoint.resumedRun)
        return;
    checkpoint.resumedRun = run;
    checkpoint.resumed = checkpoint.newest;
}

void recordGangCheckpoint(gang_checkpoint &checkpoint, const journal_record &ended)
{
    const bool isFinal = ended.end != run_end::lost;
    const bool isNewer
        = ended.run > checkpoint.run || (ended.run == checkpoint.run && isFinal && !checkpoint.isFinal);
    if (ended.checkpoint.empty() || !isNewer)
        return;
    checkpoint.newest = ended.checkpoint;
    checkpoint.run = ended.run;
    checkpoint.isFinal = isFinal;
}

bool applyStarted(job_table &table, const journal_record &record)
{
    const auto jobEntry = table.jobs.find(record.task.job);
    if (jobEntry != table.jobs.end())
        openOccurrence(table, jobEntry->second, record.task.occurrence);
    const located_task place = locate(table, record.task);
    if (!place.task || place.task->phase != task_phase::waiting || record.run <= place.task->run)
        return false;
    place.task->phase = task_phase::assigned;
    place.task->run = record.run;
    place.task->worker = record.worker;
    if (place.spec->gang)
        fixGangCheckpoint(place.step->gangCheckpoint, record.run);
    --place.step->waiting;
    --place.jobState->waiting;
    ++place.jobState->assigned;
    if (place.jobState->status == job_status::queued)
        place.jobState->status = job_status::running;
    addLoad(table, record.worker, record.task, record.run, *place.spec);
    countAssigned(table, *place.jobState, *place.spec);
    updateWaiting(table, *place.jobState);
    return true;
}

void finishTask(job_table &table, const located_task &place)
{
    place.task->phase = task_phase::done;
    place.task->checkpoint.clear();
    if (++place.step->done < place.step->tasks.size())
        return;
    if (++place.occurrence->stepsDone < place.occurrence->steps.size())
        return;
    if (++place.jobState->occurrencesDone < occurrenceCount(place.jobState->spec)
        || isFinal(place.jobState->status))
        return;
    place.jobState->status = job_status::completed;
    table.newlyEnded.push_back(place.jobState->spec.id);
}

void release(job_table &table, const located_task &place, const task_name &name)
{
    removeLoad(table, place.task->worker, name, *place.spec);
    countReleased(table, *place.jobState, *place.spec);
    place.task->worker.clear();
    --place.jobState->assigned;
}

//! When one member is done, all members of its gang are.
void finishGang(job_table &table, const located_task &place, const task_name &name)
{
    task_name member = name;
    for (member.index = 0; member.index < place.step->tasks.size(); ++member.index) {
        const located_task other = locate(table, member);
        if (other.task->phase == task_phase::done)
            continue;
        if (other.task->phase == task_phase::assigned) {
            release(table, other, member);
        } else {
            --other.step->waiting;
            --other.jobState->waiting;
        }
        finishTask(table, other);
    }
    place.step->gangCheckpoint = {};
}

//! Several members of one run may fail; the failure of the gang counts once per run.
void recordGangFailure(step_state &step, std::uint32_t run)
{
    step.failedRuns += run > step.lastFailedRun ? 1 : 0;
    step.lastFailedRun = std::max(step.lastFailedRun, run);
}

bool countsLate(const located_task &place, std::uint32_t run)
{
    // A later run at work keeps its resources until it has ended.
    const auto isAtWork = [](const task_state &member) { return member.phase == task_phase::assigned; };
    if (place.task && place.spec->gang
        && std::any_of(place.step->tasks.begin(), place.step->tasks.end(), isAtWork))
        return false;
    return place.task && place.task->phase == task_phase::waiting && run > 0 && run <= place.task->run
        && !place.spec->longRunning && !isFinal(place.jobState->status);
}

//! A job of which no run has begun and no start is decided is queued again.
void updateBegun(job_state &jobState, const journal_record &ended)
{
    const bool mayHaveBegun = ended.end != run_end::notStarted && !ended.startUnconfirmed;
    jobState.hasBegun = jobState.hasBegun || mayHaveBegun;
    if (!jobState.hasBegun && jobState.assigned == 0 && jobState.status == job_status::running)
        jobState.status = job_status::queued;
}

//! Applies the end as done of a run that was counted as lost.
void applyLateDone(job_table &table, const located_task &place, const task_name &name)
{
    if (place.spec->gang) {
        finishGang(table, place, name);
    } else {
        --place.step->waiting;
        --place.jobState->waiting;
        finishTask(table, place);
    }
    updateWaiting(table, *place.jobState);
}

bool applyEnded(job_table &table, const journal_record &record)
{
    const located_task place = locate(table, record.task);
    if (record.end == run_end::done && countsLate(place, record.run)) {
        updateBegun(*place.jobState, record);
        applyLateDone(table, place, record.task);
        return true;
    }
    if (!place.task || place.task->phase != task_phase::assigned || record.run != place.task->run)
        return false;
    const bool finished = record.end == run_end::done && !place.spec->longRunning;
    if (finished && place.spec->gang) {
        finishGang(table, place, record.task);
    } else {
        release(table, place, record.task);
        if (finished) {
            finishTask(table, place);
        } else {
            place.task->phase = task_phase::waiting;
            place.task->failures += record.end == run_end::failed ? 1 : 0;
            if (record.end == run_end::failed && place.spec->gang)
                recordGangFailure(*place.step, record.run);
            place.task->interrupted = place.task->interrupted || record.end != run_end::notStarted;
            if (place.spec->gang)
                recordGangCheckpoint(place.step->gangCheckpoint, record);
            else if (!record.checkpoint.empty())
                place.task->checkpoint = record.checkpoint;
            ++place.step->waiting;
            ++place.jobState->waiting;
        }
    }
    updateBegun(*place.jobState, record);
    updateWaiting(table, *place.jobState);
    return true;
}

bool applyMoved(job_table &table, const journal_record &record)
{
    const located_task place = locate(table, record.task);
    if (!place.task || place.task->phase != task_phase::assigned || record.run != place.task->run)
        return false;
    removeLoad(table, place.task->worker, record.task, *place.spec);
    place.task->worker = record.worker;
    addLoad(table, record.worker, record.task, record.run, *place.spec);
    return true;
}

bool endJob(job_table &table, const job_id &id, job_status status)
{
    const auto found = table.jobs.find(id);
    if (found == table.jobs.end() || isFinal(found->second.status))
        return false;
    found->second.status = status;
    table.newlyEnded.push_back(id);
    std::erase_if(table.timers, [&id](const auto &timer) { return timer.second == id; });
    updateWaiting(table, found->second);
    return true;
}

bool applyByKind(job_table &table, const journal_record &record)
{
    switch (record.kind) {
    case record_kind::started:
        return applyStarted(table, record);
    case record_kind::ended:
        return applyEnded(table, record);
    case record_kind::jobFailed:
        return endJob(table, record.task.job, job_status::failed);
    case record_kind::leaseHandedOver:
        table.handedLeases[record.worker] = {record.term, record.leaseLeft};
        return true;
    case record_kind::moved:
        return applyMoved(table, record);
    }
    return false;
}

} // namespace

bool isFinal(job_status status)
{
    return status == job_status::completed || status == job_status::failed || status == job_status::cancelled;
}

bool isGuaranteedBatch(const step_spec &spec)
{
    return !spec.longRunning && !spec.bestEffort;
}

void addJob(job_table &table, job accepted)
{
    const job_id id = accepted.id;
    const auto [place, inserted] = table.jobs.try_emplace(id);
    if (!inserted)
        return;
    place->second.spec = std::move(accepted);
    if (place->second.spec.repetitions > 0)
        table.timers.emplace(place->second.spec.firstDueMs, id);
    else
        openOccurrence(table, place->second, 0);
}

void openDueOccurrences(job_table &table, time_point unixNow)
{
    while (!table.timers.empty() && table.timers.begin()->first <= kernel::toMillis(unixNow)) {
        const auto [due, id] = *table.timers.begin();
        table.timers.erase(table.timers.begin());
        job_state &jobState = table.jobs.find(id)->second;
        std::uint32_t number = 0;
        while (number < occurrenceCount(jobState.spec)
               && dueMs(jobState.spec, number) <= kernel::toMillis(unixNow))
            openOccurrence(table, jobState, number++);
        if (number < occurrenceCount(jobState.spec))
            table.timers.emplace(dueMs(jobState.spec, number), id);
    }
}

bool cancelJob(job_table &table, const job_id &id)
{
    return endJob(table, id, job_status::cancelled);
}

std::size_t removeJob(job_table &table, const job_id &id)
{
    const auto found = table.jobs.find(id);
    if (found == table.jobs.end())
        return 0;
    const std::size_t records = found->second.records;
    std::erase_if(table.timers, [&id](const auto &timer) { return timer.second == id; });
    table.jobsWithWaitingTasks.erase(id);
    table.jobs.erase(found);
    return records;
}

void releaseTasks(job_table &table, const job_id &id)
{
    const auto found = table.jobs.find(id);
    if (found == table.jobs.end())
        return;
    found->second.occurrences.clear();
    std::vector<step_spec>().swap(found->second.spec.steps);
    std::string().swap(found->second.spec.payload);
}

bool apply(job_table &table, const journal_record &record)
{
    const bool applied = applyByKind(table, record);
    const auto job = applied ? table.jobs.find(record.task.job) : table.jobs.end();
    if (job != table.jobs.end())
        ++job->second.records;
    return applied;
}

bool isReady(const job_state &jobState, const occurrence_state &occurrence, std::uint32_t step)
{
    const auto &after = jobState.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
        return occurrence.steps[earlier].done == occurrence.steps[earlier].tasks.size();
    });
}

const task_state *findTask(const job_table &table, const task_name &name)
{
    return locate(const_cast<job_table &>(table), name).task;
}

const step_spec *findStep(const job_table &table, const task_name &name)
{
    return locate(const_cast<job_table &>(table), name).spec;
}

std::string checkpointOf(const job_table &table, const task_name &name)
{
    const located_task place = locate(const_cast<job_table &>(table), name);
    if (!place.task)
        return {};
    return place.spec->gang ? place.step->gangCheckpoint.resumed : place.task->checkpoint;
}

std::uint32_t assignedRun(const job_table &table, std::string_view worker, const task_name &name)
{
    const auto load = table.loads.find(worker);
    if (load == table.loads.end())
        return 0;
    const auto run = load->second.runs.find(name);
    return run == load->second.runs.end() ? 0 : run->second;
}

bool countsIfDone(const job_table &table, const task_name &name, std::uint32_t run)
{
    return countsLate(locate(const_cast<job_table &>(table), name), run);
}

std::vector<journal_record> recordMoves(const job_table &table, std::string_view from, const std::string &to)
{
    std::vector<journal_record> records;
    const auto load = table.loads.find(from);
    if (load == table.loads.end())
        return records;
    for (const auto &[task, run] : load->second.runs) {
        journal_record &record = records.emplace_back();
        record.kind = record_kind::moved;
        record.task = task;
        record.run = run;
        record.worker = to;
    }
    return records;
}

} // namespace almond::jobs
