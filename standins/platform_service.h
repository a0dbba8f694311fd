#pragma once

#include "http/server.h"
#include "standins/platform_state.h"
#include "standins/record_log.h"

#include <map>
#include <string>

namespace almond::standins {

//! Faults that a test injects with PUT /admin/faults.
struct platform_faults
{
    //! The connection of each request is closed and the request has no effect, except for /hosts/ID and
    //! /admin.
    bool outage = false;
    //! Delay of each request, in milliseconds.
    std::int64_t delayMs = 0;
    //! Number of following writes that take effect and whose connection is closed without a response.
    std::int64_t lostResponses = 0;
};

//! Serves the platform's API over HTTP: /kv/KEY, /range, /leases, /watch and /hosts, and for tests
//! /admin/faults and /admin/stats.
class platform_service
{
public:
    //! Reads the time from \a clock. Changes of the host list become visible after \a hostListLag. Appends
    //! each write to the file \a record, unless the path is empty.
    platform_service(kernel::clock_source clock, kernel::milliseconds hostListLag, const std::string &record);

    kernel::task<http::reply> handle(http::request request);

private:
    http::reply dispatch(const http::request &request, std::string_view path, std::string_view query);
    http::reply handleKey(const http::request &request, const std::string &key);
    http::reply handleRange(std::string_view query);
    http::reply handleLease(const http::request &request, std::string_view path);
    http::reply handleHost(const http::request &request, std::string_view path, std::string_view query);
    http::reply handleAdmin(const http::request &request, std::string_view path);
    kernel::task<http::reply> handleWatch(std::string query);

    kernel::clock_source m_clock;
    kernel::milliseconds m_hostListLag;
    platform_state m_state;
    record_log m_log;
    platform_faults m_faults;
    //! Number of requests by kind, "read" or "write".
    std::map<std::string, std::uint64_t> m_requestCounts;
};

} // namespace almond::standins
