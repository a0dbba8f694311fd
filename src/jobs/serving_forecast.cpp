#include "jobs/serving_forecast.h"

#include <algorithm>

namespace almond::jobs {

serving_forecast::serving_forecast(const interference_model &model, const interference_rules &rules,
                                   time_point now)
    : m_model(model)
    , m_rules(rules)
    , m_now(now)
{
}

std::vector<serving_view> serving_forecast::viewsOf(const worker_load &load, const resources &capacity,
                                                    const throttle_state &throttle)
{
    std::vector<serving_view> views;
    if (load.serving.empty())
        return views;
    m_cores.clear();
    for (const auto &[image, millicores] : load.bestEffortByImage) {
        if (const auto number = findNumber(image))
            m_cores.emplace_back(*number, modelCores(millicores, capacity));
    }
    std::sort(m_cores.begin(), m_cores.end());
    views.reserve(load.serving.size());
    std::string_view lastImage;
    std::optional<image_number> number;
    for (const auto &[task, image] : load.serving) {
        // Serving tasks are grouped by image.
        if (!number || image != lastImage)
            number = findNumber(image);
        lastImage = image;
        if (!number)
            continue;
        const auto unexplainedLoss = throttle.unexplainedLoss.find(task);
        const double unexplained
            = unexplainedLoss == throttle.unexplainedLoss.end() ? 0.0 : unexplainedLoss->second;
        views.push_back(
            {*number,
             baselineOf(task.job) - unexplained - slackTaken(m_model, m_rules.learning, *number, m_cores)});
    }
    return views;
}

std::optional<image_number> serving_forecast::findNumber(std::string_view image)
{
    const auto [place, isNew] = m_numbers.try_emplace(image);
    if (isNew) {
        const auto known = m_model.numbers.find(image);
        if (known != m_model.numbers.end())
            place->second = known->second;
    }
    return place->second;
}

double serving_forecast::baselineOf(const job_id &job)
{
    const auto [place, isNew] = m_baselines.try_emplace(job.view());
    if (isNew)
        place->second = baselineSlack(m_model, m_rules.learning, job, m_now, m_rules.forecastHorizon);
    return place->second;
}

std::vector<serving_view> servingViews(const interference_model &model, const interference_rules &rules,
                                       const worker_load &load, const resources &capacity,
                                       const throttle_state &throttle, time_point now)
{
    return serving_forecast(model, rules, now).viewsOf(load, capacity, throttle);
}

} // namespace almond::jobs
