#include "jobs/interference.h"

#include <algorithm>
#include <optional>

namespace almond::jobs {

namespace {

//! A neighbour that fills.
struct filling_row
{
    const running_report *row = nullptr;
    const step_spec *spec = nullptr;
    image_number image = 0;
    //! Cores in use, and cores at full pace, as the model counts them.
    double used = 0.0;
    double wanted = 0.0;
};

//! The serving task that has the least slack.
struct tightest_task
{
    double slack = 0.0;
    image_number image = 0;
};

std::optional<image_number> knownNumber(const interference_model &model, std::string_view image)
{
    const auto known = model.numbers.find(image);
    return known == model.numbers.end() ? std::nullopt : std::optional(known->second);
}

std::vector<filling_row> fillingRows(const interference_model &model, const job_table &table,
                                     const resources &capacity, std::span<const running_report> running)
{
    std::vector<filling_row> rows;
    for (const running_report &row : running) {
        const step_spec *spec = findStep(table, row.task);
        if (!spec || !spec->bestEffort)
            continue;
        if (const auto image = knownNumber(model, spec->image))
            rows.push_back({&row, spec, *image, modelCores(row.measurement, capacity),
                            modelCores(spec->demand.millicores, capacity)});
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

bool serves(const step_spec *spec)
{
    return spec && spec->longRunning && spec->tailLatencyTarget.count() > 0;
}

double slackOf(const step_spec &spec, const running_report &row, const interference_rules &rules)
{
    const double slack
        = static_cast<double>(spec.tailLatencyTarget.count()) / static_cast<double>(row.measurement);
    return std::min(slack, rules.largestSlack);
}

int toldPercent(const throttle_state &throttle, const running_report &row)
{
    return throttlePercent(throttle, row.task, row.run);
}

tightest_task findTightest(const interference_model &model, const job_table &table,
                           const interference_rules &rules, std::span<const running_report> running)
{
    tightest_task tightest{rules.largestSlack, 0};
    for (const running_report &row : running) {
        const step_spec *spec = findStep(table, row.task);
        if (!serves(spec) || row.measurement <= 0)
            continue;
        const double slack = slackOf(*spec, row, rules);
        const auto image = knownNumber(model, spec->image);
        if (image && slack < tightest.slack)
            tightest = {slack, *image};
    }
    return tightest;
}

//! Changes the paces on one worker towards a slack.
struct throttle_change
{
    throttle_state &throttle;
    const interference_model &model;
    const interference_rules &rules;
    const tightest_task &tightest;
    const worker_session &session;
    time_point now;
    mitigation decided;

    //! Slack that the neighbour takes from the tightest task at full pace.
    double fullCost(const filling_row &neighbour) const
    {
        const double cores = std::max(neighbour.used, neighbour.wanted / 2);
        return cores * slackPerCore(model, rules.learning, tightest.image, neighbour.image);
    }

    void tell(const running_report &row, int percent)
    {
        if (toldPercent(throttle, row) == percent)
            return;
        throttle.percentByRun[{row.task, row.run}] = percent;
        decided.throttles.push_back({row.task, row.run, percent});
    }

    bool mayMove(const filling_row &neighbour) const
    {
        const running_report &row = *neighbour.row;
        const auto accepted = session.acceptedRuns.find(row.task);
        if (neighbour.spec->gang || row.run >= rules.maxRunsToMove || accepted == session.acceptedRuns.end())
            return false;
        const milliseconds elapsed = now - accepted->second.second;
        return static_cast<double>(elapsed.count())
            < rules.moveBelowProgress * static_cast<double>(neighbour.spec->declaredDuration.count());
    }

    void move(const running_report &row)
    {
        throttle.percentByRun[{row.task, row.run}] = 0;
        decided.moves.push_back({row.task, row.run});
    }

    //! Moves or slows the neighbours that cost the most, one after the other, until the missing slack is
    //! regained.
    void slowDown(std::vector<filling_row> neighbours)
    {
        std::sort(neighbours.begin(), neighbours.end(),
                  [this](const filling_row &left, const filling_row &right) {
                      return fullCost(left) > fullCost(right);
                  });
        double missing = rules.targetSlack - tightest.slack;
        for (const filling_row &neighbour : neighbours) {
            const double cost = fullCost(neighbour);
            if (missing <= 0.0 || cost < rules.negligibleSlack)
                return;
            const int present = toldPercent(throttle, *neighbour.row);
            const double taken = cost * present / 100.0;
            const double kept = taken > missing ? 1.0 - missing / taken : 0.0;
            if (present > 0 && mayMove(neighbour))
                move(*neighbour.row);
            else
                tell(*neighbour.row, static_cast<int>(present * kept));
            missing -= taken;
        }
    }

    void halt(std::span<const filling_row> neighbours)
    {
        for (const filling_row &neighbour : neighbours)
            tell(*neighbour.row, 0);
    }

    //! Quickens the neighbours that cost the least first, as far as the slack allows.
    void speedUp(std::vector<filling_row> neighbours)
    {
        std::sort(neighbours.begin(), neighbours.end(),
                  [this](const filling_row &left, const filling_row &right) {
                      return fullCost(left) < fullCost(right);
                  });
        double free = tightest.slack - rules.targetSlack;
        for (const filling_row &neighbour : neighbours) {
            const int present = toldPercent(throttle, *neighbour.row);
            if (present >= 100)
                continue;
            const double cost = std::max(fullCost(neighbour), 1e-6);
            const int more = static_cast<int>(std::min(100.0, 100.0 * free / cost));
            if (more <= 0)
                return;
            tell(*neighbour.row, std::min(100, present + more));
            free -= cost * std::min(more, 100 - present) / 100.0;
        }
    }
};

void forgetEnded(throttle_state &throttle, std::span<const filling_row> present)
{
    std::set<std::pair<task_name, std::uint32_t>> standing;
    for (const filling_row &neighbour : present)
        standing.emplace(neighbour.row->task, neighbour.row->run);
    std::erase_if(throttle.percentByRun, [&](const auto &entry) { return !standing.contains(entry.first); });
}

//! What the excesses of the serving tasks on one worker ask for.
struct excess_view
{
    //! Longest time without a good figure in between.
    milliseconds unbroken{0};
    //! A serving task comes near the harm bound.
    bool mustHalt = false;
};

//! What is known of a serving task's excess after one more figure; empty when there is none.
std::optional<slow_state> nextSlowState(const slow_state *known, double slack,
                                        const interference_rules &rules, time_point now)
{
    const bool good = slack >= rules.tooSlowSlack;
    if (!known)
        return good ? std::nullopt : std::optional(slow_state{now, now, {}, slack, 1});
    const bool wasGood = known->goodSince != time_point{};
    if (good && wasGood && now - known->goodSince >= rules.recoveryTime)
        return std::nullopt;
    slow_state next = *known;
    next.slackSum += slack;
    ++next.figures;
    if (good && !wasGood)
        next.goodSince = now;
    if (!good && wasGood) {
        next.unbrokenSince = now;
        next.goodSince = time_point{};
    }
    return next;
}

bool nearsHarm(const slow_state &state, double slack, const interference_rules &rules, time_point now)
{
    if (slack >= rules.targetSlack)
        return false;
    if (state.goodSince == time_point{} && now - state.unbrokenSince >= rules.haltAfter)
        return true;
    return now - state.begun >= rules.haltAfterMixed && state.slackSum < state.figures;
}

//! Keeps account of the serving tasks that are too slow.
excess_view updateTooSlow(throttle_state &throttle, const interference_rules &rules, const job_table &table,
                          std::span<const running_report> running, time_point now)
{
    std::map<task_name, slow_state> states;
    excess_view view;
    for (const running_report &row : running) {
        const step_spec *spec = findStep(table, row.task);
        if (!serves(spec) || row.measurement <= 0)
            continue;
        const double slack = slackOf(*spec, row, rules);
        const auto known = throttle.slowServing.find(row.task);
        const auto next = nextSlowState(known == throttle.slowServing.end() ? nullptr : &known->second, slack,
                                        rules, now);
        if (!next)
            continue;
        states[row.task] = *next;
        if (next->goodSince == time_point{})
            view.unbroken = std::max(view.unbroken, now - next->unbrokenSince);
        view.mustHalt = view.mustHalt || nearsHarm(*next, slack, rules, now);
    }
    throttle.slowServing = std::move(states);
    return view;
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

std::vector<serving_view> servingViews(const interference_model &model, const interference_rules &rules,
                                       const worker_load &load, const resources &capacity,
                                       const throttle_state &throttle, time_point now)
{
    cores_by_image cores;
    for (const auto &[image, millicores] : load.bestEffortByImage) {
        if (const auto number = knownNumber(model, image))
            addCores(cores, *number, modelCores(millicores, capacity));
    }
    std::vector<serving_view> views;
    for (const auto &[task, image] : load.serving) {
        const auto number = knownNumber(model, image);
        if (!number)
            continue;
        const auto shortfall = throttle.shortfall.find(task);
        const double unexplained = shortfall == throttle.shortfall.end() ? 0.0 : shortfall->second;
        const double free = baselineSlack(model, rules.learning, task.job, now, rules.forecastHorizon);
        views.push_back({*number, free - unexplained - slackTaken(model, rules.learning, *number, cores)});
    }
    return views;
}

void learnFromReports(interference_model &model, throttle_state &throttle, const interference_rules &rules,
                      const job_table &table, const resources &capacity,
                      std::span<const running_report> running, time_point now)
{
    cores_by_image cores;
    for (const running_report &row : running) {
        const step_spec *spec = findStep(table, row.task);
        if (spec && spec->bestEffort)
            addCores(cores, numberOf(model, spec->image), modelCores(row.measurement, capacity));
    }
    throttle.shortfall.clear();
    for (const running_report &row : running) {
        const step_spec *spec = findStep(table, row.task);
        if (!serves(spec))
            continue;
        const image_number image = numberOf(model, spec->image);
        if (row.measurement <= 0)
            continue;
        const double slack = slackOf(*spec, row, rules);
        const double expected = baselineSlack(model, rules.learning, row.task.job, now, milliseconds(0))
            - slackTaken(model, rules.learning, image, cores);
        if (expected - slack > rules.normalDeviation)
            throttle.shortfall[row.task] = expected - slack - rules.normalDeviation;
        if (slack > rules.smallestSlack)
            addSample(model, rules.learning, row.task.job, image, slack, cores, now);
    }
}

mitigation mitigate(throttle_state &throttle, const interference_model &model,
                    const interference_rules &rules, const job_table &table, const worker_session &session,
                    time_point now)
{
    const std::span<const running_report> running(session.running);
    const std::vector<filling_row> neighbours = fillingRows(model, table, session.info.capacity, running);
    forgetEnded(throttle, neighbours);
    const excess_view excess = updateTooSlow(throttle, rules, table, running, now);
    const bool settling = throttle.changedAt != time_point{} && now - throttle.changedAt < rules.settleTime;
    // The harm bound does not wait for an earlier change to show.
    if (neighbours.empty() || (settling && !excess.mustHalt))
        return {};
    const tightest_task tightest = findTightest(model, table, rules, running);
    throttle_change change{throttle, model, rules, tightest, session, now, {}};
    if (excess.mustHalt)
        change.halt(neighbours);
    else if (excess.unbroken >= rules.slowDownAfter)
        change.slowDown(neighbours);
    else if (tightest.slack > rules.speedUpSlack)
        change.speedUp(neighbours);
    if (!change.decided.throttles.empty() || !change.decided.moves.empty())
        throttle.changedAt = now;
    return std::move(change.decided);
}

bool isBestEffortBlocked(const throttle_state &throttle, const interference_rules &rules, time_point now)
{
    return std::any_of(
        throttle.slowServing.begin(), throttle.slowServing.end(), [&rules, now](const auto &entry) {
            const slow_state &state = entry.second;
            return state.goodSince == time_point{} && now - state.unbrokenSince >= rules.slowDownAfter;
        });
}

int throttlePercent(const throttle_state &throttle, const task_name &task, std::uint32_t run)
{
    const auto told = throttle.percentByRun.find({task, run});
    return told == throttle.percentByRun.end() ? 100 : told->second;
}

} // namespace almond::jobs
