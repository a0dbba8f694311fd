#include "jobs/interference.h"

#include <algorithm>

namespace almond::jobs {

namespace {

constexpr double millicoresPerCore = 1000.0;

//! A neighbour that fills.
struct filling_row
{
    const running_report *row = nullptr;
    const step_spec *spec = nullptr;
    double cores = 0.0;
};

std::vector<filling_row> fillingRows(const ledger &book, std::span<const running_report> running)
{
    std::vector<filling_row> rows;
    for (const running_report &row : running) {
        const step_spec *spec = findStep(book, row.task);
        if (spec && spec->fills)
            rows.push_back({&row, spec, static_cast<double>(row.figure) / millicoresPerCore});
    }
    return rows;
}

double slackOf(const step_spec &spec, const running_report &row, const interference_rules &rules)
{
    const double slack = static_cast<double>(spec.tailTarget.count()) / static_cast<double>(row.figure);
    return std::min(slack, rules.largestSlack);
}

bool serves(const step_spec *spec)
{
    return spec && spec->lasting && spec->tailTarget.count() > 0;
}

double &freeSlackOf(interference_model &model, const interference_rules &rules, const std::string &image)
{
    return model.freeSlack.try_emplace(image, rules.priorFreeSlack).first->second;
}

void learnOne(interference_model &model, const interference_rules &rules, const std::string &image,
              double slack, std::span<const filling_row> neighbours)
{
    double &freeSlack = freeSlackOf(model, rules, image);
    double expected = freeSlack;
    double scale = 1.0;
    std::map<std::string, double> cores;
    for (const filling_row &neighbour : neighbours)
        cores[neighbour.spec->image] += neighbour.cores;
    for (const auto &[filling, used] : cores) {
        expected -= slackPerCore(model, rules, image, filling) * used;
        scale += used * used;
    }
    const double error = slack - expected;
    freeSlack += rules.learningRate * error / scale;
    for (const auto &[filling, used] : cores) {
        double &taken = model.slackPerCore.try_emplace({image, filling}, rules.priorSlackPerCore).first->second;
        taken = std::max(0.0, taken - rules.learningRate * error * used / scale);
    }
}

int toldPercent(const pace_state &pace, const running_report &row)
{
    const auto told = pace.told.find({row.task, row.run});
    return told == pace.told.end() ? 100 : told->second;
}

//! The serving task that has the least slack.
struct tightest_task
{
    double slack = 0.0;
    std::string image;
};

tightest_task findTightest(const ledger &book, const interference_rules &rules,
                           std::span<const running_report> running)
{
    tightest_task tightest{rules.largestSlack, {}};
    for (const running_report &row : running) {
        const step_spec *spec = findStep(book, row.task);
        if (!serves(spec) || row.figure <= 0)
            continue;
        const double slack = slackOf(*spec, row, rules);
        if (slack < tightest.slack)
            tightest = {slack, spec->image};
    }
    return tightest;
}

void tell(pace_state &pace, const running_report &row, int percent, std::vector<pace_order> &orders)
{
    pace.told[{row.task, row.run}] = percent;
    orders.push_back({row.task, row.run, percent});
}

//! Slows the neighbours that cost the most, one after the other, until the missing slack is regained.
void slowDown(pace_state &pace, std::vector<filling_row> neighbours, const interference_model &model,
              const interference_rules &rules, const tightest_task &tightest,
              std::vector<pace_order> &orders)
{
    const auto cost = [&](const filling_row &neighbour) {
        return slackPerCore(model, rules, tightest.image, neighbour.spec->image) * neighbour.cores;
    };
    std::sort(neighbours.begin(), neighbours.end(),
              [&](const filling_row &left, const filling_row &right) { return cost(left) > cost(right); });
    double missing = rules.aimedSlack - tightest.slack;
    for (const filling_row &neighbour : neighbours) {
        const int present = toldPercent(pace, *neighbour.row);
        if (missing <= 0.0)
            break;
        if (present == 0)
            continue;
        const double taken = cost(neighbour);
        const double kept = taken > missing ? 1.0 - missing / taken : 0.0;
        tell(pace, *neighbour.row, static_cast<int>(present * kept), orders);
        missing -= taken;
    }
}

void speedUp(pace_state &pace, std::span<const filling_row> neighbours, std::vector<pace_order> &orders)
{
    constexpr int step = 30;
    for (const filling_row &neighbour : neighbours) {
        const int present = toldPercent(pace, *neighbour.row);
        if (present < 100)
            tell(pace, *neighbour.row, std::min(100, present + step), orders);
    }
}

void forgetEnded(pace_state &pace, std::span<const filling_row> present)
{
    std::set<std::pair<task_name, std::uint32_t>> standing;
    for (const filling_row &neighbour : present)
        standing.emplace(neighbour.row->task, neighbour.row->run);
    std::erase_if(pace.told, [&](const auto &entry) { return !standing.contains(entry.first); });
    std::erase_if(pace.slowSince, [&](const auto &entry) { return !standing.contains(entry.first); });
}

} // namespace

double slackPerCore(const interference_model &model, const interference_rules &rules,
                    const std::string &serving, const std::string &filling)
{
    const auto known = model.slackPerCore.find({serving, filling});
    return known == model.slackPerCore.end() ? rules.priorSlackPerCore : known->second;
}

std::vector<serving_view> servingViews(const interference_model &model, const interference_rules &rules,
                                       const ledger &book, std::span<const running_report> running)
{
    std::vector<serving_view> views;
    for (const running_report &row : running) {
        const step_spec *spec = findStep(book, row.task);
        if (!serves(spec))
            continue;
        const auto expected = model.freeSlack.find(spec->image);
        const double fallback = expected == model.freeSlack.end() ? rules.priorFreeSlack : expected->second;
        views.push_back({spec->image, row.figure > 0 ? slackOf(*spec, row, rules) : fallback});
    }
    return views;
}

void learn(interference_model &model, const interference_rules &rules, const ledger &book,
           std::span<const running_report> running)
{
    const std::vector<filling_row> neighbours = fillingRows(book, running);
    for (const running_report &row : running) {
        const step_spec *spec = findStep(book, row.task);
        if (serves(spec) && row.figure > 0)
            learnOne(model, rules, spec->image, slackOf(*spec, row, rules), neighbours);
    }
}

std::vector<pace_order> decidePaces(pace_state &pace, const interference_model &model,
                                    const interference_rules &rules, const ledger &book,
                                    std::span<const running_report> running, time_point now)
{
    std::vector<pace_order> orders;
    const std::vector<filling_row> neighbours = fillingRows(book, running);
    forgetEnded(pace, neighbours);
    if (neighbours.empty() || (pace.changedAt != time_point{} && now - pace.changedAt < rules.settle))
        return orders;
    const tightest_task tightest = findTightest(book, rules, running);
    if (tightest.slack < rules.lowSlack)
        slowDown(pace, neighbours, model, rules, tightest, orders);
    else if (tightest.slack > rules.calmSlack)
        speedUp(pace, neighbours, orders);
    if (!orders.empty())
        pace.changedAt = now;
    for (const pace_order &order : orders) {
        if (order.percent < rules.displacePercent)
            pace.slowSince.try_emplace({order.task, order.run}, now);
        else
            pace.slowSince.erase({order.task, order.run});
    }
    return orders;
}

std::vector<pace_order> displacedRuns(const pace_state &pace, const interference_rules &rules,
                                      const ledger &book, time_point now)
{
    std::vector<pace_order> displaced;
    for (const auto &[run, since] : pace.slowSince) {
        const step_spec *spec = findStep(book, run.first);
        if (spec && spec->checkpointing && now - since > rules.displaceAfter)
            displaced.push_back({run.first, run.second, 0});
    }
    return displaced;
}

} // namespace almond::jobs
