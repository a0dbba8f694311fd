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

//! One host of the platform's list. The list shows changes only after some delay.
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
    //! Resources of a worker as the platform lists them; empty for a minion.
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

//! Client of the platform's store and host list over HTTP.
class http_store
{
public:
    //! \a address is IP:PORT. A call without a response within \a timeout has the status unavailable.
    http_store(const std::string &address, kernel::milliseconds timeout);
    ~http_store();

    //! Returns the store's calls. They are valid during the lifetime of this object.
    store_api api();
    //! Returns the changes of the host list after \a revision, or the whole list for revision 0.
    kernel::task<host_changes> hostsSince(std::int64_t revision);
    const store_counters &counters() const;

private:
    struct transport;
    std::unique_ptr<transport> m_transport;
};

} // namespace almond::store
