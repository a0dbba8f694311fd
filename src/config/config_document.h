#pragma once

#include "settings/findings.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace almond::config {

using json = nlohmann::json;

//! A failure domain. While it is withdrawn nothing starts and no request is sent there.
struct failure_domain
{
    std::string region;
    bool withdrawn = false;
};

//! A latency-critical service and the bounds of its requests.
struct service
{
    std::int64_t deadlineMs = 0;
    std::int64_t slotsPerMinion = 0;
    std::int64_t connectionsPerMinion = 0;
};

//! What a team may have running at once over all failure domains.
struct team_quota
{
    std::int64_t millicores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
};

//! The operators' placement configuration; one numbered version of it.
struct config_document
{
    std::map<std::string, failure_domain, std::less<>> failureDomains;
    std::map<std::string, service, std::less<>> services;
    std::map<std::string, team_quota, std::less<>> teams;
    //! Groups of workers in each failure domain; fixed by the first version.
    std::int64_t cellsPerFailureDomain = 1;
};

//! Reads \a document; appends everything that is wrong to \a found, by JSON path.
config_document readDocument(const json &document, settings::findings &found);

//! Returns \a document with the merge patch \a patch (RFC 7396) applied; appends to \a found what is
//! wrong with the result or with the change itself.
json applyPatch(const json &document, const json &patch, settings::findings &found);

//! The merge patch that withdraws or returns \a failureDomain.
json withdrawalPatch(std::string_view failureDomain, bool withdrawn);

//! Tells whether new work may go to \a failureDomain.
bool isOpen(const config_document &document, std::string_view failureDomain);

} // namespace almond::config
