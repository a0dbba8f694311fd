#include "jobs/ledger.h"

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

void openOccurrence(ledger &book, job_state &owner, std::uint32_t number)
{
    if (number >= occurrenceCount(owner.spec) || owner.occurrences.contains(number))
        return;
    occurrence_state &opened = owner.occurrences[number];
    opened.steps.resize(owner.spec.steps.size());
    for (std::size_t index = 0; index < opened.steps.size(); ++index) {
        const std::uint32_t count = owner.spec.steps[index].count;
        opened.steps[index].tasks.resize(count);
        opened.steps[index].waiting = count;
        owner.waiting += count;
    }
    if (!isFinal(owner.status))
        book.withWaiting.insert(owner.spec.id);
}

//! A mutable view of one task with everything around it; all null for a name that does not exist.
struct located_task
{
    job_state *owner = nullptr;
    occurrence_state *occurrence = nullptr;
    step_state *step = nullptr;
    task_state *task = nullptr;
    const step_spec *spec = nullptr;
};

located_task locate(ledger &book, const task_name &name)
{
    const auto found = book.jobs.find(name.job);
    if (found == book.jobs.end() || name.step >= found->second.spec.steps.size())
        return {};
    job_state &owner = found->second;
    const auto occurrence = owner.occurrences.find(name.occurrence);
    if (occurrence == owner.occurrences.end())
        return {};
    step_state &step = occurrence->second.steps[name.step];
    if (name.index >= step.tasks.size())
        return {};
    return {&owner, &occurrence->second, &step, &step.tasks[name.index], &owner.spec.steps[name.step]};
}

void addLoad(ledger &book, const std::string &worker, const task_name &name, std::uint32_t run,
             const step_spec &spec)
{
    worker_load &load = book.loads[worker];
    resources firm = spec.demand;
    if (spec.fills) {
        load.fillMillicores += firm.millicores;
        load.fillingByImage[spec.image] += firm.millicores;
        firm.millicores = 0;
    }
    if (spec.lasting)
        load.servingMillicores += firm.millicores;
    if (spec.lasting && spec.tailTarget.count() > 0)
        load.serving[name] = spec.image;
    load.firm = load.firm + firm;
    load.runs[name] = run;
}

void removeLoad(ledger &book, const std::string &worker, const task_name &name, const step_spec &spec)
{
    const auto found = book.loads.find(worker);
    if (found == book.loads.end() || found->second.runs.erase(name) == 0)
        return;
    worker_load &load = found->second;
    resources firm = spec.demand;
    if (spec.fills) {
        load.fillMillicores -= firm.millicores;
        load.fillingByImage[spec.image] -= firm.millicores;
        firm.millicores = 0;
    }
    if (spec.lasting)
        load.servingMillicores -= firm.millicores;
    load.serving.erase(name);
    load.firm = load.firm - firm;
    if (load.runs.empty())
        book.loads.erase(found);
}

void updateWaiting(ledger &book, job_state &owner)
{
    if (owner.waiting > 0 && !isFinal(owner.status))
        book.withWaiting.insert(owner.spec.id);
    else
        book.withWaiting.erase(owner.spec.id);
}

bool applyStarted(ledger &book, const ledger_record &record)
{
    const auto owner = book.jobs.find(record.task.job);
    if (owner != book.jobs.end())
        openOccurrence(book, owner->second, record.task.occurrence);
    const located_task place = locate(book, record.task);
    if (!place.task || place.task->phase != task_phase::waiting || record.run <= place.task->run)
        return false;
    place.task->phase = task_phase::assigned;
    place.task->run = record.run;
    place.task->worker = record.worker;
    --place.step->waiting;
    --place.owner->waiting;
    ++place.owner->assigned;
    if (place.owner->status == job_status::queued)
        place.owner->status = job_status::running;
    addLoad(book, record.worker, record.task, record.run, *place.spec);
    updateWaiting(book, *place.owner);
    return true;
}

void finishTask(const located_task &place)
{
    place.task->phase = task_phase::done;
    place.task->checkpoint.clear();
    if (++place.step->done < place.step->tasks.size())
        return;
    if (++place.occurrence->stepsDone < place.occurrence->steps.size())
        return;
    if (++place.owner->occurrencesDone == occurrenceCount(place.owner->spec) && !isFinal(place.owner->status))
        place.owner->status = job_status::completed;
}

void release(ledger &book, const located_task &place, const task_name &name)
{
    removeLoad(book, place.task->worker, name, *place.spec);
    place.task->worker.clear();
    --place.owner->assigned;
}

//! One member that ended well stands for its whole gang.
void finishGang(ledger &book, const located_task &place, const task_name &name)
{
    task_name member = name;
    for (member.index = 0; member.index < place.step->tasks.size(); ++member.index) {
        const located_task other = locate(book, member);
        if (other.task->phase == task_phase::done)
            continue;
        if (other.task->phase == task_phase::assigned) {
            release(book, other, member);
        } else {
            --other.step->waiting;
            --other.owner->waiting;
        }
        finishTask(other);
    }
}

//! Members of one run may fail together; the gang has failed once.
void noteGangFailure(step_state &step, std::uint32_t run)
{
    step.failedRuns += run > step.lastFailedRun ? 1 : 0;
    step.lastFailedRun = std::max(step.lastFailedRun, run);
}

