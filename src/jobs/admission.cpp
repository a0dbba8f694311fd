#include "jobs/admission.h"

#include "jobs/decay.h"
#include "jobs/lateness.h"
#include "jobs/planner.h"

#include <algorithm>
#include <iterator>

namespace almond::jobs {

namespace {

//! No job is accepted while what waits takes longer than this multiple of its objective.
constexpr int backlogObjectives = 2;

declared_work workOf(const step_spec &spec)
{
    return static_cast<double>(spec.demand.millicores) * static_cast<double>(spec.declaredDuration.count());
}

bool isBestEffortBatch(const step_spec &spec)
{
    return spec.bestEffort && !spec.longRunning;
}

//! Returns the average rate at which work was done, in millicores.
double rateOf(const work_meter &meter, const admission_rules &rules, time_point now)
{
    if (meter.startedAt == time_point{})
        return 0.0;
    const double weight = 1.0 - decayFactor(meter.startedAt, now, rules.throughputWindow);
    if (weight <= 0.0)
        return 0.0;
    const double done = meter.done * decayFactor(meter.updatedAt, now, rules.throughputWindow);
    return done / (weight * static_cast<double>(rules.throughputWindow.count()));
}

void addWork(work_meter &meter, const admission_rules &rules, declared_work work, time_point now)
{
    if (meter.startedAt == time_point{})
        meter.startedAt = now;
    meter.done = meter.done * decayFactor(meter.updatedAt, now, rules.throughputWindow) + work;
    meter.updatedAt = now;
}

milliseconds timeFor(declared_work work, double rate)
{
    constexpr double longestMs = 3.6e6;
    return milliseconds(static_cast<std::int64_t>(std::min(work / std::max(rate, 1.0), longestMs)));
}

//! Returns what to expect where \a work is done at \a rate, in millicores.
wait_estimate estimate(const waiting_work &work, const admission_rules &rules, double rate)
{
    const declared_work before = work.ready + std::min(work.later, work.ready * rules.laterWorkFactor);
    return {timeFor(before, rate), timeFor(work.ready + work.later + work.late, rate)};
}

wait_estimate waitFor(const std::map<int, wait_estimate> &waits, int priority)
{
    const auto after = waits.upper_bound(priority);
    return after == waits.begin() ? wait_estimate{} : std::prev(after)->second;
}

//! CPU that batch tasks with guaranteed resources have or could have: pieces that are too small for the tasks
//! that wait don't count.
double batchMillicores(const guaranteed_load &load)
{
    std::int64_t millicores = load.assignedMillicores;
    if (load.readyTasks > 0) {
        const resources mean{load.readyDemand.millicores / load.readyTasks,
                             load.readyDemand.memoryMb / load.readyTasks,
                             load.readyDemand.accelerators / load.readyTasks};
        for (const resources &free : load.free)
            millicores += placesFor(free, mean) * mean.millicores;
    }
    return static_cast<double>(millicores);
}

waiting_work operator+(const waiting_work &left, const waiting_work &right)
{
    return {left.ready + right.ready, left.later + right.later, left.late + right.late};
}

service_waits waitsOf(const service_load &load, const service_throughput &throughput,
                      const admission_rules &rules, time_point now)
{
    constexpr double whole = 100.0;
    const double least = static_cast<double>(load.bestEffortMillicores) * rules.leastUsePercent / whole;
    std::map<int, waiting_work> byPriority;
    service_waits waits;
    std::string image;
    waiting_work ofImage;
    for (const auto &[key, work] : load.waiting) {
        byPriority[key.second] = byPriority[key.second] + work;
        if (key.first != image)
            ofImage = {};
        image = key.first;
        ofImage = ofImage + work;
        const auto meter = throughput.byImage.find(image);
        const double rate = meter == throughput.byImage.end() ? 0.0 : rateOf(meter->second, rules, now);
        waits.byImage[key] = estimate(ofImage, rules, rate);
    }
    waiting_work ahead;
    const double rate = std::max(rateOf(throughput.all, rules, now), least);
    for (const auto &[priority, work] : byPriority) {
        ahead = ahead + work;
        waits.all[priority] = estimate(ahead, rules, rate);
    }
    waiting_work guaranteedAhead;
    const double guaranteedRate = std::max(rateOf(throughput.guaranteed, rules, now),
                                           batchMillicores(load.guaranteed) * rules.leastUsePercent / whole);
    for (const auto &[priority, work] : load.guaranteed.waiting) {
        guaranteedAhead = guaranteedAhead + work;
        waits.guaranteed[priority] = estimate(guaranteedAhead, rules, guaranteedRate);
    }
    waits.free = load.guaranteed.free;
    return waits;
}

//! Adds the tasks of the step \a spec of \a jobState that wait.
void addWaitingTasks(service_load &load, int priority, const step_spec &spec, std::uint32_t waiting,
                     lateness expected, bool ready)
{
    const bool isLate = expected != lateness::inTime;
    if (isLate && (!spec.requiredLabel.empty() || !fits(spec.demand, load.largestWorker)))
        return;
    const bool isGuaranteed = isGuaranteedBatch(spec);
    const bool fitsAnywhere = spec.requiredLabel.empty() && fits(spec.demand, load.largestWorker);
    if (isGuaranteed && (expected == lateness::farTooLate || !fitsAnywhere))
        return;
    waiting_work &work
        = isGuaranteed ? load.guaranteed.waiting[priority] : load.waiting[{spec.image, priority}];
    (isLate ? work.late : ready ? work.ready : work.later) += workOf(spec) * waiting;
    if (isGuaranteed && ready) {
        resources &sum = load.guaranteed.readyDemand;
        sum.millicores += spec.demand.millicores * waiting;
        sum.memoryMb += spec.demand.memoryMb * waiting;
        sum.accelerators += spec.demand.accelerators * waiting;
        load.guaranteed.readyTasks += waiting;
    }
}

} // namespace

void recordDoneWork(service_throughputs &throughputs, const admission_rules &rules, const job_table &table,
                    const fleet_config &config, std::span<const journal_record> records, time_point now)
{
    for (const journal_record &record : records) {
        if (record.kind != record_kind::ended || record.end != run_end::done)
            continue;
        const step_spec *spec = findStep(table, record.task);
        if (!spec || spec->longRunning)
            continue;
        const auto queue = config.queues.find(table.jobs.find(record.task.job)->second.spec.queue);
        if (queue == config.queues.end())
            continue;
        service_throughput &throughput = throughputs[queue->second.service];
        if (isGuaranteedBatch(*spec)) {
            addWork(throughput.guaranteed, rules, workOf(*spec), now);
            continue;
        }
        addWork(throughput.all, rules, workOf(*spec), now);
        addWork(throughput.byImage[spec->image], rules, workOf(*spec), now);
    }
}

void forgetIdleImages(service_throughputs &throughputs, const admission_rules &rules, time_point now)
{
    // By then the average has fallen below a thousandth.
    constexpr int windowsKept = 7;
    for (auto &[service, throughput] : throughputs) {
        std::erase_if(throughput.byImage, [&](const auto &entry) {
            return now - entry.second.updatedAt > rules.throughputWindow * windowsKept;
        });
    }
}

void addWorker(service_load &service, const worker_info &worker, const worker_load *load)
{
    service.bestEffortMillicores += bestEffortCapacity(worker, load);
    resources &largest = service.largestWorker;
    largest.millicores = std::max(largest.millicores, worker.capacity.millicores);
    largest.memoryMb = std::max(largest.memoryMb, worker.capacity.memoryMb);
    largest.accelerators = std::max(largest.accelerators, worker.capacity.accelerators);
}

void addFreeCapacity(service_load &service, const worker_info &worker, const worker_load *load)
{
    const resources free = load ? worker.capacity - load->guaranteed : worker.capacity;
    if (free.millicores > 0 && free.memoryMb > 0)
        service.guaranteed.free.push_back(free);
}

void addWaitingWork(service_loads &loads, const job_table &table, const fleet_config &config,
                    time_point unixNow)
{
    for (const job_id &id : table.jobsWithWaitingTasks) {
        const job_state &jobState = table.jobs.find(id)->second;
        const auto queue = config.queues.find(jobState.spec.queue);
        if (queue == config.queues.end())
            continue;
        service_load &load = loads[queue->second.service];
        for (const auto &[number, occurrence] : jobState.occurrences) {
            const lateness expected = latenessOf(jobState, number, queue->second, unixNow);
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const step_spec &spec = jobState.spec.steps[step];
                const std::uint32_t waiting = occurrence.steps[step].waiting;
                if (waiting > 0 && !spec.longRunning)
                    addWaitingTasks(load, queue->second.priority, spec, waiting, expected,
                                    isReady(jobState, occurrence, step));
            }
        }
    }
    for (const auto &[name, assigned] : table.assignedBatch) {
        const auto queue = config.queues.find(name);
        if (queue != config.queues.end())
            loads[queue->second.service].guaranteed.assignedMillicores += assigned.demand.millicores;
    }
}

