#include "tests/unit/loop.h"
#include "wire/peer_link.h"

#include <gtest/gtest.h>

//! Calls between the system's own processes.
namespace {

using namespace almond;
using kernel::milliseconds;
using kernel::task;
using wire::json;

constexpr const char *address = "127.0.0.1:21991";
constexpr const char *nobody = "127.0.0.1:21992";

TEST(PeerLink, CallIsAnsweredAndMissingPeerIsNot)
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
    tests::runToEnd(context, [](wire::peer_link &link) -> task<void> {
        json arguments;
        arguments["value"] = 21;
        const auto answer = co_await link.call(address, "double", arguments, milliseconds(3000));
        EXPECT_TRUE(answer && answer->at("value") == 42);
        const auto unknown = co_await link.call(address, "nothing", arguments, milliseconds(50));
        EXPECT_FALSE(unknown);
        const auto again = co_await link.call(address, "double", arguments, milliseconds(3000));
        EXPECT_TRUE(again);
        const auto missing = co_await link.call(nobody, "double", arguments, milliseconds(3000));
        EXPECT_FALSE(missing);
    }(client));
    server.stop();
}

} // namespace
