#pragma once

#include "http/server.h"
#include "standins/platform_state.h"
#include "standins/record_log.h"

#include <map>
#include <string>

namespace almond::standins {

//! Faults that a test switches on at PUT /admin/faults.
struct platform_faults
{
    //! Every call is dropped without effect.
    bool outage = false;
    //! Added to each call, in milliseconds.
    std::int64_t delayMs = 0;
    //! So many of the next writes take effect and lose their answer.
    std::int64_t loseAnswers = 0;
};

//! The platform over HTTP: /kv/KEY, /range, /leases, /watch, /hosts, /admin/faults and /admin/stats.
class platform_service
{
public:
    platform_service(kernel::clock_source clock, kernel::milliseconds hostListLag, const std::string &record);

    kernel::task<http::reply> handle(http::request asked);

private:
    http::reply dispatch(const http::request &asked, std::string_view path, std::string_view query);
    http::reply handleKey(const http::request &asked, const std::string &key);
    http::reply handleRange(std::string_view query);
    http::reply handleLease(const http::request &asked, std::string_view path);
    http::reply handleHost(const http::request &asked, std::string_view path, std::string_view query);
    http::reply handleAdmin(const http::request &asked, std::string_view path);
    kernel::task<http::reply> handleWatch(std::string query);

    kernel::clock_source m_clock;
    kernel::milliseconds m_hostListLag;
    platform_state m_state;
    record_log m_log;
    platform_faults m_faults;
    std::map<std::string, std::uint64_t> m_calls;
};

} // namespace almond::standins
