#include "placement/cell_directory.h"
#include "placement/job_service.h"
#include "placement/scheduler_service.h"
#include "tests/unit/loop.h"

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
store::store_api makeStoreWithoutRenewalResponses(const placement::scheduler_member &owner,
                                                  const std::string &cell = "cell-1")
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
    api.range = [owner, cell](store::key_range) -> task<store::range_reply> {
        store::range_reply reply;
        reply.status = store_status::ok;
        reply.items.push_back({placement::ownerKey(cell), placement::encodeMember(owner), 1});
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

//! Guards against jobs whose cancellation is reported as unknown because the owner of their cell is changing.
TEST(JobService, CancellationIsRepeatedWhileTheOwnerOfACellIsChanging)
{
    constexpr const char *ownerAddress = "127.0.0.1:21995";
    boost::asio::io_context context;
    wire::peer_link newOwner(context);
    int calls = 0;
    newOwner.provide("cell.cancel", [&calls](wire::json arguments) -> task<wire::json> {
        wire::json response = wire::json::object();
        // The owner takes its cells one after the other.
        if (++calls > 2) {
            for (const wire::json &id : arguments.at("ids"))
                response["results"][id.get<std::string>()] = "cancelled";
        }
        co_return response;
    });
    newOwner.listen(ownerAddress);
    config::config_view view;
    view.parsed.failureDomains["bergen-a"] = {};
    view.parsed.cellsPerFailureDomain = 1;
    const std::string cell = placement::cellNames(view.parsed).front();
    wire::peer_link peers(context);
    placement::scheduler_options options;
    options.self = {"scheduler-1", "127.0.0.1:1"};
    options.storeLease = milliseconds(60'000);
    options.renewInterval = renewInterval;
    placement::owner_dependencies dependencies;
    dependencies.store = makeStoreWithoutRenewalResponses({"scheduler-2", ownerAddress}, cell);
    dependencies.clock = kernel::monotonicNow;
    dependencies.config = [&view] { return std::make_shared<const config::config_view>(view); };
    placement::scheduler_service scheduler(context, options, dependencies, peers);
    placement::job_service jobs(scheduler, dependencies, peers);
    kernel::spawn(context.get_executor(), scheduler.run());
    wire::json response;
    const auto work = [&]() -> task<void> {
        while (!scheduler.knowsOwners(kernel::monotonicNow()))
            co_await kernel::sleepFor(milliseconds(5));
        wire::json arguments;
        arguments["ids"] = {"job-0", "job-1"};
        response = co_await jobs.cancel(arguments);
    };
    tests::runToEnd(context, work());
    EXPECT_EQ(calls, 3);
    ASSERT_EQ(response.at("results").size(), 2U);
    for (const wire::json &result : response.at("results"))
        EXPECT_EQ(result.at("status"), "cancelled");
    newOwner.stop();
}

} // namespace
