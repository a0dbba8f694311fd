#include "store/journal_codec.h"
#include "tests/unit/owner_fixture.h"

//! Ended jobs are kept for a while and then removed, with their cancellations and their part of the journal,
//! so that what a new owner has to read doesn't grow with the age of the deployment.
namespace {

using namespace almond;
using jobs::job_status;
using kernel::milliseconds;
using kernel::task;

constexpr milliseconds shortRetention{300};

std::string acceptedKey(const std::string &id)
{
    return fleet::job_key::accepted + id;
}

std::string cancelledKey(const std::string &id)
{
    return fleet::job_key::cancelled + id;
}

std::string completedJob(int number)
{
    return "00000000000000c" + std::to_string(number);
}

class ended_jobs_test : public tests::owner_fixture
{
protected:
    //! Called with each page of the jobs before it is returned.
    std::function<void(store::page_reply &)> onPage;

    void SetUp() override
    {
        rules.endedRetention = shortRetention;
        rules.removalPause = milliseconds(5);
        rules.removalRetryDelay = milliseconds(50);
        owner_fixture::SetUp();
    }

    store::store_api ownersStore() override
    {
        store::store_api api = store.api();
        api.page = [this, page = api.page](std::string prefix, std::string after) -> task<store::page_reply> {
            store::page_reply reply = co_await page(prefix, after);
            if (prefix == fleet::job_key::prefix && onPage)
                onPage(reply);
            co_return reply;
        };
        return api;
    }

    void replaceOwner(std::uint64_t term)
    {
        owner->resign("replaced");
        startOwner(term, [this] { owner->updateWorker("w", tests::worker("w")); });
    }

    bool isKnown(const std::string &id) const { return owner->statusOf(id).has_value(); }

    bool runUntilRemoved(const std::string &id)
    {
        return runUntil([&] { return !isKnown(id) && store.revisionOf(acceptedKey(id)) == 0; });
    }

    //! Runs a job of two tasks to its end.
    void complete(const std::string &id)
    {
        accept(tests::makeJob(id, {tests::step(2, 500)}));
        ASSERT_TRUE(runUntil([&] { return owner->statusOf(id) == job_status::running; }));
        ASSERT_TRUE(runUntil([&] {
            for (std::uint32_t index = 0; index < 2; ++index)
                workers.end("w", jobs::formatTask({id, 0, 0, index}), 1, jobs::run_end::done);
            return owner->statusOf(id) == job_status::completed;
        }));
    }

    //! Records of the journal that concern the job \a id.
    std::size_t recordsOf(const std::string &id)
    {
        std::size_t count = 0;
        tests::runToEnd(context,
                        [](store::store_api api, std::string wanted, std::size_t *found) -> task<void> {
                            const auto status = co_await store::visitJournal(
                                api, fleet::job_key::journal, 0, [&](const store::journal_entry &entry) {
                                    for (const nlohmann::json &record : entry.body)
                                        *found += record.at(1).get<std::string>().starts_with(wanted) ? 1 : 0;
                                });
                            EXPECT_EQ(status, store::store_status::ok);
                        }(store.api(), id, &count));
        return count;
    }
};

//! Guards against state that grows with each job that was ever accepted (review/6).
TEST_F(ended_jobs_test, CompletedJobIsKeptForItsRetentionAndRemoved)
{
    complete(tests::onlyJob);
    runFor(shortRetention / 2);
    EXPECT_TRUE(isKnown(tests::onlyJob));
    EXPECT_GT(store.revisionOf(acceptedKey(tests::onlyJob)), 0);
    EXPECT_TRUE(runUntilRemoved(tests::onlyJob));
}

TEST_F(ended_jobs_test, CancelledJobIsRemovedWithItsCancellation)
{
    accept(tests::makeJob(tests::onlyJob, {tests::step(2, 500)}));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 2; }));
    store.put(cancelledKey(tests::onlyJob), "{}");
    EXPECT_TRUE(runUntilRemoved(tests::onlyJob));
    EXPECT_EQ(store.revisionOf(cancelledKey(tests::onlyJob)), 0);
}

//! A cancellation that an earlier version has written for a job that was never accepted.
TEST_F(ended_jobs_test, CancellationOfAnUnknownJobIsRemoved)
{
    store.put(cancelledKey(tests::onlyJob), "{}");
    EXPECT_TRUE(runUntil([this] { return store.revisionOf(cancelledKey(tests::onlyJob)) == 0; }));
}

TEST_F(ended_jobs_test, OpenJobStays)
{
    accept(tests::makeJob(tests::onlyJob, {tests::step(2, 500)}));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 2; }));
    runFor(3 * shortRetention);
    EXPECT_EQ(owner->statusOf(tests::onlyJob), job_status::running);
    EXPECT_GT(store.revisionOf(acceptedKey(tests::onlyJob)), 0);
}