expected_waits expectedWaits(const service_loads &loads, const service_throughputs &throughputs,
                             const admission_rules &rules, time_point now)
{
    expected_waits waits;
    for (const auto &[service, load] : loads) {
        const auto known = throughputs.find(service);
        waits[service]
            = waitsOf(load, known == throughputs.end() ? service_throughput{} : known->second, rules, now);
    }
    return waits;
}

wait_estimate expectedWait(const expected_waits &waits, std::string_view service, int priority,
                           const std::string &image)
{
    const auto known = waits.find(service);
    if (known == waits.end())
        return {};
    // Work of lower priorities does not count.
    const service_waits &found = known->second;
    const auto same = found.byImage.upper_bound({image, priority});
    if (same == found.byImage.begin() || std::prev(same)->first.first != image)
        return {};
    const wait_estimate behindAll = waitFor(found.all, priority);
    const wait_estimate &behindSame = std::prev(same)->second;
    return {std::min(behindAll.wait, behindSame.wait), std::min(behindAll.backlog, behindSame.backlog)};
}

wait_estimate expectedWait(const expected_waits &waits, std::string_view service, int priority,
                           const guaranteed_step &step)
{
    const auto known = waits.find(service);
    if (known == waits.end())
        return {};
    const wait_estimate expected = waitFor(known->second.guaranteed, priority);
    if (expected.backlog.count() == 0 && expected.wait.count() == 0)
        return expected;
    std::int64_t places = 0;
    for (const resources &free : known->second.free) {
        places += placesFor(free, step.demand);
        if (places >= step.tasks)
            return {};
    }
    return expected;
}

