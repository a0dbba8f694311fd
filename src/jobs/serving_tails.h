#pragma once

#include "jobs/interference.h"

#include <span>

//! What the measurements of the serving tasks on one worker show; internal to the decisions on interference.
namespace almond::jobs {

//! Whether the present owner has started the run, or may have.
bool isStartedHere(const worker_session &session, const running_report &row);

//! Updates the measurements of the serving tasks from the newest poll. A poll without a measurement leaves
//! those of the task as they are. \a disturbed tells whether a best-effort task may be at work beside them.
void updateTails(throttle_state &throttle, const interference_rules &rules, const worker_session &session,
                 std::span<const listed_run> runs, bool disturbed, time_point now);

//! Returns whether a serving task comes near the harm bound. Stores in \a throttle how long targets have been
//! missed.
bool assessTargetMisses(throttle_state &throttle, const interference_rules &rules, time_point now);

//! Returns whether a target has been missed for \a time.
bool isMissedFor(const throttle_state &throttle, milliseconds time, time_point now);

//! Returns whether the newest measurements of all serving tasks allow higher limits.
bool isRoomConfirmed(const throttle_state &throttle, const interference_rules &rules,
                     std::span<const listed_run> runs);

} // namespace almond::jobs