//! A job that ended under an earlier owner is kept for the retention of the present one.
TEST_F(ended_jobs_test, NextOwnerRemovesWhatItFinds)
{
    rules.endedRetention = milliseconds(3'600'000);
    replaceOwner(2);
    complete(tests::onlyJob);
    rules.endedRetention = shortRetention;
    replaceOwner(3);
    EXPECT_EQ(owner->statusOf(tests::onlyJob), job_status::completed);
    EXPECT_TRUE(runUntilRemoved(tests::onlyJob));
}

//! Guards against a removed job that starts anew since a listing that was read before still shows it (TWICE).
TEST_F(ended_jobs_test, ListingFromBeforeTheRemovalStartsNothing)
{
    complete(tests::onlyJob);
    store::stored_item earlier{acceptedKey(tests::onlyJob),
                               jobs::encodeJob(tests::makeJob(tests::onlyJob, {tests::step(2, 500)})).dump(),
                               store.revisionOf(acceptedKey(tests::onlyJob))};
    ASSERT_TRUE(runUntilRemoved(tests::onlyJob));
    const std::size_t starts = workers.starts.size();
    bool listed = false;
    onPage = [&](store::page_reply &reply) {
        reply.items.push_back(earlier);
        listed = true;
    };
    store.compactHistory();
    // The watch notices the gap in the history after a change.
    accept(tests::makeJob("00000000000000ab", {tests::step(1, 500)}));
    store.compactHistory();
    ASSERT_TRUE(runUntil([&] { return listed && workers.starts.size() > starts; }));
    runFor(milliseconds(300));
    EXPECT_EQ(workers.starts.size(), starts + 1);
    EXPECT_FALSE(isKnown(tests::onlyJob));
}

//! Guards against a former owner that removes jobs which the present one still needs.
TEST_F(ended_jobs_test, ReplacedOwnerRemovesNothing)
{
    complete(tests::onlyJob);
    store.put(fleet::election_key::owner, "another process");
    runFor(3 * shortRetention);
    EXPECT_GT(store.revisionOf(acceptedKey(tests::onlyJob)), 0);
}

//! Guards against a removal without a response that is given up.
TEST_F(ended_jobs_test, RemovalWithoutAResponseIsRepeated)
{
    complete(tests::onlyJob);
    store.loseAnswers = 1;
    EXPECT_TRUE(runUntilRemoved(tests::onlyJob));
    EXPECT_EQ(store.loseAnswers, 0);
}

//! Guards against a journal that keeps the records of removed jobs, and against a compaction that loses those
//! of open ones: after a takeover a task that is done must not run again.
TEST_F(ended_jobs_test, JournalKeepsOnlyRecordsOfPresentJobs)
{
    rules.smallestCompaction = 4;
    replaceOwner(2);
    accept(tests::makeJob("00000000000000ab", {tests::step(2, 500)}));
    ASSERT_TRUE(runUntil([this] { return workers.starts.size() == 2; }));
    workers.end("w", "00000000000000ab.0.0.0", 1, jobs::run_end::done);
    for (int number = 0; number < 6; ++number)
        complete(completedJob(number));
    const std::size_t openRecords = recordsOf("00000000000000ab");
    ASSERT_GE(openRecords, 3U);
    // The newest entry stays as it is; an entry of the open job follows it.
    EXPECT_TRUE(runUntil([this] {
        const auto counters = owner->counters();
        return counters.jobsRemoved >= 6 && counters.journalRecordsRemoved > 0;
    }));
    runFor(milliseconds(300));
    EXPECT_EQ(recordsOf("00000000000000ab"), openRecords);
    EXPECT_EQ(recordsOf(completedJob(0)), 0U);
    const std::size_t starts = workers.starts.size();
    replaceOwner(3);
    runFor(milliseconds(500));
    EXPECT_EQ(owner->statusOf("00000000000000ab"), job_status::running);
    EXPECT_EQ(workers.starts.size(), starts);
    workers.endAll(jobs::run_end::done);
    EXPECT_TRUE(runUntil([this] { return owner->statusOf("00000000000000ab") == job_status::completed; }));
    EXPECT_EQ(workers.starts.size(), starts);
}

//! A job that only a later version can decode keeps its records.
TEST_F(ended_jobs_test, RecordsOfAJobThatCannotBeDecodedStay)
{
    rules.smallestCompaction = 1;
    replaceOwner(2);
    complete(tests::onlyJob);
    const std::size_t records = recordsOf(tests::onlyJob);
    owner->resign("replaced");
    store.put(acceptedKey(tests::onlyJob), R"({"id":7})");
    startOwner(3, [this] { owner->updateWorker("w", tests::worker("w")); });
    complete("00000000000000ab");
    ASSERT_TRUE(runUntilRemoved("00000000000000ab"));
    ASSERT_TRUE(runUntil([this] { return owner->counters().journalRecordsRemoved > 0; }));
    EXPECT_EQ(recordsOf(tests::onlyJob), records);
}

} // namespace
