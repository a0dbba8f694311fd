#include "settings/process_settings.h"

namespace almond::settings {

using kernel::milliseconds;

namespace {

constexpr integer_range durationRangeMs{1, 3'600'000};
constexpr integer_range sizeRangeBytes{256, 1'073'741'824};
constexpr integer_range countRange{1, 1'000'000};

milliseconds readDuration(object_reader &reader, std::string_view key, std::int64_t fallback,
                          integer_range range = durationRangeMs)
{
    return milliseconds(reader.integer(key, fallback, range));
}

common_settings readCommon(object_reader &reader)
{
    common_settings common;
    common.id = reader.requiredString("id");
    common.failureDomain = reader.requiredString("failureDomain");
    common.operatorAddress = reader.requiredAddress("operatorAddress");
    common.storeAddress = reader.requiredAddress("storeAddress");
    common.storeTimeout = readDuration(reader, "storeTimeoutMs", 1000);
    common.configPollInterval = readDuration(reader, "configPollIntervalMs", 500);
    common.hostPollInterval = readDuration(reader, "hostPollIntervalMs", 500);
    common.logLevel = reader.choice("logLevel", "info", {"debug", "info", "warning", "error"});
    common.schedulers = reader.addresses("schedulers");
    return common;
}

//! A task lease must not be shorter than the time for which a start is valid. Otherwise a worker could still
//! accept the start after the scheduler considers its lease expired and places the task again, and the task
//! would run twice. Leases must also last for at least two renewal intervals.
void checkLeaseTimes(const scheduler_settings &value, findings &found)
{
    constexpr milliseconds startValidity{2000};
    if (value.taskLease < startValidity)
        found.push_back({"/taskLeaseMs", "must be at least 2000, the time for which a start is valid"});
    if (value.renewInterval * 2 > value.storeLease)
        found.push_back({"/renewIntervalMs", "must be at most half of storeLeaseMs"});
    if (value.syncInterval * 2 > value.taskLease)
        found.push_back({"/syncIntervalMs", "must be at most half of taskLeaseMs"});
}

} // namespace

read_settings<gateway_settings> readGatewaySettings(const json &document)
{
    read_settings<gateway_settings> result;
    object_reader reader(document, "", result.found);
    gateway_settings &value = result.value;
    value.common = readCommon(reader);
    value.listenAddress = reader.requiredAddress("listenAddress");
    value.headerBytes = reader.integer("headerBytes", 16LL * 1024, sizeRangeBytes);
    value.bodyBytes = reader.integer("bodyBytes", 16LL * 1024 * 1024, sizeRangeBytes);
    value.receiveTimeout = readDuration(reader, "receiveTimeoutMs", 10'000);
    value.idleTimeout = readDuration(reader, "idleTimeoutMs", 60'000);
    value.connections = reader.integer("connections", 4096, countRange);
    value.queueLength = reader.integer("queueLength", 1024, countRange);
    value.drainLimit = readDuration(reader, "drainLimitMs", 30'000);
    value.routingPolicy = reader.choice("routingPolicy", "least-loaded",
                                        {"random", "round-robin", "two-choices", "least-loaded"});
    reader.finish();
    result.described = reader.described();
    return result;
}

read_settings<scheduler_settings> readSchedulerSettings(const json &document)
{
    read_settings<scheduler_settings> result;
    object_reader reader(document, "", result.found);
    scheduler_settings &value = result.value;
    value.common = readCommon(reader);
    value.peerAddress = reader.requiredAddress("peerAddress");
    value.storeLease = readDuration(reader, "storeLeaseMs", 4000);
    value.renewInterval = readDuration(reader, "renewIntervalMs", 1000);
    value.takeoverGrace = readDuration(reader, "takeoverGraceMs", 2000);
    value.commitInterval = readDuration(reader, "commitIntervalMs", 50);
    value.syncInterval = readDuration(reader, "syncIntervalMs", 1000);
    value.syncTimeout = readDuration(reader, "syncTimeoutMs", 1000);
    value.taskLease = readDuration(reader, "taskLeaseMs", 6000);
    value.clockMargin = readDuration(reader, "clockMarginMs", 1000);
    value.detachedLimit = readDuration(reader, "detachedLimitMs", 600'000);
    value.snapshotAfter = reader.integer("snapshotAfter", 256, countRange);
    reader.finish();
    checkLeaseTimes(value, result.found);
    result.described = reader.described();
    return result;
}

read_settings<control_settings> readControlSettings(const json &document)
{
    read_settings<control_settings> result;
    object_reader reader(document, "", result.found);
    result.value.storeAddress = reader.requiredAddress("storeAddress");
    result.value.schedulers = reader.addresses("schedulers");
    result.value.author = reader.string("author", "operator");
    reader.finish();
    result.described = reader.described();
    return result;
}

} // namespace almond::settings
