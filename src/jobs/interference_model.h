#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace almond::jobs {

//! Bounds of what is learned of interference.
struct learning_rules
{
    //! Slack that one core takes before anything is known of a pair; low, so that an unknown pair is tried.
    double priorSlackPerCore = 0.05;
    //! Slack of a serving task without neighbours before anything is known of its image.
    double priorFreeSlack = 2.3;
    //! Weight of the priors, in samples.
    double priorWeight = 20.0;
    //! What is left of old samples at each refresh; lets pairs change.
    double retention = 0.985;
};

//! Sums of a least-squares fit for one image that serves: its slack by the cores that each image beside it
//! uses.
struct image_fit
{
    //! By pairs of filling images; the empty name stands for the constant.
    std::map<std::pair<std::string, std::string>, double> products;
    std::map<std::string, double> targets;
};

//! How strongly tasks of one image that fill slow tasks of another that serve. A serving task's slack is its
//! target divided by its tail: under 1 it is too slow. Each core that a neighbour uses takes some slack away;
//! cores count relative to a worker of 32 cores.
struct interference_model
{
    std::map<std::string, image_fit> fits;
    //! Solved from the fits: slack that one core takes, by serving and filling image.
    std::map<std::pair<std::string, std::string>, double> slackPerCore;
    std::map<std::string, double> freeSlack;
};

//! Adds one sample: a task of \a serving had \a slack beside \a cores in use by filling image.
void addSample(interference_model &model, const std::string &serving, double slack,
               const std::map<std::string, double> &cores);

//! Solves the fits anew and lets old samples fade.
void refreshModel(interference_model &model, const learning_rules &rules);

//! Slack that one core of \a filling takes from \a serving.
double slackPerCore(const interference_model &model, const learning_rules &rules, const std::string &serving,
                    const std::string &filling);
//! Slack of \a serving without neighbours.
double freeSlack(const interference_model &model, const learning_rules &rules, const std::string &serving);

} // namespace almond::jobs
