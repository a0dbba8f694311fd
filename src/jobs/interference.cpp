#include "jobs/interference.h"

#include "jobs/serving_tails.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace almond::jobs {

namespace {

//! A best-effort run beside a serving task.
struct best_effort_run
{
    const running_report *report = nullptr;
    const step_spec *spec = nullptr;
    image_number image = 0;
    //! Cores in use, and cores that it would use without a throttle, in the units of the model.
    double usedCores = 0.0;
    double demandedCores = 0.0;
};

//! The serving task with the least slack.
struct tightest_task
{
    double slack = 0.0;
    image_number image = 0;
};

std::optional<image_number> findImageNumber(const interference_model &model, std::string_view image)
{
    const auto known = model.numbers.find(image);
    return known == model.numbers.end() ? std::nullopt : std::optional(known->second);
}

std::optional<image_number> imageOf(const interference_model &model, const listed_run &run)
{
    return run.image ? run.image : findImageNumber(model, run.spec->image);
}

std::vector<best_effort_run> bestEffortRuns(const interference_model &model, const resources &capacity,
                                            std::span<const listed_run> runs)
{
    std::vector<best_effort_run> rows;
    rows.reserve(runs.size());
    for (const listed_run &run : runs) {
        if (!isBestEffort(run.spec))
            continue;
        if (const auto image = imageOf(model, run))
            rows.push_back({run.report, run.spec, *image, modelCores(run.report->measurement, capacity),
                            modelCores(run.spec->demand.millicores, capacity)});
    }
    return rows;
}

void addCores(cores_by_image &cores, image_number image, double amount)
{
    const auto place
        = std::lower_bound(cores.begin(), cores.end(), image,
                           [](const auto &entry, image_number key) { return entry.first < key; });
    if (place != cores.end() && place->first == image)
        place->second += amount;
    else
        cores.emplace(place, image, amount);
}

double slackOf(const step_spec &spec, const running_report &row, const interference_rules &rules)
{
    const double slack
        = static_cast<double>(spec.tailLatencyTarget.count()) / static_cast<double>(row.measurement);
    return std::min(slack, rules.largestSlack);
}

int currentPercent(const throttle_state &throttle, const running_report &row)
{
    return throttlePercent(throttle, row.task, row.run);
}

tightest_task findTightest(const interference_model &model, const interference_rules &rules,
                           std::span<const listed_run> runs)
{
    tightest_task tightest{rules.largestSlack, 0};
    for (const listed_run &run : runs) {
        if (!isServing(run.spec) || run.report->measurement <= 0)
            continue;
        const double slack = slackOf(*run.spec, *run.report, rules);
        if (slack >= tightest.slack)
            continue;
        if (const auto image = imageOf(model, run))
            tightest = {slack, *image};
    }
    return tightest;
}

//! Collects changes of CPU limits on one worker that bring the slack of its tightest serving task closer to
//! the target.
struct throttle_change
{
    throttle_state &throttle;
    const interference_model &model;
    const interference_rules &rules;
    const tightest_task &tightest;
    const worker_session &session;
    time_point now;
    std::vector<unwanted_run> moves;
    bool isChanged = false;

    //! Slack that the neighbour would take from the tightest task without a throttle.
    double fullCost(const best_effort_run &neighbour) const
    {
        const double cores = std::max(neighbour.usedCores, neighbour.demandedCores / 2);
        return cores * slackPerCore(model, rules.learning, tightest.image, neighbour.image);
    }

    void setPercent(const running_report &row, int percent)
    {
        if (currentPercent(throttle, row) == percent)
            return;
        throttle.percentByRun[{row.task, row.run}] = percent;
        isChanged = true;
    }

    bool mayMove(const best_effort_run &neighbour) const
    {
        const running_report &row = *neighbour.report;
        const auto accepted = session.acceptedRuns.find(row.task);
        if (neighbour.spec->gang || row.run >= rules.maxRunsToMove || accepted == session.acceptedRuns.end())
            return false;
        const milliseconds elapsed = now - accepted->second.second;
        return static_cast<double>(elapsed.count())
            < rules.moveBelowProgress * static_cast<double>(neighbour.spec->declaredDuration.count());
    }

