#include "standins/worker_state.h"

#include <algorithm>
#include <cmath>

namespace almond::standins {

using placement::attempt_outcome;
using placement::run_order;
using placement::sync_request;
using placement::sync_response;

namespace {

//! Longest time that counts as progress between two calls of advance(). A longer gap means that the process
//! was suspended, so no attempt ran.
constexpr double maximumStepMs = 200;
constexpr double defaultRunMs = 1000;
constexpr std::int64_t fullPercent = 100;

std::string encodeCheckpoint(const worker_task &task)
{
    return std::to_string(std::llround(task.progressMs));
}

json describeAttempt(const worker_state &worker, const attempt_id &id, const worker_task &task)
{
    return {{"worker", worker.id},
            {"incarnation", worker.incarnation},
            {"job", id.job},
            {"attempt", id.attempt},
            {"epoch", worker.epoch},
            {"millicores", task.order.spec.demand.millicores},
            {"memoryMb", task.order.spec.demand.memoryMb},
            {"accelerators", task.order.spec.demand.accelerators},
            {"progressMs", std::llround(task.progressMs)}};
}

void endAttempt(worker_state &worker, const attempt_id &id, worker_task &task, attempt_outcome outcome,
                time_point endedAt)
{
    task.running = false;
    task.outcome = outcome;
    json fields = describeAttempt(worker, id, task);
    fields["outcome"] = outcome;
    fields["endedAt"] = kernel::toMillis(endedAt);
    worker.sink("task-ended", std::move(fields));
}

double runDurationMs(const worker_task &task)
{
    return task.order.spec.payload.value("runMs", defaultRunMs);
}

bool mustFail(const worker_state &worker, const worker_task &task)
{
    return worker.failsEverything || task.order.spec.payload.value("failAlways", false);
}

void advanceAttempt(worker_state &worker, const attempt_id &id, worker_task &task, double stepMs,
                    time_point now)
{
    if (mustFail(worker, task)) {
        endAttempt(worker, id, task, attempt_outcome::failed, now);
        return;
    }
    task.progressMs += stepMs * static_cast<double>(task.throttlePercent) / static_cast<double>(fullPercent);
    const bool longRunning = task.order.spec.jobClass != placement::job_class::batch;
    if (!longRunning && task.progressMs >= runDurationMs(task))
        endAttempt(worker, id, task, attempt_outcome::done, now);
}

bool knowsSameOrLaterAttempt(const worker_state &worker, const attempt_id &id)
{
    const auto it = worker.tasks.lower_bound({id.job, id.attempt});
    return it != worker.tasks.end() && it->first.job == id.job;
}

void refuseStart(worker_state &worker, const run_order &order, std::string_view reason, time_point now)
{
    worker_task &task = worker.tasks[order.id];
    task.order = order;
    task.progressMs = order.checkpoint.empty() ? 0 : std::stod(order.checkpoint);
    json fields = describeAttempt(worker, order.id, task);
    fields["reason"] = reason;
    worker.sink("start-refused", std::move(fields));
    task.running = false;
    task.outcome = attempt_outcome::notStarted;
    static_cast<void>(now);
}

void startAttempt(worker_state &worker, const run_order &order, time_point now)
{
    if (knowsSameOrLaterAttempt(worker, order.id))
        return;
    if (kernel::toMillis(now) > order.startBeforeMs)
        return refuseStart(worker, order, "late", now);
    if (now > worker.leaseUntil)
        return refuseStart(worker, order, "no lease", now);
    const auto available = worker.capacity - runningDemand(worker);
    if (!placement::fits(order.spec.demand, available))
        return refuseStart(worker, order, "no room", now);
    worker_task &task = worker.tasks[order.id];
    task.order = order;
    task.progressMs = order.checkpoint.empty() ? 0 : std::stod(order.checkpoint);
    task.startedAt = now;
    json fields = describeAttempt(worker, order.id, task);
    fields["checkpoint"] = order.checkpoint;
    worker.sink("task-started", std::move(fields));
}

std::string refusalReason(const worker_state &worker, const sync_request &request)
{
    const bool idle = worker.tasks.empty();
    if (!worker.cell.empty() && worker.cell != request.cell && !idle)
        return "belongs to cell " + worker.cell;
    if (worker.cell == request.cell && request.epoch < worker.epoch)
        return "stale epoch";
    if (request.incarnation != worker.incarnation)
        return "another incarnation";
    const bool sameEpoch = worker.cell == request.cell && request.epoch == worker.epoch;
    if (sameEpoch && request.sequence <= worker.sequence)
        return "stale sequence";
    return {};
}

void applyRequest(worker_state &worker, const sync_request &request, time_point now)
{
    worker.cell = request.cell;
    worker.epoch = request.epoch;
    worker.sequence = request.sequence;
    worker.leaseUntil = std::max(worker.leaseUntil, kernel::fromMillis(request.leaseUntilMs));
    for (const attempt_id &id : request.acknowledge) {
        const auto found = worker.tasks.find(id);
        if (found != worker.tasks.end() && !found->second.running)
            worker.tasks.erase(found);
    }
    for (const attempt_id &id : request.publish) {
        const auto found = worker.tasks.find(id);
        if (found == worker.tasks.end() || found->second.running)
            continue;
        worker.sink("task-published", describeAttempt(worker, id, found->second));
        worker.tasks.erase(found);
    }
    for (const attempt_id &id : request.stop) {
        const auto found = worker.tasks.find(id);
        if (found != worker.tasks.end() && found->second.running)
            endAttempt(worker, id, found->second, attempt_outcome::evicted, now);
    }
    for (const placement::throttle_order &order : request.throttle) {
        const auto found = worker.tasks.find(order.id);
        if (found != worker.tasks.end())
            found->second.throttlePercent = order.percent;
    }
    for (const run_order &order : request.run)
        startAttempt(worker, order, now);
}

} // namespace

placement::resources runningDemand(const worker_state &worker)
{
    placement::resources total;
    for (const auto &[id, task] : worker.tasks) {
        if (task.running)
            total = total + task.order.spec.demand;
    }
    return total;
}

void advance(worker_state &worker, time_point now)
{
    const auto elapsedMs = static_cast<double>((now - worker.advancedAt).count());
    const double stepMs = std::clamp(elapsedMs, 0.0, maximumStepMs);
    const bool leaseExpired = now > worker.leaseUntil;
    worker.advancedAt = now;
    for (auto &[id, task] : worker.tasks) {
        if (!task.running)
            continue;
        if (leaseExpired)
            endAttempt(worker, id, task, attempt_outcome::lost, worker.leaseUntil);
        else
            advanceAttempt(worker, id, task, stepMs, now);
    }
}

sync_response handleSync(worker_state &worker, const sync_request &request, time_point now)
{
    advance(worker, now);
    sync_response response;
    response.refusal = refusalReason(worker, request);
    response.accepted = response.refusal.empty();
    if (response.accepted)
        applyRequest(worker, request, now);
    response.incarnation = worker.incarnation;
    response.capacity = worker.capacity;
    for (const auto &[id, task] : worker.tasks) {
        placement::attempt_report report{id, task.running, task.outcome, encodeCheckpoint(task), {}};
        if (now - task.startedAt >= worker.usageLag)
            report.usage = {task.order.spec.demand.millicores, task.order.spec.demand.memoryMb, 1.0};
        response.attempts.push_back(std::move(report));
    }
    return response;
}

void stopAll(worker_state &worker, time_point now)
{
    for (auto &[id, task] : worker.tasks) {
        if (task.running)
            endAttempt(worker, id, task, attempt_outcome::evicted, now);
    }
}

} // namespace almond::standins
