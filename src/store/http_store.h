#pragma once

#include "store/store_api.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace almond::store {

//! Counters of the calls to the platform.
struct store_counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t unavailable = 0;
};

//! One host of the platform's list. The list lags behind the truth.
struct listed_host
{
    std::string id;
    //! "worker" or "minion".
    std::string role;
    std::string service;
    std::string address;
    std::string failureDomain;
    std::string rack;
    bool leaving = false;
    //! What a worker has, as the platform knows it; empty for a minion.
    nlohmann::json capacity;
};

//! The hosts that changed since a revision.
struct host_changes
{
    store_status status = store_status::unavailable;
    std::int64_t revision = 0;
    std::vector<listed_host> changed;
    std::vector<std::string> removed;
};

//! The platform over HTTP, by Qt's network access.
class http_store
{
public:
    //! \a address is IP:PORT; a call without an answer after \a timeout is unavailable.
    http_store(const std::string &address, kernel::milliseconds timeout);
    ~http_store();

    //! The calls as free functions; valid while this object lives.
    store_api api();
    //! Returns what changed in the host list after \a revision; 0 gives the whole list.
    kernel::task<host_changes> hostsSince(std::int64_t revision);
    const store_counters &counters() const;

private:
    struct transport;
    std::unique_ptr<transport> m_transport;
};

} // namespace almond::store
