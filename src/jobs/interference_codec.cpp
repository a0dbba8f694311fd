#include "jobs/interference_codec.h"

#include <cmath>

namespace almond::jobs {

using nlohmann::json;

namespace {

//! Slack is rounded to 1/1000 in the store, which is finer than the samples resolve.
constexpr double stepsPerUnit = 1000.0;

} // namespace

json encodePairs(const interference_model &model)
{
    json pairs = json::object();
    for (const auto &[serving, servingNumber] : model.numbers) {
        const std::vector<double> &known = model.fits[servingNumber].slackPerCore;
        for (const auto &[bestEffort, bestEffortNumber] : model.numbers) {
            if (bestEffortNumber < known.size())
                pairs[serving][bestEffort]
                    = std::round(known[bestEffortNumber] * stepsPerUnit) / stepsPerUnit;
        }
    }
    return pairs;
}

std::size_t inheritPairs(interference_model &model, const json &pairs)
{
    std::size_t taken = 0;
    if (!pairs.is_object())
        return taken;
    for (const auto &[serving, row] : pairs.items()) {
        if (!row.is_object())
            continue;
        const image_number servingNumber = numberOf(model, serving);
        for (const auto &[bestEffort, slack] : row.items()) {
            if (!slack.is_number() || slack.get<double>() < 0.0)
                continue;
            const image_number bestEffortNumber = numberOf(model, bestEffort);
            std::vector<std::optional<double>> &inherited = model.fits[servingNumber].inherited;
            if (inherited.size() <= bestEffortNumber)
                inherited.resize(bestEffortNumber + 1);
            inherited[bestEffortNumber] = slack.get<double>();
            ++taken;
        }
    }
    return taken;
}

} // namespace almond::jobs
