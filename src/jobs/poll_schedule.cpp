#include "jobs/poll_schedule.h"

#include <algorithm>

namespace almond::jobs {

bool isHarmPossible(const worker_load &load)
{
    return load.bestEffortMillicores > 0 && !load.serving.empty();
}

bool isExtraPollDue(const poll_progress &polls, const poll_rules &rules, time_point now)
{
    if (!polls.isUnderWay || polls.extraUnderWay >= rules.mostExtraPolls
        || now - polls.listedAt > rules.giveUpAfter)
        return false;
    const time_point due = std::max({polls.sentAt + polls.wait, polls.extraSentAt, polls.listedAt});
    return now - due >= std::max(rules.overdueAfter, rules.overdueAfterDelays * polls.usualDelay);
}

void recordPollDelay(poll_progress &polls, time_point dueAt, time_point now)
{
    constexpr int weightOfAverage = 7;
    const milliseconds delay = std::max(milliseconds(0), milliseconds(now - dueAt));
    polls.usualDelay = (polls.usualDelay * weightOfAverage + delay) / (weightOfAverage + 1);
}

bool isOvertaken(const poll_progress &polls, time_point sentAt)
{
    return sentAt < polls.listSentAt;
}

} // namespace almond::jobs
