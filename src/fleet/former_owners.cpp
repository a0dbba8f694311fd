#include "fleet/former_owners.h"

#include <algorithm>

namespace almond::fleet {

using kernel::task;
using nlohmann::json;

namespace {

constexpr const char *inquiryCall = "owner.renews";

} // namespace

void provideRenewalQuery(wire::peer_link &peers, std::function<bool(std::uint64_t laterTerm)> renews)
{
    peers.provide(inquiryCall, [renews = std::move(renews)](json arguments) -> task<json> {
        json answer;
        answer["renews"] = renews(arguments.at("term"));
        co_return answer;
    });
}

task<bool> awaitFormerOwners(wire::peer_link *peers, std::vector<std::string> holders, std::uint64_t term,
                             std::function<bool()> goOn, renewal_query_rules rules)
{
    json arguments;
    arguments["term"] = term;
    while (!holders.empty()) {
        if (!goOn())
            co_return false;
        const std::string asked = holders.back();
        const auto answer = co_await peers->call(asked, inquiryCall, arguments, rules.answerTimeout);
        const bool renews = !answer || answer->value("renews", true);
        if (!renews) {
            holders.pop_back();
            continue;
        }
        std::rotate(holders.begin(), holders.end() - 1, holders.end());
        co_await kernel::sleepFor(rules.retryPause);
    }
    co_return true;
}

} // namespace almond::fleet
