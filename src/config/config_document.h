#pragma once

#include "settings/findings.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace almond::config {

using json = nlohmann::json;

//! A failure domain. While it is withdrawn, no task is started and no request is sent there.
struct failure_domain
{
    std::string region;
    bool withdrawn = false;
};

//! A latency-critical service and the limits for its requests.
struct service
{
    std::int64_t deadlineMs = 0;
    std::int64_t slotsPerMinion = 0;
    std::int64_t connectionsPerMinion = 0;
};

//! Resources that the running tasks of a team may use in total, over all failure domains.
struct team_quota
{
    std::int64_t millicores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
};

//! One version of the configuration that operators submit.
struct config_document
{
    std::map<std::string, failure_domain, std::less<>> failureDomains;
    std::map<std::string, service, std::less<>> services;
    std::map<std::string, team_quota, std::less<>> teams;
    //! Number of cells (groups of workers with one owner) in each failure domain. Fixed by the first version.
    std::int64_t cellsPerFailureDomain = 1;
};

//! Reads \a document. Appends every error to \a found, with its JSON path.
config_document readDocument(const json &document, settings::findings &found);

//! Returns \a document with the merge patch \a patch (RFC 7396) applied. Appends to \a found every error in
//! the result and every change that is not allowed.
json applyPatch(const json &document, const json &patch, settings::findings &found);

//! Returns the merge patch that withdraws \a failureDomain, or returns it to service.
json withdrawalPatch(std::string_view failureDomain, bool withdrawn);

//! Returns whether \a failureDomain is configured and not withdrawn, so that it may get new work.
bool isOpen(const config_document &document, std::string_view failureDomain);

} // namespace almond::config
