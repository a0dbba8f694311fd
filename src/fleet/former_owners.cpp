#include "fleet/former_owners.h"

#include <algorithm>

namespace almond::fleet {

using kernel::task;
using nlohmann::json;

namespace {

constexpr const char *renewalQueryCall = "owner.renews";

} // namespace

void provideRenewalQuery(wire::peer_link &peers, std::function<bool(std::uint64_t laterTerm)> mayRenew)
{
    peers.provide(renewalQueryCall, [mayRenew = std::move(mayRenew)](json arguments) -> task<json> {
        json response;
        response["renews"] = mayRenew(arguments.at("term"));
        co_return response;
    });
}

task<bool> awaitFormerOwners(wire::peer_link *peers, std::vector<std::string> owners, std::uint64_t term,
                             std::function<bool()> keepWaiting, renewal_query_rules rules)
{
    json arguments;
    arguments["term"] = term;
    while (!owners.empty()) {
        if (!keepWaiting())
            co_return false;
        const std::string address = owners.back();
        const auto response
            = co_await peers->call(address, renewalQueryCall, arguments, rules.responseTimeout);
        const bool mayRenew
            = !response || !response->is_object() || response->value("renews", json()) != json(false);
        if (!mayRenew) {
            owners.pop_back();
            continue;
        }
        std::rotate(owners.begin(), owners.end() - 1, owners.end());
        co_await kernel::sleepFor(rules.retryDelay);
    }
    co_return true;
}

} // namespace almond::fleet
