#pragma once

#include "jobs/job_id.h"
#include "kernel/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace almond::jobs {

//! Index of an image within one model.
using image_number = std::uint32_t;

//! Cores in use by image; sorted by image number, with each image once.
using cores_by_image = std::vector<std::pair<image_number, double>>;

//! Parameters of the interference model.
struct learning_rules
{
    //! Slack that one core is assumed to take before anything is known of a pair of images. Low, so that
    //! unknown pairs are tried.
    double priorSlackPerCore = 0.05;
    //! Slack without neighbours that is assumed for a serving task of an unknown job.
    double priorBaselineSlack = 2.3;
    //! Weight of the prior in squared cores: about ten samples beside a neighbour of three cores.
    double priorWeight = 90.0;
    //! Factor by which older samples are discounted at each refresh, so that pairs may change.
    double retention = 0.985;
    //! Time constant of the exponential decay of samples of a job's load. Must be much shorter than the
    //! period of that load.
    kernel::milliseconds loadTimeConstant{1500};
    //! Weight of the assumption that the load of a job is constant, against the trend of its samples.
    double steadyWeight = 1.0;
};

//! Sums of a linear least-squares fit for one serving image: its slack as a function of the cores that each
//! image uses beside it. All vectors are indexed by image number and sized to the highest number seen beside
//! this image, because each sample updates every pair of images.
struct image_fit
{
    std::vector<std::vector<double>> products;
    std::vector<double> targets;
    //! Solution of the fit: slack that one core of each image takes.
    std::vector<double> slackPerCore;
    //! Values that an earlier owner has learned; they replace the general prior.
    std::vector<std::optional<double>> inherited;
};

//! Weighted linear regression over the newest samples of a value that changes over time.
struct trend_line
{
    double weight = 0.0;
    //! Means, and centred sums of squares and products. Times are in seconds relative to `at`.
    double meanTime = 0.0;
    double meanValue = 0.0;
    double timeSquares = 0.0;
    double timeValues = 0.0;
    kernel::time_point at{};
};

//! State that the tasks of one serving job share: they serve the same users, so their load changes together.
struct job_load
{
    //! Measured slack and the cores in use beside the tasks, averaged over the newest samples of all tasks.
    double meanSlack = 0.0;
    cores_by_image meanCores;
    double weight = 0.0;
    //! Slack that the tasks would have without neighbours.
    trend_line baselineSlack;
    kernel::time_point at{};
};

//! How much best-effort tasks of one image slow down serving tasks of another. Slack of a serving task is its
//! target divided by its measured tail latency; below 1 it misses the target. Each core that a neighbour uses
//! takes some slack; cores are scaled to a worker of 32 cores. A sample is compared with those of other tasks
//! of the same job at the same time, which removes the effect of the job's own load.
struct interference_model
{
    std::map<std::string, image_number, std::less<>> numbers;
    std::vector<image_fit> fits; // by image that serves
    std::map<job_id, job_load> loads; // by job that serves
};

//! Returns the number of \a image in \a model; assigns a new number to an unknown image.
image_number numberOf(interference_model &model, std::string_view image);

//! Adds one sample: at \a now a task of \a job with the image \a serving had \a slack beside \a cores.
void addSample(interference_model &model, const learning_rules &rules, const job_id &job,
               image_number serving, double slack, const cores_by_image &cores, kernel::time_point now);

//! Solves the fits again, discounts old samples, and removes jobs without samples since \a oldest.
void refreshModel(interference_model &model, const learning_rules &rules, kernel::time_point oldest);

//! Slack that one core of the image \a bestEffort takes from the image \a serving.
double slackPerCore(const interference_model &model, const learning_rules &rules, image_number serving,
                    image_number bestEffort);
//! Total slack that \a cores take from the image \a serving.
double slackTaken(const interference_model &model, const learning_rules &rules, image_number serving,
                  const cores_by_image &cores);
//! Least slack without neighbours that is predicted for a task of \a job between \a now and \a horizon later.
double baselineSlack(const interference_model &model, const learning_rules &rules, const job_id &job,
                     kernel::time_point now, kernel::milliseconds horizon);

//! Adds \a value at \a now to \a line.
void addPoint(trend_line &line, double value, kernel::time_point now, kernel::milliseconds timeConstant);
//! Returns the predicted value at \a when; 0 for a line without points.
double valueAt(const trend_line &line, double steadyWeight, kernel::time_point when);

} // namespace almond::jobs
