#include "apps/command_line.h"
#include "apps/ctl/control_session.h"
#include "http/address.h"

#include <iostream>

namespace almond::ctl {

using apps::exit_status;
using kernel::task;

namespace {

constexpr kernel::milliseconds dumpTimeout{5000};

} // namespace

task<int> runDumpCommand(control_session &session)
{
    const std::string address = session.word(1);
    if (!http::isPeerAddress(address))
        co_return fail(session, exit_status::badInput,
                       "dump: requires the operator address of a process as IP:PORT");
    http::request message(http::verb::get, "/dump", 11);
    message.set(http::field::host, address);
    const http::exchange_result result
        = co_await session.pool->exchange(address, std::move(message), dumpTimeout);
    if (result.status != http::exchange_status::answered)
        co_return fail(session, exit_status::failed,
                       "no valid response from " + address + ": " + result.detail);
    const json state = json::parse(result.answer.body(), nullptr, false);
    print(session, state, result.answer.body());
    co_return exit_status::succeeded;
}

} // namespace almond::ctl
