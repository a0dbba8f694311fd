#include "config/config_document.h"

#include "settings/object_reader.h"

namespace almond::config {

using settings::findings;
using settings::object_reader;

namespace {

constexpr settings::integer_range deadlineRange{10, 600'000};
constexpr settings::integer_range slotRange{1, 10'000};
constexpr settings::integer_range connectionRange{1, 10'000};
constexpr settings::integer_range quotaRange{0, 1'000'000'000};
constexpr settings::integer_range cellRange{1, 64};

failure_domain readFailureDomain(const json &value, const std::string &path, findings &found)
{
    object_reader reader(value, path, found);
    failure_domain result;
    result.region = reader.requiredString("region");
    result.withdrawn = reader.boolean("withdrawn", false);
    reader.finish();
    return result;
}

service readService(const json &value, const std::string &path, findings &found)
{
    object_reader reader(value, path, found);
    service result;
    result.deadlineMs = reader.integer("deadlineMs", 2000, deadlineRange);
    result.slotsPerMinion = reader.integer("slotsPerMinion", 8, slotRange);
    result.connectionsPerMinion = reader.integer("connectionsPerMinion", 64, connectionRange);
    reader.finish();
    return result;
}

team_quota readTeam(const json &value, const std::string &path, findings &found)
{
    object_reader reader(value, path, found);
    team_quota result;
    result.millicores = reader.requiredInteger("millicores", quotaRange);
    result.memoryMb = reader.requiredInteger("memoryMb", quotaRange);
    result.accelerators = reader.integer("accelerators", 0, quotaRange);
    reader.finish();
    return result;
}

template<typename T, typename Read>
std::map<std::string, T, std::less<>> readMembers(object_reader &reader, std::string_view key, Read read,
                                                  findings &found)
{
    std::map<std::string, T, std::less<>> result;
    for (const auto &[name, value] : reader.object(key).items())
        result.emplace(name, read(value, reader.pathOf(key) + "/" + name, found));
    return result;
}

//! Reports changes that are not allowed. The number of cells determines the cell of each worker, so it must
//! not change while tasks run.
void checkAllowedChange(const config_document &before, const config_document &after, findings &found)
{
    if (before.cellsPerFailureDomain != after.cellsPerFailureDomain)
        found.push_back({"/cellsPerFailureDomain", "is fixed by version 1 and can't be changed"});
    for (const auto &[name, domain] : before.failureDomains) {
        if (!after.failureDomains.contains(name) && !domain.withdrawn)
            found.push_back({"/failureDomains/" + name, "must be withdrawn before it is removed"});
    }
}

} // namespace

config_document readDocument(const json &document, findings &found)
{
    object_reader reader(document, "", found);
    config_document result;
    result.failureDomains = readMembers<failure_domain>(reader, "failureDomains", readFailureDomain, found);
    result.services = readMembers<service>(reader, "services", readService, found);
    result.teams = readMembers<team_quota>(reader, "teams", readTeam, found);
    result.cellsPerFailureDomain = reader.integer("cellsPerFailureDomain", 1, cellRange);
    reader.finish();
    if (document.is_object() && result.failureDomains.empty())
        found.push_back({"/failureDomains", "must name at least one failure domain"});
    return result;
}

json applyPatch(const json &document, const json &patch, findings &found)
{
    if (!patch.is_object()) {
        found.push_back({"/", "a patch must be an object"});
        return document;
    }
    json result = document;
    result.merge_patch(patch);
    const config_document after = readDocument(result, found);
    const bool isFirst = document.empty();
    if (!isFirst) {
        findings ignored;
        checkAllowedChange(readDocument(document, ignored), after, found);
    }
    return result;
}

json withdrawalPatch(std::string_view failureDomain, bool withdrawn)
{
    return {{"failureDomains", {{std::string(failureDomain), {{"withdrawn", withdrawn}}}}}};
}

bool isOpen(const config_document &document, std::string_view failureDomain)
{
    const auto found = document.failureDomains.find(failureDomain);
    return found != document.failureDomains.end() && !found->second.withdrawn;
}

} // namespace almond::config
