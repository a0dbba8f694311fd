#pragma once

#include "store/retention_lease.h"

#include <cstdint>
#include <string>

namespace almond::routing {

enum class claim_status {
    //! Only this gateway may send the request, and only once.
    claimed,
    //! An earlier request with this key has completed; its response is stored.
    answered,
    //! Another request with this key is in progress, or its gateway stopped before the request completed.
    pending,
    //! The store did not respond. The request must not be sent.
    unavailable
};

//! The response to an earlier request with the same key.
struct stored_answer
{
    unsigned status = 0;
    std::string body;
    std::string minion;
};

struct claim_result
{
    claim_status status = claim_status::unavailable;
    stored_answer answer;
    std::int64_t revision = 0;
};

//! Records the idempotency keys of non-idempotent requests in the store, so that the requests with one key
//! run at most once across all gateways.
class request_claims
{
public:
    //! A claim and its stored response are kept for at least \a retention.
    request_claims(store::store_api store, std::string gateway, kernel::milliseconds retention);

    //! Claims \a key for \a service. \a request is an id that no other request has.
    kernel::task<claim_result> claim(std::string service, std::string key, std::string request);
    //! Stores \a answer for later requests with the key, if the claim still has \a revision.
    kernel::task<void> complete(std::string service, std::string key, std::int64_t revision,
                                stored_answer answer);
    //! Removes the claim of a request that no minion has run.
    kernel::task<void> release(std::string service, std::string key);

private:
    store::store_api m_store;
    std::string m_gateway;
    store::retention_lease m_lease;
};

} // namespace almond::routing
