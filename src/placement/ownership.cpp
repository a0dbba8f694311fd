#include "placement/ownership.h"

#include "codec/bounded_json.h"
#include "observe/log.h"
#include "placement/cell_directory.h"

#include <nlohmann/json.hpp>

namespace almond::placement {

using json = nlohmann::json;

namespace {

const std::string memberPrefix = std::string(schedulerPrefix) + "member/";
const std::string ownerPrefix = std::string(schedulerPrefix) + "owner/";

//! Empty if \a value is not an encoded member.
std::optional<scheduler_member> decodeMember(const std::string &value)
{
    const std::optional<json> parsed = codec::parseText(value);
    const bool whole = parsed && parsed->is_object() && parsed->value("id", json()).is_string()
        && parsed->value("peerAddress", json()).is_string();
    if (!whole)
        return std::nullopt;
    return scheduler_member{(*parsed)["id"], (*parsed)["peerAddress"]};
}

bool mayAcquire(const std::string &cell, const std::string &assignedMember, const std::string &self,
                ownerless_times &ownerless, kernel::milliseconds grace, kernel::time_point now)
{
    const kernel::time_point since = ownerless.try_emplace(cell, now).first->second;
    return assignedMember == self || now - since >= grace;
}

} // namespace

std::string memberKey(const std::string &id)
{
    return memberPrefix + id;
}

std::string ownerKey(const std::string &cell)
{
    return ownerPrefix + cell;
}

std::string encodeMember(const scheduler_member &member)
{
    return json{{"id", member.id}, {"peerAddress", member.peerAddress}}.dump();
}

ownership_view decodeOwnership(std::span<const store::stored_item> items)
{
    ownership_view view;
    for (const store::stored_item &item : items) {
        const std::optional<scheduler_member> member = decodeMember(item.value);
        if (!member)
            observe::logLimited(observe::log_level::error, "malformed scheduler entry ignored",
                                {{"key", item.key}}, kernel::monotonicNow());
        else if (item.key.starts_with(memberPrefix))
            view.members.emplace(item.key.substr(memberPrefix.size()), *member);
        else if (item.key.starts_with(ownerPrefix))
            view.owners.emplace(item.key.substr(ownerPrefix.size()), *member);
    }
    return view;
}

ownership_plan planOwnership(const ownership_view &view, std::span<const std::string> cells,
                             const std::string &self, const std::set<std::string> &owned,
                             ownerless_times &ownerless, kernel::milliseconds grace, kernel::time_point now)
{
    std::vector<std::string> members;
    for (const auto &[id, member] : view.members)
        members.push_back(id);
    ownership_plan plan;
    for (const std::string &cell : cells) {
        const std::string assignedMember = rendezvous(cell, members);
        const auto owner = view.owners.find(cell);
        const bool ownedHere = owned.contains(cell);
        if (owner == view.owners.end()) {
            if (ownedHere)
                plan.reassert.push_back(cell);
            else if (mayAcquire(cell, assignedMember, self, ownerless, grace, now))
                plan.acquire.push_back(cell);
            continue;
        }
        ownerless.erase(cell);
        if (ownedHere && owner->second.id != self)
            plan.lost.push_back(cell);
        else if (ownedHere && assignedMember != self)
            plan.release.push_back(cell);
        else if (!ownedHere && owner->second.id == self)
            plan.acquire.push_back(cell); // the response to an earlier write of the owner key was lost
    }
    return plan;
}

} // namespace almond::placement
