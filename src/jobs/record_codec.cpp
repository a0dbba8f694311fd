// The format of a journal_record in the journal.

#include "jobs/job_codec.h"
#include "jobs/job_table.h"

#include <stdexcept>

namespace almond::jobs {

using nlohmann::json;

json encodeRecord(const journal_record &record)
{
    switch (record.kind) {
    case record_kind::started:
        return json::array({"started", formatTask(record.task), record.run, record.worker});
    case record_kind::moved:
        return json::array({"moved", formatTask(record.task), record.run, record.worker});
    case record_kind::ended: {
        json out = json::array(
            {"ended", formatTask(record.task), record.run, static_cast<int>(record.end), record.checkpoint});
        if (record.startUnconfirmed)
            out.push_back(true);
        return out;
    }
    case record_kind::leaseHandedOver:
        return json::array({"leaseHandedOver", record.worker, record.leaseLeft.count(), record.term});
    case record_kind::jobFailed:
        break;
    }
    return json::array({"gaveUp", record.task.job});
}

journal_record decodeRecord(const json &in)
{
    journal_record record;
    const std::string kind = in.at(0);
    if (kind == "gaveUp") {
        record.kind = record_kind::jobFailed;
        record.task.job = in.at(1);
        return record;
    }
    if (kind == "leaseHandedOver") {
        record.kind = record_kind::leaseHandedOver;
        record.worker = in.at(1);
        record.leaseLeft = milliseconds(in.at(2).get<std::int64_t>());
        record.term = in.at(3);
        return record;
    }
    const auto name = parseTask(in.at(1).get<std::string>());
    if (!name || (kind != "started" && kind != "ended" && kind != "moved"))
        throw std::invalid_argument("malformed journal record: " + in.dump());
    record.task = *name;
    record.run = in.at(2);
    if (kind != "ended") {
        record.kind = kind == "moved" ? record_kind::moved : record_kind::started;
        record.worker = in.at(3);
        return record;
    }
    record.kind = record_kind::ended;
    record.end = static_cast<run_end>(in.at(3).get<int>());
    record.checkpoint = in.at(4);
    // Earlier versions don't write this.
    record.startUnconfirmed = in.size() > 5 && in.at(5).get<bool>();
    return record;
}

} // namespace almond::jobs
