#pragma once

#include "jobs/job_table.h"

namespace almond::jobs {

struct poll_rules
{
    //! How long after it was due a response to a poll counts as overdue.
    milliseconds overdueAfter{200};
    //! The same as a multiple of the usual delay, so that a congested link draws no extra polls.
    int overdueAfterDelays = 4;
    //! Extra polls that may be under way at one time: one of them may be lost as well.
    int mostExtraPolls = 2;
    //! No extra polls are sent to a worker that has returned no list of runs for this long.
    milliseconds giveUpAfter{4000};
};

//! The polls of one worker. Regular polls follow one another; extra polls may be sent beside one that is
//! overdue.
struct poll_progress
{
    bool isUnderWay = false;
    int extraUnderWay = 0;
    //! When the newest regular poll was sent, and how long the worker may delay its response.
    time_point sentAt{};
    milliseconds wait{0};
    //! When the newest extra poll was sent.
    time_point extraSentAt{};
    //! Moving average of the time from when a response to a regular poll was due until it arrived.
    milliseconds usualDelay{0};
    //! When a list of runs was applied last, and when the poll was sent that returned it.
    time_point listedAt{};
    time_point listSentAt{};
    //! When the newest poll was sent that had no response.
    time_point unansweredSentAt{};
};

//! Returns whether best-effort tasks are assigned beside a serving task.
bool isHarmPossible(const worker_load &load);

//! Returns whether an extra poll is to be sent: what the regular one would show may be lost.
bool isExtraPollDue(const poll_progress &polls, const poll_rules &rules, time_point now);

//! Records that the response to a regular poll, due at \a dueAt, has arrived at \a now.
void recordPollDelay(poll_progress &polls, time_point dueAt, time_point now);

//! Returns whether the list of a later poll than the one sent at \a sentAt has been applied.
bool isOvertaken(const poll_progress &polls, time_point sentAt);

} // namespace almond::jobs
