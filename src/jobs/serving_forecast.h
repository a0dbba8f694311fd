#pragma once

#include "jobs/interference.h"

#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace almond::jobs {

//! Predicts the slack of the serving tasks on many workers for one planning round. What is the same for all
//! tasks of a job or of an image is looked up once. The model and the described loads must outlive the
//! forecast and not change meanwhile.
class serving_forecast
{
public:
    serving_forecast(const interference_model &model, const interference_rules &rules, time_point now);

    //! Returns the serving tasks in \a load with the slack that is expected beside all best-effort tasks in
    //! it.
    std::vector<serving_view> viewsOf(const worker_load &load, const resources &capacity,
                                      const throttle_state &throttle);

private:
    std::optional<image_number> findNumber(std::string_view image);
    double baselineOf(const job_id &job);

    const interference_model &m_model;
    const interference_rules &m_rules;
    time_point m_now;
    std::unordered_map<std::string_view, std::optional<image_number>> m_numbers; // by image
    std::unordered_map<std::string_view, double> m_baselines; // by job
    //! Of the worker that is being described.
    cores_by_image m_cores;
};

//! The same for a single worker.
std::vector<serving_view> servingViews(const interference_model &model, const interference_rules &rules,
                                       const worker_load &load, const resources &capacity,
                                       const throttle_state &throttle, time_point now);

} // namespace almond::jobs
