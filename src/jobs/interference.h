#pragma once

#include "jobs/interference_model.h"
#include "jobs/job_table.h"
#include "jobs/worker_session.h"

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
    double tooSlowSlack = 1.05;
    //! Slack that slowing and quickening aim at.
    double targetSlack = 1.2;
    //! Above this slack neighbours may go faster.
    double speedUpSlack = 1.3;
    //! A task that fills is placed only where this slack is expected to remain, and as much again as it
    //! takes: what takes much is also misjudged by much.
    double placementSlack = 1.05;
    //! Slack that the figures of one task stray from its job's without a cause of its own.
    double normalDeviation = 0.4;
    //! A neighbour that takes less slack than this is harmless: it may be placed anywhere and is not slowed.
    double negligibleSlack = 0.08;
    //! How far ahead the load of serving tasks is foreseen; about as long as a task that fills works.
    milliseconds forecastHorizon{3000};
    //! Time between two changes at a worker: a change must show in figures that cover half a second.
    milliseconds settleTime{600};
    //! A serving task may be too slow for this long before its neighbours are slowed: most of them end sooner
    //! by themselves.
    milliseconds slowDownAfter{1200};
    //! After a serving task was too slow for this long all of its neighbours are halted, whatever the model
    //! says of them. With the late figures it must stay under the users' harm bound of 4 s.
    milliseconds haltAfter{2300};
    //! The same for an excess in which some figures were good, if the mean of all shows that they strayed.
    milliseconds haltAfterMixed{2500};
    //! A neighbour that has done less than this share of its declared duration is rather moved than slowed:
    //! it is done sooner from the beginning elsewhere.
    double moveBelowProgress = 0.6;
    //! A task that was started this often stays where it is.
    std::uint32_t maxRunsToMove = 3;
    //! For this long figures must be good to end an excess for certain; as long as one figure covers.
    milliseconds recoveryTime{500};
};

//! A serving task on a worker.
struct serving_view
{
    image_number image = 0;
    //! Least slack that it is expected to have soon beside all that is assigned to the worker.
    double slack = 0.0;
};

//! Cores of a worker with \a capacity as the model counts them.
double modelCores(std::int64_t millicores, const resources &capacity);

//! How long a serving task has been too slow.
struct slow_state
{
    //! Time of the first figure of the excess.
    time_point begun{};
    //! The same, counted from the last good figure within the excess.
    time_point unbrokenSince{};
    //! Since when its figures have been good; zero while they are not.
    time_point goodSince{};
    double slackSum = 0.0;
    int figures = 0;
};

//! The paces of the tasks that fill on one worker.
struct throttle_state
{
    time_point changedAt{};
    //! Percent that each run was told last; one that is not in here works at 100.
    std::map<std::pair<task_name, std::uint32_t>, int> percentByRun;
    //! Serving tasks that are too slow.
    std::map<task_name, slow_state> slowServing;
    //! How much less slack a serving task was seen with than the model explains.
    std::map<task_name, double> shortfall;
};

//! The serving tasks that \a load names, as they are expected to stand beside all that fills there.
std::vector<serving_view> servingViews(const interference_model &model, const interference_rules &rules,
                                       const worker_load &load, const resources &capacity,
                                       const throttle_state &throttle, time_point now);

//! Adds the figures of one look at a worker to the model's samples, and notes in \a pace what they leave
//! unexplained.
void learnFromReports(interference_model &model, throttle_state &throttle, const interference_rules &rules,
                      const job_table &table, const resources &capacity,
                      std::span<const running_report> running, time_point now);

//! One order that changes the pace of a run.
struct throttle_order
{
    task_name task;
    std::uint32_t run = 0;
    int percent = 100;
};

//! What shall be done for the serving tasks on one worker.
struct mitigation
{
    std::vector<throttle_order> throttles;
    //! Runs to stop, so that they start anew elsewhere.
    std::vector<unwanted_run> moves;
};

//! Decides from the newest figures of one worker: the neighbour that takes the most slack from the serving
//! task with the least is moved or slowed first. What is returned counts as told.
mitigation mitigate(throttle_state &throttle, const interference_model &model,
                    const interference_rules &rules, const job_table &table, const worker_session &session,
                    time_point now);

//! Tells whether a serving task there was too slow for so long that no more tasks that fill may come.
bool isBestEffortBlocked(const throttle_state &throttle, const interference_rules &rules, time_point now);

//! Share of its processor time that a run may use at its pace, in percent.
int throttlePercent(const throttle_state &throttle, const task_name &task, std::uint32_t run);

} // namespace almond::jobs
