#include "jobs/interference_model.h"

#include "jobs/decay.h"

#include <algorithm>
#include <cmath>

namespace almond::jobs {

using kernel::milliseconds;
using kernel::time_point;

namespace {

//! Minimum weight of the averages of a job before further samples are compared with them.
constexpr double minContrastWeight = 2.0;

//! Solves the linear system in \a rows, each with its right-hand side as last element, by Gauss-Jordan
//! elimination with partial pivoting.
std::vector<double> solve(std::vector<std::vector<double>> rows)
{
    const std::size_t size = rows.size();
    for (std::size_t column = 0; column < size; ++column) {
        std::size_t pivot = column;
        for (std::size_t row = column + 1; row < size; ++row) {
            if (std::abs(rows[row][column]) > std::abs(rows[pivot][column]))
                pivot = row;
        }
        std::swap(rows[column], rows[pivot]);
        for (std::size_t row = 0; row < size; ++row) {
            if (row == column)
                continue;
            const double factor = rows[row][column] / rows[column][column];
            for (std::size_t place = column; place <= size; ++place)
                rows[row][place] -= factor * rows[column][place];
        }
    }
    std::vector<double> solution(size);
    for (std::size_t row = 0; row < size; ++row)
        solution[row] = rows[row][size] / rows[row][row];
    return solution;
}

//! Slack per core that is assumed for a pair before this owner has samples of it.
double priorOf(const image_fit &fit, const learning_rules &rules, std::size_t bestEffort)
{
    const bool known = bestEffort < fit.inherited.size() && fit.inherited[bestEffort];
    return known ? *fit.inherited[bestEffort] : rules.priorSlackPerCore;
}

void solveFit(image_fit &fit, const learning_rules &rules)
{
    const std::size_t size = fit.targets.size();
    std::vector<std::vector<double>> rows = fit.products;
    for (std::size_t row = 0; row < size; ++row) {
        rows[row][row] += rules.priorWeight;
        rows[row].push_back(fit.targets[row] - rules.priorWeight * priorOf(fit, rules, row));
    }
    const std::vector<double> weights = solve(std::move(rows));
    for (std::size_t image = 0; image < size; ++image)
        fit.slackPerCore[image] = std::max(-weights[image], 0.0);
}

void growTo(image_fit &fit, std::size_t size, const learning_rules &rules)
{
    if (fit.targets.size() >= size)
        return;
    fit.targets.resize(size, 0.0);
    while (fit.slackPerCore.size() < size)
        fit.slackPerCore.push_back(priorOf(fit, rules, fit.slackPerCore.size()));
    fit.products.resize(size);
    for (std::vector<double> &row : fit.products)
        row.resize(size, 0.0);
}

//! Returns left * leftFactor + right * rightFactor.
cores_by_image combine(const cores_by_image &left, double leftFactor, const cores_by_image &right,
                       double rightFactor)
{
    cores_by_image result;
    result.reserve(left.size() + right.size());
    auto first = left.begin();
    auto second = right.begin();
    while (first != left.end() || second != right.end()) {
        const bool onlyLeft = second == right.end() || (first != left.end() && first->first < second->first);
        const bool onlyRight = first == left.end() || (second != right.end() && second->first < first->first);
        const image_number image = onlyRight ? second->first : first->first;
        const double amount = (onlyRight ? 0.0 : first->second * leftFactor)
            + (onlyLeft ? 0.0 : second->second * rightFactor);
        result.emplace_back(image, amount);
        first += onlyRight ? 0 : 1;
        second += onlyLeft ? 0 : 1;
    }
    return result;
}

//! Adds the difference between a sample and the averages of its job to the fit.
void addContrast(image_fit &fit, const learning_rules &rules, double slack, const cores_by_image &cores)
{
    if (!cores.empty())
        growTo(fit, cores.back().first + 1, rules);
    for (const auto &[image, amount] : cores) {
        fit.targets[image] += amount * slack;
        for (const auto &[other, otherAmount] : cores)
            fit.products[image][other] += amount * otherAmount;
    }
}

void updateAverages(job_load &load, double kept, double slack, const cores_by_image &cores)
{
    constexpr double negligibleCores = 1e-3;
    load.weight = load.weight * kept + 1.0;
    const double share = 1.0 / load.weight;
    load.meanSlack += (slack - load.meanSlack) * share;
    load.meanCores = combine(load.meanCores, 1.0 - share, cores, share);
    std::erase_if(load.meanCores, [](const auto &entry) { return entry.second < negligibleCores; });
}

} // namespace

image_number numberOf(interference_model &model, std::string_view image)
{
    const auto known = model.numbers.find(image);
    if (known != model.numbers.end())
        return known->second;
    const auto number = static_cast<image_number>(model.numbers.size());
    model.numbers.emplace(image, number);
    model.fits.resize(model.numbers.size());
    return number;
}

void addSample(interference_model &model, const learning_rules &rules, const job_id &job,
               image_number serving, double slack, const cores_by_image &cores, time_point now)
{
    job_load &load = model.loads[job];
    const double kept = decayFactor(load.at, now, rules.loadTimeConstant);
    if (load.weight * kept >= minContrastWeight)
        addContrast(model.fits.at(serving), rules, slack - load.meanSlack,
                    combine(cores, 1.0, load.meanCores, -1.0));
    updateAverages(load, kept, slack, cores);
    load.at = now;
    addPoint(load.baselineSlack, slack + slackTaken(model, rules, serving, cores), now,
             rules.loadTimeConstant);
}

void refreshModel(interference_model &model, const learning_rules &rules, time_point oldest)
{
    for (image_fit &fit : model.fits) {
        if (fit.targets.empty())
            continue;
        solveFit(fit, rules);
        for (std::vector<double> &row : fit.products) {
            for (double &sum : row)
                sum *= rules.retention;
        }
        for (double &sum : fit.targets)
            sum *= rules.retention;
    }
    std::erase_if(model.loads, [oldest](const auto &entry) { return entry.second.at < oldest; });
}

double slackPerCore(const interference_model &model, const learning_rules &rules, image_number serving,
                    image_number bestEffort)
{
    const image_fit &fit = model.fits.at(serving);
    return bestEffort < fit.slackPerCore.size() ? fit.slackPerCore[bestEffort]
                                                : priorOf(fit, rules, bestEffort);
}

double slackTaken(const interference_model &model, const learning_rules &rules, image_number serving,
                  const cores_by_image &cores)
{
    double taken = 0.0;
    for (const auto &[bestEffort, amount] : cores)
        taken += amount * slackPerCore(model, rules, serving, bestEffort);
    return taken;
}

double baselineSlack(const interference_model &model, const learning_rules &rules, const job_id &job,
                     time_point now, milliseconds horizon)
{
    const auto load = model.loads.find(job);
    if (load == model.loads.end())
        return rules.priorBaselineSlack;
    return std::min(valueAt(load->second.baselineSlack, rules.steadyWeight, now),
                    valueAt(load->second.baselineSlack, rules.steadyWeight, now + horizon));
}

void addPoint(trend_line &line, double value, time_point now, milliseconds timeConstant)
{
    const double passed = line.weight > 0.0 ? secondsOf(now - line.at) : 0.0;
    const double kept = line.weight > 0.0 ? decayFactor(line.at, now, timeConstant) : 0.0;
    line.meanTime -= passed; // times are relative to the newest point
    line.weight = line.weight * kept + 1.0;
    line.timeSquares *= kept;
    line.timeValues *= kept;
    const double timeOff = -line.meanTime;
    const double valueOff = value - line.meanValue;
    line.meanTime += timeOff / line.weight;
    line.meanValue += valueOff / line.weight;
    line.timeSquares += timeOff * -line.meanTime;
    line.timeValues += timeOff * (value - line.meanValue);
    line.at = now;
}

double valueAt(const trend_line &line, double steadyWeight, time_point when)
{
    const double slope = line.timeValues / (line.timeSquares + steadyWeight);
    return line.meanValue + slope * (secondsOf(when - line.at) - line.meanTime);
}

} // namespace almond::jobs
