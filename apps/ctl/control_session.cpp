#include "apps/ctl/control_session.h"

#include <iostream>

namespace almond::ctl {

namespace {

constexpr kernel::milliseconds callTimeout{10'000};

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
    for (const std::string &address : session.options.schedulers) {
        auto answer = co_await session.peers->call(address, method, arguments, callTimeout);
        if (answer && !answer->is_null())
            co_return answer;
    }
    co_return std::nullopt;
}

} // namespace almond::ctl
