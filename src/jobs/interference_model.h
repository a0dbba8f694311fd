#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace almond::jobs {

//! Number of an image within one model.
using image_number = std::uint32_t;

//! Cores in use by the number of the image that uses them; sorted, each image once.
using cores_by_image = std::vector<std::pair<image_number, double>>;

//! Bounds of what is learned of interference.
struct learning_rules
{
    //! Slack that one core takes before anything is known of a pair; low, so that an unknown pair is tried.
    double priorSlackPerCore = 0.05;
    //! Slack of a serving task without neighbours before anything is known of its job.
    double priorBaselineSlack = 2.3;
    //! Weight of the prior, in squared cores: about ten samples beside a neighbour of three cores.
    double priorWeight = 90.0;
    //! What is left of old samples at each refresh; lets pairs change.
    double retention = 0.985;
    //! How long a sample counts towards its job's present load; must stay well under the period of that load.
    kernel::milliseconds loadTimeConstant{1500};
    //! Weight of the assumption that a job's load stays as it is, against the trend of its samples.
    double steadyWeight = 1.0;
};

//! Sums of a least-squares fit for one image that serves: its slack by the cores of the images beside it. All
//! lists are by image number and as long as the highest one that was seen beside it, since a sample touches
//! every pair of images.
struct image_fit
{
    std::vector<std::vector<double>> products;
    std::vector<double> targets;
    //! Solved from the sums: slack that one core of each image takes.
    std::vector<double> slackPerCore;
    //! What an earlier owner had learned, in place of the general prior.
    std::vector<std::optional<double>> inherited;
};

//! Weighted line through the newest samples of a value that changes with time.
struct trend_line
{
    double weight = 0.0;
    //! Means and sums about them; times are seconds before `at`.
    double meanTime = 0.0;
    double meanValue = 0.0;
    double timeSquares = 0.0;
    double timeValues = 0.0;
    kernel::time_point at{};
};

//! What the tasks of one serving job have in common: they share their users, so their load moves together.
struct job_load
{
    //! Slack as measured, and the cores beside it, averaged over the newest samples of all tasks.
    double meanSlack = 0.0;
    cores_by_image meanCores;
    double weight = 0.0;
    //! Slack that the tasks would have without neighbours.
    trend_line baselineSlack;
    kernel::time_point at{};
};

//! How strongly tasks of one image that fill slow tasks of another that serve. A serving task's slack is its
//! target divided by its tail: under 1 it is too slow. Each core that a neighbour uses takes some slack away;
//! cores count relative to a worker of 32 cores. Samples are compared with those of other tasks of the same
//! job at the same time, which removes the job's own load.
struct interference_model
{
    std::map<std::string, image_number, std::less<>> numbers;
    std::vector<image_fit> fits; // by image that serves
    std::map<std::string, job_load, std::less<>> loads; // by job that serves
};

//! Number of \a image in \a model; a new one for an image that was not known.
image_number numberOf(interference_model &model, std::string_view image);

//! Adds one sample: a task of \a job and \a serving had \a slack beside \a cores at \a now.
void addSample(interference_model &model, const learning_rules &rules, std::string_view job,
               image_number serving, double slack, const cores_by_image &cores, kernel::time_point now);

//! Solves the fits anew, lets old samples fade and forgets jobs without samples since \a oldest.
void refreshModel(interference_model &model, const learning_rules &rules, kernel::time_point oldest);

//! Slack that one core of \a filling takes from \a serving.
double slackPerCore(const interference_model &model, const learning_rules &rules, image_number serving,
                    image_number filling);
//! Slack that \a cores take from \a serving in all.
double slackTaken(const interference_model &model, const learning_rules &rules, image_number serving,
                  const cores_by_image &cores);
//! Least slack without neighbours that a task of \a job is expected to have from \a now to \a horizon later.
double baselineSlack(const interference_model &model, const learning_rules &rules, std::string_view job,
                     kernel::time_point now, kernel::milliseconds horizon);

//! Adds \a value at \a now to \a line.
void addPoint(trend_line &line, double value, kernel::time_point now, kernel::milliseconds memory);
//! The line's value at \a when. Before the first point it is 0.
double valueAt(const trend_line &line, double steadyWeight, kernel::time_point when);

} // namespace almond::jobs