wait_estimate longest(const wait_estimate &left, const wait_estimate &right)
{
    return {std::max(left.wait, right.wait), std::max(left.backlog, right.backlog)};
}

std::set<std::string> bestEffortImages(const job &candidate)
{
    std::set<std::string> images;
    for (const step_spec &step : candidate.steps) {
        if (isBestEffortBatch(step))
            images.insert(step.image);
    }
    return images;
}

std::vector<guaranteed_step> guaranteedSteps(const job &candidate)
{
    std::vector<guaranteed_step> steps;
    for (const step_spec &step : candidate.steps) {
        if (isGuaranteedBatch(step))
            steps.push_back({step.demand, step.count});
    }
    return steps;
}

bool dependsOnWait(const job &candidate)
{
    // Scheduled occurrences are due later, when the wait may be another one.
    return candidate.repetitions == 0
        && std::any_of(candidate.steps.begin(), candidate.steps.end(),
                       [](const step_spec &step) { return !step.longRunning; });
}

std::optional<milliseconds> rejectionOf(const job &candidate, const queue_rules &queue,
                                        const admission_rules &rules, wait_estimate expected)
{
    constexpr int whole = 100;
    if (!dependsOnWait(candidate))
        return std::nullopt;
    const milliseconds objective = completionObjective(candidate, queue);
    const milliseconds spare = objective - criticalPath(candidate, nullptr);
    const milliseconds longestWait = std::max(spare * rules.waitPercent / whole, rules.acceptableWait);
    const milliseconds longestBacklog = std::max(objective * backlogObjectives, rules.acceptableWait);
    const milliseconds excess = std::max(expected.wait - longestWait, expected.backlog - longestBacklog);
    return excess > milliseconds(0) ? std::optional(excess) : std::nullopt;
}

} // namespace almond::jobs
