#include "jobs/wait_description.h"

#include <algorithm>

namespace almond::jobs {

using nlohmann::json;

namespace {

//! How long after \a session became unresponsive its last lease was granted, within the clock drift.
milliseconds lateLeaseGrant(const worker_session &session, const session_rules &rules)
{
    const milliseconds longest(rules.lease.count() * 100 / (100 - rules.clockDriftPercent));
    const time_point grantedAt = session.grantedLeaseUntil - longest - rules.leaseMargin;
    return std::max(grantedAt - session.unansweredSince, milliseconds(0));
}

} // namespace

json describeFittingWorkers(const fitting_workers &workers)
{
    return {{"usable", workers.usable},
            {"quarantined", workers.quarantined},
            {"refusing", workers.refusing},
            {"withdrawn", workers.withdrawn},
            {"unreachable", workers.unreachable}};
}

json describeSession(const worker_session &session, const fleet_view &view)
{
    json out{{"worker", session.incarnation},
             {"listed", session.listed},
             {"dead", session.dead},
             {"leaseOverInMs", (leaseEnd(session) - view.now).count()},
             {"leaseInherited", session.grantedLeaseUntil <= session.inheritedLeaseUntil},
             {"ordersUnderWay", session.pendingStarts.size()},
             {"answeredBeforeMs", nullptr},
             {"silentForMs", nullptr}};
    if (session.lastResponseAt != time_point{})
        out["answeredBeforeMs"] = (view.now - session.lastResponseAt).count();
    if (session.unansweredSince != time_point{}) {
        out["silentForMs"] = (view.now - session.unansweredSince).count();
        if (!out["leaseInherited"].get<bool>())
            out["leaseGrantedInSilenceMs"] = lateLeaseGrant(session, view.sessions).count();
    }
    return out;
}

} // namespace almond::jobs
