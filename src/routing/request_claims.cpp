#include "routing/request_claims.h"

#include <nlohmann/json.hpp>

namespace almond::routing {

using json = nlohmann::json;
using kernel::task;
using store::store_reply;
using store::store_status;

namespace {

constexpr int claimAttempts = 3;
constexpr kernel::milliseconds claimRetryDelay{50};
constexpr kernel::milliseconds leasePeriod{3'600'000};
//! A response with a larger body is stored without the body.
constexpr std::size_t storedBodyLimitBytes = 64UL * 1024;

std::string claimKey(const std::string &service, const std::string &key)
{
    return "claim/" + service + "/" + key;
}

claim_result resultFromExisting(const store_reply &existing, const std::string &request)
{
    const json value = json::parse(existing.value);
    claim_result result;
    result.revision = existing.revision;
    if (value.at("request") == request && !value.contains("answer")) {
        result.status = claim_status::claimed;
        return result;
    }
    result.status = claim_status::pending;
    if (!value.contains("answer"))
        return result;
    const json &answer = value.at("answer");
    result.status = claim_status::answered;
    result.answer = {answer.at("status"), answer.at("body"), answer.at("minion")};
    return result;
}

} // namespace

request_claims::request_claims(store::store_api store, std::string gateway, kernel::milliseconds retention)
    : m_store(std::move(store))
    , m_gateway(std::move(gateway))
    , m_lease(m_store, kernel::systemNow, retention, leasePeriod)
{
}

task<claim_result> request_claims::claim(std::string service, std::string key, std::string request)
{
    const store_status leased = co_await m_lease.ensure();
    if (leased != store_status::ok)
        co_return claim_result{};
    const std::string storeKey = claimKey(service, key);
    const std::string value = json{{"gateway", m_gateway}, {"request", request}}.dump();
    for (int attempt = 0; attempt < claimAttempts; ++attempt) {
        const store_reply written = co_await m_store.create(storeKey, value, m_lease.id());
        if (written.status == store_status::ok)
            co_return claim_result{claim_status::claimed, {}, written.revision};
        // The key exists, or the response was lost. The value in the store decides.
        const store_reply existing = co_await m_store.get(storeKey);
        if (existing.status == store_status::ok)
            co_return resultFromExisting(existing, request);
        co_await kernel::sleepFor(claimRetryDelay);
    }
    co_return claim_result{};
}

task<void> request_claims::complete(std::string service, std::string key, std::int64_t revision,
                                    stored_answer answer)
{
    if (answer.body.size() > storedBodyLimitBytes)
        answer.body.clear();
    const json value
        = {{"gateway", m_gateway},
           {"request", "answered"},
           {"answer", {{"status", answer.status}, {"body", answer.body}, {"minion", answer.minion}}}};
    co_await m_store.replace(claimKey(service, key),
                             value.dump(-1, ' ', false, json::error_handler_t::replace), revision);
}

task<void> request_claims::release(std::string service, std::string key)
{
    co_await m_store.remove(claimKey(service, key));
}

} // namespace almond::routing