bool applyEnded(ledger &book, const ledger_record &record)
{
    const located_task place = locate(book, record.task);
    if (!place.task || place.task->phase != task_phase::assigned || record.run != place.task->run)
        return false;
    const bool finished = record.end == run_end::done && !place.spec->lasting;
    if (finished && place.spec->gang) {
        finishGang(book, place, record.task);
    } else {
        release(book, place, record.task);
        if (finished) {
            finishTask(place);
        } else {
            place.task->phase = task_phase::waiting;
            place.task->failures += record.end == run_end::failed ? 1 : 0;
            if (record.end == run_end::failed && place.spec->gang)
                noteGangFailure(*place.step, record.run);
            place.task->interrupted = place.task->interrupted || record.end != run_end::notStarted;
            if (!record.checkpoint.empty())
                place.task->checkpoint = record.checkpoint;
            ++place.step->waiting;
            ++place.owner->waiting;
        }
    }
    updateWaiting(book, *place.owner);
    return true;
}

bool endJob(ledger &book, std::string_view id, job_status status)
{
    const auto found = book.jobs.find(id);
    if (found == book.jobs.end() || isFinal(found->second.status))
        return false;
    found->second.status = status;
    std::erase_if(book.timers, [id](const auto &timer) { return timer.second == id; });
    updateWaiting(book, found->second);
    return true;
}

} // namespace

bool isFinal(job_status status)
{
    return status == job_status::completed || status == job_status::failed || status == job_status::cancelled;
}

void addJob(ledger &book, job accepted)
{
    const std::string id = accepted.id;
    const auto [place, inserted] = book.jobs.try_emplace(id);
    if (!inserted)
        return;
    place->second.spec = std::move(accepted);
    if (place->second.spec.repetitions > 0)
        book.timers.emplace(place->second.spec.firstDueMs, id);
    else
        openOccurrence(book, place->second, 0);
}

void openDueOccurrences(ledger &book, time_point unixNow)
{
    while (!book.timers.empty() && book.timers.begin()->first <= kernel::toMillis(unixNow)) {
        const auto [due, id] = *book.timers.begin();
        book.timers.erase(book.timers.begin());
        job_state &owner = book.jobs.find(id)->second;
        std::uint32_t number = 0;
        while (number < occurrenceCount(owner.spec) && dueMs(owner.spec, number) <= kernel::toMillis(unixNow))
            openOccurrence(book, owner, number++);
        if (number < occurrenceCount(owner.spec))
            book.timers.emplace(dueMs(owner.spec, number), id);
    }
}

bool cancelJob(ledger &book, std::string_view id)
{
    return endJob(book, id, job_status::cancelled);
}

bool apply(ledger &book, const ledger_record &record)
{
    switch (record.kind) {
    case record_kind::started:
        return applyStarted(book, record);
    case record_kind::ended:
        return applyEnded(book, record);
    case record_kind::gaveUp:
        return endJob(book, record.task.job, job_status::failed);
    case record_kind::leaseHandedOver:
        book.handedLeases[record.worker] = {record.term, record.leaseLeft};
        return true;
    }
    return false;
}

bool isReady(const job_state &owner, const occurrence_state &occurrence, std::uint32_t step)
{
    const auto &after = owner.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
        return occurrence.steps[earlier].done == occurrence.steps[earlier].tasks.size();
    });
}

const task_state *findTask(const ledger &book, const task_name &name)
{
    return locate(const_cast<ledger &>(book), name).task;
}

const step_spec *findStep(const ledger &book, const task_name &name)
{
    return locate(const_cast<ledger &>(book), name).spec;
}

std::uint32_t assignedRun(const ledger &book, std::string_view worker, const task_name &name)
{
    const auto load = book.loads.find(worker);
    if (load == book.loads.end())
        return 0;
    const auto run = load->second.runs.find(name);
    return run == load->second.runs.end() ? 0 : run->second;
}

json encodeRecord(const ledger_record &record)
{
    switch (record.kind) {
    case record_kind::started:
        return json::array({"started", formatTask(record.task), record.run, record.worker});
    case record_kind::ended:
        return json::array(
            {"ended", formatTask(record.task), record.run, static_cast<int>(record.end), record.checkpoint});
    case record_kind::leaseHandedOver:
        return json::array({"leaseHandedOver", record.worker, record.leaseLeft.count(), record.term});
    case record_kind::gaveUp:
        break;
    }
    return json::array({"gaveUp", record.task.job});
}

ledger_record decodeRecord(const json &in)
{
    ledger_record record;
    const std::string kind = in.at(0);
    if (kind == "gaveUp") {
        record.kind = record_kind::gaveUp;
        record.task.job = in.at(1);
        return record;
    }
    if (kind == "leaseHandedOver") {
        record.kind = record_kind::leaseHandedOver;
        record.worker = in.at(1);
        record.leaseLeft = milliseconds(in.at(2).get<std::int64_t>());
        record.term = in.at(3);
        return record;
    }
    const auto name = parseTask(in.at(1).get<std::string>());
    if (!name || (kind != "started" && kind != "ended"))
        throw std::invalid_argument("malformed record " + in.dump());
    record.task = *name;
    record.run = in.at(2);
    if (kind == "started") {
        record.worker = in.at(3);
        return record;
    }
    record.kind = record_kind::ended;
    record.end = static_cast<run_end>(in.at(3).get<int>());
    record.checkpoint = in.at(4);
    return record;
}

} // namespace almond::jobs
