#include "tests/unit/loop.h"
#include "wire/peer_link.h"

#include <gtest/gtest.h>

//! Remote procedure calls between the processes of this system.
namespace {

using namespace almond;
using kernel::milliseconds;
using kernel::task;
using wire::json;

constexpr const char *address = "127.0.0.1:21991";
constexpr const char *unusedAddress = "127.0.0.1:21992";

TEST(PeerLink, CallGetsResponseUnlessMethodOrPeerIsMissing)
{
    boost::asio::io_context context;
    wire::peer_link server(context);
    server.provide("double", [](json arguments) -> task<json> {
        json result;
        result["value"] = arguments.at("value").get<int>() * 2;
        co_return result;
    });
    server.listen(address);
    wire::peer_link client(context);
    tests::runToEnd(context, [](wire::peer_link &caller) -> task<void> {
        json arguments;
        arguments["value"] = 21;
        const auto response = co_await caller.call(address, "double", arguments, milliseconds(3000));
        EXPECT_TRUE(response && response->at("value") == 42);
        const auto unknownMethod = co_await caller.call(address, "nothing", arguments, milliseconds(50));
        EXPECT_FALSE(unknownMethod);
        const auto repeated = co_await caller.call(address, "double", arguments, milliseconds(3000));
        EXPECT_TRUE(repeated);
        const auto missingPeer = co_await caller.call(unusedAddress, "double", arguments, milliseconds(3000));
        EXPECT_FALSE(missingPeer);
    }(client));
    server.stop();
}

} // namespace
