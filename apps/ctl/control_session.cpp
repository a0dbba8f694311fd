#include "apps/ctl/control_session.h"

#include <iostream>

namespace almond::ctl {

namespace {

constexpr kernel::milliseconds callTimeout{10'000};
//! How long a call is retried while schedulers respond but do not know the cells' owners yet, as after an
//! outage of the store. Longer than the takeover of a cell.
constexpr kernel::milliseconds retryPeriod{10'000};
constexpr kernel::milliseconds retryDelay{200};

} // namespace

void print(const control_session &session, const json &value, const std::string &text)
{
    if (session.options.asJson)
        std::cout << value.dump() << '\n';
    else
        std::cout << text;
}

int fail(const control_session &session, int status, const std::string &text, const json &details)
{
    json value = details;
    value["error"] = text;
    if (session.options.asJson)
        std::cout << value.dump() << '\n';
    std::cerr << text << '\n';
    return status;
}

kernel::task<std::optional<json>> callScheduler(control_session &session, std::string method, json arguments)
{
    const kernel::time_point end = kernel::monotonicNow() + retryPeriod;
    bool anyResponse = true;
    // Repeating a call is safe, since it names its jobs by id.
    while (anyResponse && kernel::monotonicNow() < end) {
        anyResponse = false;
        for (const std::string &address : session.options.schedulers) {
            auto response = co_await session.peers->call(address, method, arguments, callTimeout);
            anyResponse = anyResponse || response.has_value();
            if (response && !response->is_null())
                co_return response;
        }
        if (anyResponse)
            co_await kernel::sleepFor(retryDelay);
    }
    co_return std::nullopt;
}

} // namespace almond::ctl
