#include "placement/cell_directory.h"
#include "placement/scheduler_service.h"

#include <gtest/gtest.h>

//! Tests what a scheduler knows about the owners of cells while the store responds only to some calls.
namespace {

using namespace almond;
using kernel::milliseconds;
using kernel::task;
using store::store_reply;
using store::store_status;

constexpr milliseconds storeLease{300};
constexpr milliseconds renewInterval{20};

//! A store that grants leases and can be read, but loses the response to every renewal.
store::store_api makeStoreWithoutRenewalResponses(const placement::scheduler_member &owner)
{
    store::store_api api;
    api.grantLease = [](milliseconds) -> task<store_reply> {
        co_return store_reply{store_status::ok, "1", 0};
    };
    api.keepAlive = [](std::string) -> task<store_reply> {
        co_return store_reply{store_status::unavailable, "", 0};
    };
    api.create = [](std::string, std::string, std::string) -> task<store_reply> {
        co_return store_reply{store_status::ok, "", 1};
    };
    api.range = [owner](store::key_range) -> task<store::range_reply> {
        store::range_reply reply;
        reply.status = store_status::ok;
        reply.items.push_back({placement::ownerKey("cell-1"), placement::encodeMember(owner), 1});
        co_return reply;
    };
    return api;
}

//! Guards against a scheduler that no longer knows the owners of cells, so that job requests fail, while the
//! store loses the responses to writes for a while but still serves reads.
TEST(SchedulerService, OwnersStayKnownWhileRenewalsGetNoResponse)
{
    boost::asio::io_context context;
    wire::peer_link peers(context);
    placement::scheduler_options options;
    options.self = {"scheduler-1", "127.0.0.1:1"};
    options.storeLease = storeLease;
    options.renewInterval = renewInterval;
    placement::owner_dependencies dependencies;
    dependencies.store = makeStoreWithoutRenewalResponses({"scheduler-2", "127.0.0.1:2"});
    dependencies.clock = kernel::monotonicNow;
    dependencies.config = [] { return std::make_shared<const config::config_view>(); };
    placement::scheduler_service scheduler(context, options, std::move(dependencies), peers);
    kernel::spawn(context.get_executor(), scheduler.run());
    const auto startedAt = kernel::monotonicNow();
    bool known = false;
    while (kernel::monotonicNow() - startedAt < 3 * storeLease) {
        context.run_one_for(std::chrono::milliseconds(5));
        known = known || scheduler.knowsOwners(kernel::monotonicNow());
        if (known)
            ASSERT_TRUE(scheduler.knowsOwners(kernel::monotonicNow()));
    }
    EXPECT_TRUE(known);
}

} // namespace
