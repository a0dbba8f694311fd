#include "config/config_document.h"
#include "config/config_journal.h"
#include "placement/job_service.h"
#include "settings/process_settings.h"
#include "tests/fakes/fake_store.h"

#include <gtest/gtest.h>

#include <algorithm>

//! Validation of process settings, configuration documents and jobs, and concurrent patches by operators.
namespace {

using namespace almond;
using json = nlohmann::json;
using config::submit_status;

json firstDocument()
{
    return json::parse(R"({"failureDomains": {"a": {"region": "r"}, "b": {"region": "r"}},
                           "services": {"s": {}}, "cellsPerFailureDomain": 2})");
}

bool hasPlace(const settings::findings &found, const std::string &place)
{
    return std::any_of(found.begin(), found.end(), [&](const auto &item) { return item.place == place; });
}

TEST(Settings, EveryErrorIsReportedAtOnce)
{
    const json document = json::parse(R"({"id": "g", "failureDomain": "a", "operatorAddress": "host:1",
        "storeAddress": "127.0.0.1:70000", "bodyBytes": 1, "unknown": true})");
    const auto read = settings::readGatewaySettings(document);
    EXPECT_TRUE(hasPlace(read.found, "/operatorAddress"));
    EXPECT_TRUE(hasPlace(read.found, "/storeAddress"));
    EXPECT_TRUE(hasPlace(read.found, "/listenAddress"));
    EXPECT_TRUE(hasPlace(read.found, "/bodyBytes"));
    EXPECT_TRUE(hasPlace(read.found, "/unknown"));
    EXPECT_EQ(read.found.size(), 5U);
}

TEST(Settings, SyntaxErrorIsReportedWithItsLine)
{
    settings::findings found;
    settings::parseWithComments("{\n // comment\n \"a\": 1,\n \"b\" 2\n}", "file.json", found);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found.front().place, "file.json:4");
}

//! A task lease must cover the time for which a start is valid, and every lease must be renewed at least
//! twice in its duration.
TEST(Settings, InconsistentLeaseTimesAreReported)
{
    const json document = json::parse(R"({"id": "s", "failureDomain": "a", "operatorAddress": "127.0.0.1:1",
        "storeAddress": "127.0.0.1:2", "peerAddress": "127.0.0.1:3", "taskLeaseMs": 1000, "renewIntervalMs": 3000})");
    const auto read = settings::readSchedulerSettings(document);
    EXPECT_TRUE(hasPlace(read.found, "/taskLeaseMs"));
    EXPECT_TRUE(hasPlace(read.found, "/renewIntervalMs"));
    EXPECT_TRUE(hasPlace(read.found, "/syncIntervalMs"));
}

TEST(ConfigDocument, EveryErrorOfAPatchIsReported)
{
    settings::findings found;
    config::applyPatch(firstDocument(), json::parse(R"({"services": {"s": {"deadlineMs": -1, "x": 1}},
        "cellsPerFailureDomain": 3, "failureDomains": {"a": null}})"),
                       found);
    EXPECT_TRUE(hasPlace(found, "/services/s/deadlineMs"));
    EXPECT_TRUE(hasPlace(found, "/services/s/x"));
    EXPECT_TRUE(hasPlace(found, "/cellsPerFailureDomain"));
    EXPECT_TRUE(hasPlace(found, "/failureDomains/a"));
}

TEST(ConfigDocument, WithdrawalClosesOneFailureDomain)
{
    settings::findings found;
    const json after = config::applyPatch(firstDocument(), config::withdrawalPatch("a", true), found);
    const auto document = config::readDocument(after, found);
    EXPECT_TRUE(found.empty());
    EXPECT_FALSE(config::isOpen(document, "a"));
    EXPECT_TRUE(config::isOpen(document, "b"));
    EXPECT_FALSE(config::isOpen(document, "c"));
}

//! Submits patches to a fake store, concurrently if the test wants it.
struct submit_fixture
{
    boost::asio::io_context context;
    fakes::fake_store store{context};
    store::store_api api = store.api();

    void submit(std::uint64_t base, const std::string &author, const std::string &id,
                config::submit_result &out, json patch = firstDocument())
    {
        config::submission change{base, std::move(patch), author, id};
        kernel::spawn(context.get_executor(),
                      [](const store::store_api &link, config::submission submitted,
                         config::submit_result &result) -> kernel::task<void> {
                          result = co_await config::submitPatch(link, submitted, kernel::fromMillis(1));
                      }(api, std::move(change), out));
    }

