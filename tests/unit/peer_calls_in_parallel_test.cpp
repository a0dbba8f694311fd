#include "tests/unit/loop.h"
#include "wire/peer_link.h"

#include <gtest/gtest.h>

//! Concurrent calls to one peer.
namespace {

using namespace almond;
using kernel::milliseconds;
using kernel::task;
using wire::json;

constexpr const char *address = "127.0.0.1:21993";

//! Guards against a call that times out and thereby closes the connection on which other calls to the same
//! peer wait for their responses. Those calls failed although the peer was handling them, so requests for the
//! status of a job got no response.
TEST(PeerCallsInParallel, TimedOutCallDoesNotFailOtherCallsToTheSamePeer)
{
    boost::asio::io_context context;
    wire::peer_link server(context);
    server.provide("respondLate", [](json arguments) -> task<json> {
        co_await kernel::sleepFor(milliseconds(arguments.at("afterMs").get<int>()));
        co_return json(true);
    });
    server.listen(address);
    wire::peer_link client(context);
    bool responded = false;
    bool callEnded = false;
    kernel::spawn(context.get_executor(),
                  [](wire::peer_link *caller, bool *hasResponse, bool *ended) -> task<void> {
                      json arguments;
                      arguments["afterMs"] = 600;
                      const auto response
                          = co_await caller->call(address, "respondLate", arguments, milliseconds(5000));
                      *hasResponse = response.has_value();
                      *ended = true;
                  }(&client, &responded, &callEnded));
    tests::runToEnd(context, [](wire::peer_link *caller, bool *ended) -> task<void> {
        json arguments;
        arguments["afterMs"] = 5000;
        const auto missing = co_await caller->call(address, "respondLate", arguments, milliseconds(300));
        EXPECT_FALSE(missing);
        while (!*ended)
            co_await kernel::sleepFor(milliseconds(10));
    }(&client, &callEnded));
    EXPECT_TRUE(responded);
    server.stop();
}

} // namespace
