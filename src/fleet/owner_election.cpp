#include "fleet/owner_election.h"

#include "codec/bounded_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace almond::fleet {

using kernel::task;
using nlohmann::json;
using store::store_status;

namespace {

struct owner_term
{
    std::uint64_t term = 0;
    std::vector<std::string> recentOwners;
};

//! Returns an empty term if \a value is not an encoded one.
owner_term decodeTerm(const std::string &value)
{
    try {
        const std::optional<json> parsed = codec::parseText(value);
        if (!parsed || !parsed->is_object())
            return {};
        return {codec::integerMember(*parsed, "term", std::uint64_t{0}),
                parsed->value("holders", std::vector<std::string>{})};
    } catch (const std::exception &) {
        return {};
    }
}

} // namespace

void applyOwnerKey(owner_view &view, const std::string &key, const std::string &value, std::int64_t revision,
                   time_point now)
{
    if (key == election_key::owner) {
        view.address = value;
        view.ownerRevision = value.empty() ? 0 : revision;
        view.ownerRemovedAt = value.empty() ? now : time_point{};
    } else if (key == election_key::term) {
        const owner_term newest = decodeTerm(value);
        // The term never falls: workers refuse the orders of an owner with a lower one.
        view.term = value.empty() ? 0 : std::max(view.term, newest.term);
        view.recentOwners = newest.recentOwners;
        view.termRevision = value.empty() ? 0 : revision;
        view.termSeenAt = now;
    }
}

std::vector<std::string> formerOwners(const owner_view &view, const std::string &address,
                                      const election_rules &rules, time_point now)
{
    std::vector<std::string> former = view.recentOwners;
    if (!former.empty() && now - view.termSeenAt >= rules.detachedLimit)
        former.erase(former.begin(), former.end() - 1);
    // A previous run of the requesting process has ended and renews nothing.
    std::erase(former, address);
    return former;
}

time_point unattendedSince(const owner_view &view, const election_rules &rules)
{
    return view.ownerRemovedAt == time_point{} ? time_point{} : view.ownerRemovedAt - rules.lease;
}

milliseconds candidacyDelay(const election_rules &rules, double processorShare, double random)
{
    constexpr double weakest = 0.05;
    const double halvings = std::max(0.0, -std::log2(std::max(processorShare, weakest)));
    const double delay = random * static_cast<double>(rules.candidateJitter.count())
        + halvings * static_cast<double>(rules.weakHostDelay.count());
    return milliseconds(static_cast<std::int64_t>(delay));
}

task<std::optional<won_term>> tryAcquireOwnership(store::store_api store, std::string address,
                                                  owner_view view, election_rules rules, time_point now)
{
    std::optional<won_term> won;
    const std::vector<std::string> former = formerOwners(view, address, rules, now);
    std::vector<std::string> recentOwners = former;
    recentOwners.push_back(address);
    json term;
    term["term"] = view.term + 1;
    term["holders"] = recentOwners;
    const store::store_reply lease = co_await store.grantLease(rules.lease);
    if (lease.status != store_status::ok)
        co_return won;
    store::transaction change;
    change.preconditions.push_back({election_key::owner, 0});
    change.preconditions.push_back({election_key::term, view.termRevision});
    change.puts.push_back({election_key::owner, address, lease.value});
    change.puts.push_back({election_key::term, term.dump(), ""});
    const store::store_reply reply = co_await store.commit(change);
    if (reply.status == store_status::ok) {
        won = won_term{view.term + 1, reply.revision, lease.value, former, unattendedSince(view, rules)};
        co_return won;
    }
    // Also if the response was lost: revoking the lease deletes an owner key that the call may have written.
    co_await store.revokeLease(lease.value);
    co_return won;
}

task<renewal_result> renewOwnership(store::store_api store, won_term term)
{
    const store::store_reply reply = co_await store.keepAlive(term.lease);
    if (reply.status == store_status::ok)
        co_return renewal_result::held;
    co_return reply.status == store_status::absent ? renewal_result::lost : renewal_result::unknown;
}

bool isPreviousRun(const owner_view &view, const std::string &address)
{
    return !view.address.empty() && view.address == address;
}

task<store_status> clearOwnership(store::store_api store, owner_view view)
{
    store::transaction change;
    change.preconditions.push_back({election_key::owner, view.ownerRevision});
    change.removals.emplace_back(election_key::owner);
    const store::store_reply reply = co_await store.commit(change);
    co_return reply.status;
}

task<void> releaseOwnership(store::store_api store, won_term term)
{
    co_await store.revokeLease(term.lease);
}

} // namespace almond::fleet
