#pragma once

#include "jobs/interference_model.h"
#include "jobs/ledger.h"
#include "jobs/worker_port.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace almond::jobs {

struct interference_rules
{
    learning_rules learning;
    //! Slack beyond this says no more.
    double largestSlack = 6.0;
    //! Below this slack a tail has hit its ceiling and no longer tells how much is missing.
    double smallestSlack = 0.12;
    //! Below this slack a serving task counts as too slow; a little above 1, since figures come late.
    double lowSlack = 1.05;
    //! Slack that slowing and quickening aim at.
    double aimedSlack = 1.2;
    //! Above this slack neighbours may go faster.
    double calmSlack = 1.3;
    //! A task that fills is placed only where this slack is expected to remain.
    double placementSlack = 1.1;
    //! A neighbour that takes less slack than this is not worth slowing.
    double negligibleSlack = 0.03;
    //! Time between two changes at a worker: a change must show in figures that cover half a second.
    milliseconds settle{600};
    //! A serving task may be too slow for this long before its neighbours are slowed: most of them end sooner
    //! by themselves.
    milliseconds patience{1200};
    //! After this long all of its neighbours are halted, whatever the model says of them. With the late
    //! figures it must stay under the users' harm bound of 4 s.
    milliseconds haltAfter{2000};
};

//! A serving task on a worker, as it was last seen.
struct serving_view
{
    std::string image;
    double slack = 0.0;
};

//! Cores of a worker with \a capacity as the model counts them.
double modelCores(std::int64_t millicores, const resources &capacity);

//! The serving tasks among \a running; one without a figure yet gets the model's expectation.
std::vector<serving_view> servingViews(const interference_model &model, const interference_rules &rules,
                                       const ledger &book, std::span<const running_report> running);

//! Adds the figures of one look at a worker to the model's samples.
void learn(interference_model &model, const interference_rules &rules, const ledger &book,
           const resources &capacity, std::span<const running_report> running);

//! The paces of the tasks that fill on one worker.
struct pace_state
{
    time_point changedAt{};
    //! Percent that each run was told last; one that is not in here works at 100.
    std::map<std::pair<task_name, std::uint32_t>, int> told;
    //! Since when a serving task has been too slow.
    std::map<task_name, time_point> tooSlowSince;
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
                                    const resources &capacity, std::span<const running_report> running,
                                    time_point now);

//! Share of its processor time that a run may use at its pace, in percent.
int pacePercent(const pace_state &pace, const task_name &task, std::uint32_t run);

} // namespace almond::jobs
