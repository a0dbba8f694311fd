#include "apps/ctl/control_session.h"

#include <iostream>

namespace almond::ctl {

namespace {

constexpr kernel::milliseconds callTimeout{10'000};
//! How long an operator waits for schedulers that answer but do not know the owners yet, as after an outage
//! of the store; longer than a takeover.
constexpr kernel::milliseconds patience{10'000};
constexpr kernel::milliseconds retryPause{200};

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
    const kernel::time_point end = kernel::monotonicNow() + patience;
    bool answered = true;
    // Each call names its jobs, so that asking again changes nothing more.
    while (answered && kernel::monotonicNow() < end) {
        answered = false;
        for (const std::string &address : session.options.schedulers) {
            auto answer = co_await session.peers->call(address, method, arguments, callTimeout);
            answered = answered || answer.has_value();
            if (answer && !answer->is_null())
                co_return answer;
        }
        if (answered)
            co_await kernel::sleepFor(retryPause);
    }
    co_return std::nullopt;
}

} // namespace almond::ctl
