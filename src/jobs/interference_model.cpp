#include "jobs/interference_model.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace almond::jobs {

namespace {

//! Name under which the constant of a fit stands.
const std::string constantName;

//! Solves the linear system of \a rows, each with its right side at the end, by elimination with pivoting.
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

void solveFit(interference_model &model, const learning_rules &rules, const std::string &serving,
              const image_fit &fit)
{
    std::vector<std::string> names;
    for (const auto &[name, sum] : fit.targets)
        names.push_back(name);
    std::vector<std::vector<double>> rows(names.size(), std::vector<double>(names.size() + 1, 0.0));
    for (std::size_t row = 0; row < names.size(); ++row) {
        for (std::size_t column = 0; column < names.size(); ++column) {
            const auto product = fit.products.find({names[row], names[column]});
            rows[row][column] = product == fit.products.end() ? 0.0 : product->second;
        }
        const double prior = names[row] == constantName ? rules.priorFreeSlack : -rules.priorSlackPerCore;
        rows[row][row] += rules.priorWeight;
        rows[row][names.size()] = fit.targets.at(names[row]) + rules.priorWeight * prior;
    }
    const std::vector<double> weights = solve(std::move(rows));
    for (std::size_t index = 0; index < names.size(); ++index) {
        if (names[index] == constantName)
            model.freeSlack[serving] = std::max(weights[index], 1.0);
        else
            model.slackPerCore[{serving, names[index]}] = std::max(-weights[index], 0.0);
    }
}

} // namespace

void addSample(interference_model &model, const std::string &serving, double slack,
               const std::map<std::string, double> &cores)
{
    image_fit &fit = model.fits[serving];
    std::map<std::string, double> inputs = cores;
    inputs[constantName] = 1.0;
    for (const auto &[left, amount] : inputs) {
        fit.targets[left] += amount * slack;
        for (const auto &[right, other] : inputs)
            fit.products[{left, right}] += amount * other;
    }
}

void refreshModel(interference_model &model, const learning_rules &rules)
{
    for (auto &[serving, fit] : model.fits) {
        solveFit(model, rules, serving, fit);
        for (auto &[names, sum] : fit.products)
            sum *= rules.retention;
        for (auto &[name, sum] : fit.targets)
            sum *= rules.retention;
    }
}

double slackPerCore(const interference_model &model, const learning_rules &rules, const std::string &serving,
                    const std::string &filling)
{
    const auto known = model.slackPerCore.find({serving, filling});
    return known == model.slackPerCore.end() ? rules.priorSlackPerCore : known->second;
}

double freeSlack(const interference_model &model, const learning_rules &rules, const std::string &serving)
{
    const auto known = model.freeSlack.find(serving);
    return known == model.freeSlack.end() ? rules.priorFreeSlack : known->second;
}

} // namespace almond::jobs