    //! Completes every call, the oldest first, so that concurrent submissions interleave. The third call
    //! completes as \a createCompletion says if nothing has been written before.
    void completeCalls(fakes::call_completion createCompletion = fakes::call_completion::answer)
    {
        context.restart();
        while (context.poll() > 0 || store.held() > 0) {
            if (store.held() == 0)
                continue;
            const bool first = store.state.items.empty();
            store.release(0,
                          first && store.state.revision == 0 && calls++ == 2
                              ? createCompletion
                              : fakes::call_completion::answer);
        }
    }

    int calls = 0;
};

TEST(ConfigJournal, OneOfTwoConcurrentPatchesIsAccepted)
{
    submit_fixture f;
    config::submit_result first;
    config::submit_result second;
    f.submit(0, "anna", "1", first);
    f.submit(0, "bert", "2", second);
    f.completeCalls();
    const bool firstAccepted = first.status == submit_status::accepted;
    const config::submit_result &loser = firstAccepted ? second : first;
    EXPECT_NE(first.status, second.status);
    EXPECT_EQ(loser.status, submit_status::stale);
    EXPECT_EQ(loser.conflictingAuthor, firstAccepted ? "anna" : "bert");
    EXPECT_EQ(loser.newest, 1U);
}

//! A patch against an older version must not be merged into a newer one that its author has not seen.
TEST(ConfigJournal, StalePatchIsRejectedAndNotMerged)
{
    submit_fixture f;
    config::submit_result first;
    config::submit_result second;
    config::submit_result stale;
    f.submit(0, "anna", "1", first);
    f.completeCalls();
    f.submit(1, "bert", "2", second, config::withdrawalPatch("a", true));
    f.completeCalls();
    f.submit(1, "carl", "3", stale, config::withdrawalPatch("b", true));
    f.completeCalls();
    EXPECT_EQ(second.status, submit_status::accepted);
    EXPECT_EQ(stale.status, submit_status::stale);
    EXPECT_EQ(stale.newest, 2U);
    EXPECT_EQ(stale.conflictingAuthor, "bert");
    EXPECT_EQ(f.store.state.items.count("config/entry/00000000000003"), 0U);
}

TEST(ConfigJournal, RepeatedSubmissionIsReportedAsAccepted)
{
    submit_fixture f;
    config::submit_result first;
    config::submit_result again;
    f.submit(0, "anna", "1", first);
    f.completeCalls();
    f.submit(0, "anna", "1", again);
    f.completeCalls();
    EXPECT_EQ(first.status, submit_status::accepted);
    EXPECT_EQ(again.status, submit_status::accepted);
}

TEST(ConfigJournal, PatchIsReportedAsAcceptedAfterALostResponse)
{
    submit_fixture f;
    config::submit_result result;
    f.submit(0, "anna", "1", result);
    f.completeCalls(fakes::call_completion::loseAnswer);
    EXPECT_EQ(result.status, submit_status::accepted);
    EXPECT_EQ(f.store.state.items.count("config/entry/00000000000001"), 1U);
}

TEST(ConfigJournal, InvalidPatchChangesNothing)
{
    submit_fixture f;
    config::submit_result result;
    f.submit(0, "anna", "1", result, json::parse(R"({"failureDomains": {}, "extra": 1})"));
    f.completeCalls();
    EXPECT_EQ(result.status, submit_status::invalid);
    EXPECT_EQ(result.findings.size(), 2U);
    EXPECT_TRUE(f.store.state.items.empty());
}

TEST(Jobs, EveryErrorOfAJobIsReported)
{
    settings::findings found;
    placement::readJob(json::parse(R"({"team": "", "class": "other", "millicores": 0, "extra": 1})"),
                       "/jobs/0", found);
    EXPECT_TRUE(hasPlace(found, "/jobs/0/id"));
    EXPECT_TRUE(hasPlace(found, "/jobs/0/team"));
    EXPECT_TRUE(hasPlace(found, "/jobs/0/class"));
    EXPECT_TRUE(hasPlace(found, "/jobs/0/millicores"));
    EXPECT_TRUE(hasPlace(found, "/jobs/0/memoryMb"));
    EXPECT_TRUE(hasPlace(found, "/jobs/0/extra"));
}

} // namespace
