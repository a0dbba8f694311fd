#pragma once

#include "jobs/ledger.h"
#include "jobs/worker_port.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace almond::jobs {

//! How strongly tasks of one image that fill slow tasks of another that serve. A serving task's slack is its
//! target divided by its tail: under 1 it is too slow. Each core that a neighbour uses takes some slack away.
struct interference_model
{
    //! Slack that one core in use takes, by serving and filling image.
    std::map<std::pair<std::string, std::string>, double> slackPerCore;
    //! Slack without neighbours, by serving image, averaged over its load.
    std::map<std::string, double> freeSlack;
};

struct interference_rules
{
    //! How far one sample moves an estimate; small, since the load of a serving task swings as well.
    double learningRate = 0.03;
    //! Prior of the slack that one core takes; low, so that an unknown pair is tried.
    double priorSlackPerCore = 0.02;
    double priorFreeSlack = 2.5;
    //! Slack beyond this says no more.
    double largestSlack = 6.0;
    //! Below this slack neighbours are slowed; must stay above 1, the target itself.
    double lowSlack = 1.15;
    //! Slack that slowing aims at.
    double aimedSlack = 1.4;
    //! Above this slack neighbours may go faster.
    double calmSlack = 1.8;
    //! A task that fills is placed only where this slack is expected to remain.
    double placementSlack = 1.35;
    //! Time between two changes at a worker: a change must show in figures that cover half a second.
    milliseconds settle{600};
    //! A run below this pace, in percent, for displaceAfter is stopped, so that it resumes elsewhere.
    int displacePercent = 25;
    milliseconds displaceAfter{1500};
};

//! A serving task on a worker, as it was last seen.
struct serving_view
{
    std::string image;
    double slack = 0.0;
};

//! Slack that one core of \a filling takes from \a serving.
double slackPerCore(const interference_model &model, const interference_rules &rules,
                    const std::string &serving, const std::string &filling);

//! The serving tasks among \a running; one without a figure yet gets the model's expectation.
std::vector<serving_view> servingViews(const interference_model &model, const interference_rules &rules,
                                       const ledger &book, std::span<const running_report> running);

//! Improves the model by the figures of one look at a worker.
void learn(interference_model &model, const interference_rules &rules, const ledger &book,
           std::span<const running_report> running);

//! The paces of the tasks that fill on one worker.
struct pace_state
{
    time_point changedAt{};
    //! Percent that each run was told last; one that is not in here works at 100.
    std::map<std::pair<task_name, std::uint32_t>, int> told;
    //! Since when a run has been below the pace at which it is worth moving.
    std::map<std::pair<task_name, std::uint32_t>, time_point> slowSince;
};

//! One order that changes the pace of a run.
struct pace_order
{
    task_name task;
    std::uint32_t run = 0;
    int percent = 100;
};

//! Decides the paces from the newest figures of one worker: the neighbour that takes the most slack from the
//! serving task with the least is slowed first. What is returned counts as told.
std::vector<pace_order> decidePaces(pace_state &pace, const interference_model &model,
                                    const interference_rules &rules, const ledger &book,
                                    std::span<const running_report> running, time_point now);

//! Runs that have been slowed for so long that resuming elsewhere from their checkpoint is better.
std::vector<pace_order> displacedRuns(const pace_state &pace, const interference_rules &rules,
                                      const ledger &book, time_point now);

} // namespace almond::jobs