    //! The order to stop the run counts as its suspension, which follows if the run goes on.
    void move(const running_report &row)
    {
        setPercent(row, 0);
        limit_order &order = throttle.orders[{row.task, row.run}];
        order.percent = 0;
        order.acceptedAt = time_point{};
        order.sentAt = now;
        order.awaitsResponse = true;
        moves.push_back({row.task, row.run});
    }

    //! Moves or throttles neighbours, beginning with the one that costs the most slack, until the missing
    //! slack is regained.
    void throttleOrMove(std::vector<best_effort_run> neighbours)
    {
        std::sort(neighbours.begin(), neighbours.end(),
                  [this](const best_effort_run &left, const best_effort_run &right) {
                      return fullCost(left) > fullCost(right);
                  });
        double missing = rules.targetSlack - tightest.slack;
        for (const best_effort_run &neighbour : neighbours) {
            const double cost = fullCost(neighbour);
            if (missing <= 0.0 || cost < rules.negligibleSlack)
                return;
            const int present = currentPercent(throttle, *neighbour.report);
            const double taken = cost * present / 100.0;
            const double kept = taken > missing ? 1.0 - missing / taken : 0.0;
            if (present > 0 && mayMove(neighbour))
                move(*neighbour.report);
            else
                setPercent(*neighbour.report, static_cast<int>(present * kept));
            missing -= taken;
        }
    }

    void suspendAll(std::span<const best_effort_run> neighbours)
    {
        for (const best_effort_run &neighbour : neighbours)
            setPercent(*neighbour.report, 0);
    }

    //! Frees the suspended neighbour that costs the least slack; the measurements that follow decide about
    //! it.
    void tryOne(std::span<const best_effort_run> neighbours)
    {
        const best_effort_run *cheapest = nullptr;
        for (const best_effort_run &neighbour : neighbours) {
            const bool suspended = currentPercent(throttle, *neighbour.report) == 0;
            if (suspended && (!cheapest || fullCost(neighbour) < fullCost(*cheapest)))
                cheapest = &neighbour;
        }
        if (cheapest)
            setPercent(*cheapest->report, 100);
    }

