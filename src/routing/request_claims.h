#pragma once

#include "store/store_api.h"

#include <cstdint>
#include <string>

namespace almond::routing {

enum class claim_status {
    //! This gateway alone may send the request, once.
    claimed,
    //! Another request with this key was answered; the answer is kept.
    answered,
    //! Another request with this key is under way, or its gateway ended before it was answered.
    pending,
    //! The store did not answer; nothing may be sent.
    unavailable
};

//! The answer of an earlier request with the same key.
struct kept_answer
{
    unsigned status = 0;
    std::string body;
    std::string minion;
};

struct claim_result
{
    claim_status status = claim_status::unavailable;
    kept_answer answer;
    std::int64_t revision = 0;
};

//! Claims keys of non-idempotent requests in the store, so that each runs at most once over all gateways.
class request_claims
{
public:
    request_claims(store::store_api store, std::string gateway, kernel::milliseconds retention);

    //! Claims \a key for \a service. \a request is unique to this request.
    kernel::task<claim_result> claim(std::string service, std::string key, std::string request);
    //! Keeps \a answer for later requests with the key.
    kernel::task<void> complete(std::string service, std::string key, std::int64_t revision,
                                kept_answer answer);
    //! Gives the claim back: the request was certainly not run.
    kernel::task<void> withdraw(std::string service, std::string key);

private:
    kernel::task<bool> ensureLease();

    store::store_api m_store;
    std::string m_gateway;
    kernel::milliseconds m_retention;
    std::string m_lease;
    kernel::time_point m_leaseRenewAt{};
};

} // namespace almond::routing
