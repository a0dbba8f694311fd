#include "jobs/interference_codec.h"

#include <cmath>

namespace almond::jobs {

using nlohmann::json;

namespace {

//! Slack is stored in steps of this many to one, finer than samples tell.
constexpr double storedSteps = 1000.0;

} // namespace

json encodePairs(const interference_model &model)
{
    json pairs = json::object();
    for (const auto &[serving, servingNumber] : model.numbers) {
        const std::vector<double> &known = model.fits[servingNumber].slackPerCore;
        for (const auto &[filling, fillingNumber] : model.numbers) {
            if (fillingNumber < known.size())
                pairs[serving][filling] = std::round(known[fillingNumber] * storedSteps) / storedSteps;
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
        const image_number served = numberOf(model, serving);
        for (const auto &[filling, slack] : row.items()) {
            if (!slack.is_number() || slack.get<double>() < 0.0)
                continue;
            const image_number filler = numberOf(model, filling);
            std::vector<std::optional<double>> &inherited = model.fits[served].inherited;
            if (inherited.size() <= filler)
                inherited.resize(filler + 1);
            inherited[filler] = slack.get<double>();
            ++taken;
        }
    }
    return taken;
}

} // namespace almond::jobs
