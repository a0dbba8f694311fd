#include "daemon/node_settings.h"

namespace almond::daemon {

using kernel::milliseconds;
using settings::integer_range;

settings::read_settings<node_settings> readNodeSettings(const settings::json &document)
{
    constexpr integer_range timeRange{1, 3'600'000};
    settings::read_settings<node_settings> result;
    settings::object_reader reader(document, "", result.found);
    node_settings &value = result.value;
    value.id = reader.requiredString("id");
    value.failureDomain = reader.requiredString("failureDomain");
    value.callersAddress = reader.requiredAddress("callersAddress");
    value.readinessAddress = reader.requiredAddress("readinessAddress");
    value.peerAddress = reader.requiredAddress("peerAddress");
    value.operatorAddress = reader.requiredAddress("operatorAddress");
    value.storeAddress = reader.requiredAddress("storeAddress");
    value.logLevel = reader.choice("logLevel", "info", {"debug", "info", "warning", "error"});
    value.storeTimeout = milliseconds(reader.integer("storeTimeoutMs", 1000, timeRange));
    value.workerLease = milliseconds(reader.integer("workerLeaseMs", 5400, timeRange));
    value.harmBound = milliseconds(reader.integer("harmBoundMs", 4000, integer_range{1, 60'000}));
    value.statusRetention
        = std::chrono::seconds(reader.integer("statusRetentionS", 120, integer_range{1, 7LL * 24 * 3600}));
    value.stopGrace = milliseconds(reader.integer("stopGraceMs", 6000, timeRange));
    value.connections = reader.integer("connections", 3000, integer_range{1, 1'000'000});
    value.processorShare = reader.share("processorShare", 1.0);
    reader.finish();
    result.described = reader.described();
    return result;
}

} // namespace almond::daemon