    //! Raises the CPU limits of neighbours, beginning with the one that costs the least slack, as far as the
    //! slack allows.
    void unthrottle(std::vector<best_effort_run> neighbours)
    {
        std::sort(neighbours.begin(), neighbours.end(),
                  [this](const best_effort_run &left, const best_effort_run &right) {
                      return fullCost(left) < fullCost(right);
                  });
        double free = tightest.slack - rules.targetSlack;
        for (const best_effort_run &neighbour : neighbours) {
            const int present = currentPercent(throttle, *neighbour.report);
            if (present >= 100)
                continue;
            const double cost = std::max(fullCost(neighbour), 1e-6);
            const int more = static_cast<int>(std::min(100.0, 100.0 * free / cost));
            if (more <= 0)
                return;
            setPercent(*neighbour.report, std::min(100, present + more));
            free -= cost * std::min(more, 100 - present) / 100.0;
        }
    }
};

void pruneEnded(throttle_state &throttle, std::span<const best_effort_run> present)
{
    if (throttle.percentByRun.empty() && throttle.orders.empty() && throttle.inheritedSince.empty())
        return;
    const auto hasEnded = [present](const auto &entry) {
        return std::none_of(present.begin(), present.end(), [&entry](const best_effort_run &neighbour) {
            return neighbour.report->run == entry.first.second && neighbour.report->task == entry.first.first;
        });
    };
    std::erase_if(throttle.percentByRun, hasEnded);
    std::erase_if(throttle.orders, hasEnded);
    std::erase_if(throttle.inheritedSince, hasEnded);
}

//! Takes over the limits of runs that an earlier owner has started, as far as their CPU usage shows them.
//! That of a run that has just begun shows nothing yet.
void adoptInheritedLimits(throttle_state &throttle, const interference_rules &rules,
                          const worker_session &session, std::span<const best_effort_run> neighbours,
                          time_point now)
{
    constexpr double unlimitedUsage = 0.9;
    for (const best_effort_run &neighbour : neighbours) {
        const running_report &row = *neighbour.report;
        if (isStartedHere(session, row))
            continue;
        const run_key run(row.task, row.run);
        if (throttle.orders.contains(run))
            continue;
        const time_point listedAt = throttle.inheritedSince.try_emplace(run, now).first->second;
        const double usage = neighbour.usedCores / std::max(neighbour.demandedCores, 1e-6);
        if (now - listedAt < rules.limitEffectTime || usage >= unlimitedUsage)
            continue;
        if (usage <= rules.usageTolerance) {
            throttle.percentByRun[run] = 0;
            throttle.orders[run].percent = 0;
            throttle.orders[run].acceptedAt = now;
        } else if (!isTargetMissed(throttle)) {
            // It may be limited, or have no more CPU to itself.
            throttle.orders[run] = {};
        }
    }
}

//! Makes the limits due again that are not in force, as the CPU usage of the runs shows, or that an order
//! without a response may change when it is carried out.
limit_faults verifyLimits(throttle_state &throttle, const interference_rules &rules,
                          std::span<const best_effort_run> neighbours, time_point now)
{
    limit_faults faults;
    if (throttle.orders.empty())
        return faults;
    for (const best_effort_run &neighbour : neighbours) {
        const auto known = throttle.orders.find({neighbour.report->task, neighbour.report->run});
        if (known == throttle.orders.end())
            continue;
        limit_order &order = known->second;
        if (order.acceptedAt == time_point{} || now - order.acceptedAt < rules.limitEffectTime)
            continue;
        const double permitted = (order.percent / 100.0 + rules.usageTolerance) * neighbour.demandedCores;
        const bool exceeded = neighbour.usedCores > permitted;
        const bool suspended = order.percent > 0 && neighbour.usedCores <= 0.0;
        const bool uncertain
            = order.unansweredAt != time_point{} && now - order.unansweredAt < rules.lateOrderTime;
        if (exceeded || suspended || uncertain)
            order.acceptedAt = time_point{};
        faults.tooHigh += exceeded ? 1 : 0;
        faults.tooLow += suspended ? 1 : 0;
    }
    return faults;
}

//! Whether the run may be at work: it is unless its suspension is in force.
bool mayWork(const throttle_state &throttle, const running_report &row)
{
    const auto order = throttle.orders.find({row.task, row.run});
    return order == throttle.orders.end() || order->second.percent > 0
        || order->second.acceptedAt == time_point{};
}

bool isAnyAtWork(const throttle_state &throttle, std::span<const best_effort_run> neighbours)
{
    if (throttle.orders.empty())
        return !neighbours.empty();
    return std::any_of(neighbours.begin(), neighbours.end(), [&throttle](const best_effort_run &neighbour) {
        return mayWork(throttle, *neighbour.report);
    });
}

std::vector<throttle_order> dueOrders(throttle_state &throttle, std::span<const best_effort_run> neighbours,
                                      time_point now)
{
    std::vector<throttle_order> due;
    if (throttle.orders.empty() && throttle.percentByRun.empty())
        return due;
    for (const best_effort_run &neighbour : neighbours) {
        if (const auto order
            = nextThrottleOrder(throttle, {neighbour.report->task, neighbour.report->run}, now))
            due.push_back(*order);
    }
    return due;
}

} // namespace

double modelCores(std::int64_t millicores, const resources &capacity)
{
    constexpr double referenceMillicores = 32'000.0;
    constexpr double millicoresPerCore = 1000.0;
    const double scale
        = capacity.millicores > 0 ? referenceMillicores / static_cast<double>(capacity.millicores) : 1.0;
    return static_cast<double>(millicores) / millicoresPerCore * scale;
}

