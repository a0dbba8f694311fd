#include "jobs/live_records.h"

#include "jobs/job_table.h"

namespace almond::jobs {

using nlohmann::json;

namespace {

bool isLive(const json &encoded, const std::function<bool(const job_id &)> &isKept, std::uint64_t term)
{
    try {
        const journal_record record = decodeRecord(encoded);
        if (record.kind == record_kind::leaseHandedOver)
            return record.term >= term;
        return isKept(record.task.job);
    } catch (const std::exception &) {
        // It may be a record of a later version.
        return true;
    }
}

} // namespace

json liveRecords(const json &body, const std::function<bool(const job_id &)> &isKept, std::uint64_t term)
{
    json live = json::array();
    for (const json &record : body) {
        if (isLive(record, isKept, term))
            live.push_back(record);
    }
    return live;
}

} // namespace almond::jobs