void learnFromReports(interference_model &model, throttle_state &throttle, const interference_rules &rules,
                      const resources &capacity, std::span<listed_run> runs, time_point now)
{
    cores_by_image cores;
    cores.reserve(runs.size());
    for (listed_run &run : runs) {
        if (!isBestEffort(run.spec))
            continue;
        run.image = numberOf(model, run.spec->image);
        addCores(cores, *run.image, modelCores(run.report->measurement, capacity));
    }
    throttle.unexplainedLoss.clear();
    for (listed_run &run : runs) {
        if (!isServing(run.spec))
            continue;
        const image_number image = numberOf(model, run.spec->image);
        run.image = image;
        const running_report &row = *run.report;
        if (row.measurement <= 0)
            continue;
        const double slack = slackOf(*run.spec, row, rules);
        const double expected = baselineSlack(model, rules.learning, row.task.job, now, milliseconds(0))
            - slackTaken(model, rules.learning, image, cores);
        if (expected - slack > rules.normalDeviation)
            throttle.unexplainedLoss[row.task] = expected - slack - rules.normalDeviation;
        if (slack > rules.smallestSlack)
            addSample(model, rules.learning, row.task.job, image, slack, cores, now);
    }
}

mitigation mitigate(throttle_state &throttle, const interference_model &model,
                    const interference_rules &rules, const worker_session &session,
                    std::span<const listed_run> runs, time_point now)
{
    const std::vector<best_effort_run> neighbours = bestEffortRuns(model, session.info.capacity, runs);
    pruneEnded(throttle, neighbours);
    adoptInheritedLimits(throttle, rules, session, neighbours, now);
    const limit_faults faults = verifyLimits(throttle, rules, neighbours, now);
    updateTails(throttle, rules, session, runs, isAnyAtWork(throttle, neighbours), now);
    const bool isNearBound = assessTargetMisses(throttle, rules, now);
    const bool settling = throttle.changedAt != time_point{} && now - throttle.changedAt < rules.settleTime;
    const bool isLimited = !throttle.percentByRun.empty();
    const tightest_task tightest = findTightest(model, rules, runs);
    throttle_change change{throttle, model, rules, tightest, session, now, {}, false};
    // A change that has not shown its effect yet must not delay suspension before the harm bound.
    if (isNearBound)
        change.suspendAll(neighbours);
    else if (!settling && isMissedFor(throttle, rules.throttleAfter, now))
        change.throttleOrMove(neighbours);
    else if (isLimited && !settling && tightest.slack > rules.unthrottleSlack
             && isRoomConfirmed(throttle, rules, runs))
        change.unthrottle(neighbours);
    else if (isLimited && now - std::max(throttle.changedAt, throttle.metSince) >= rules.trialInterval)
        change.tryOne(neighbours);
    if (change.isChanged)
        throttle.changedAt = now;
    return {dueOrders(throttle, neighbours, now), std::move(change.moves), faults};
}

bool isAtRest(const throttle_state &throttle)
{
    const bool hasLimits
        = !throttle.percentByRun.empty() || !throttle.orders.empty() || !throttle.inheritedSince.empty();
    return !hasLimits && throttle.tails.empty() && throttle.unexplainedLoss.empty() && !throttle.missedSince
        && throttle.metSince != time_point{};
}

std::vector<throttle_order> suspendBetweenPolls(throttle_state &throttle, const interference_rules &rules,
                                                const job_table &table, const worker_session &session,
                                                time_point now)
{
    if (!isTargetMissed(throttle) || !assessTargetMisses(throttle, rules, now))
        return {};
    // Runs accepted since the last poll are not listed yet.
    std::vector<running_report> running = session.running;
    for (const auto &[task, accepted] : session.acceptedRuns) {
        const std::uint32_t run = accepted.first;
        const bool listed = std::any_of(
            session.running.begin(), session.running.end(),
            [&task = task, run](const running_report &row) { return row.run == run && row.task == task; });
        if (!listed)
            running.push_back({task, run, "", 0, 0});
    }
    // The suspension needs no costs, which are unknown for an image that no list has shown yet.
    std::vector<best_effort_run> neighbours;
    for (const running_report &row : running) {
        const step_spec *spec = findStep(table, row.task);
        if (spec && spec->bestEffort)
            neighbours.push_back({&row, spec});
    }
    for (const best_effort_run &neighbour : neighbours) {
        int &percent = throttle.percentByRun.try_emplace({neighbour.report->task, neighbour.report->run}, 100)
                           .first->second;
        if (std::exchange(percent, 0) != 0)
            throttle.changedAt = now;
    }
    return dueOrders(throttle, neighbours, now);
}

} // namespace almond::jobs
