#include "jobs/job_codec.h"
#include "jobs/live_records.h"
#include "store/journal_codec.h"
#include "store/journal_compaction.h"
#include "tests/fakes/fake_store.h"
#include "tests/unit/draw.h"
#include "tests/unit/job_fixtures.h"
#include "tests/unit/loop.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

//! Compaction of a journal whose store loses responses and carries out writes late.
namespace {

using namespace almond;
using fakes::call_completion;
using kernel::task;
using nlohmann::json;

constexpr const char *journalName = "almond/journal";
constexpr const char *ownerKey = "almond/owner";
constexpr std::size_t jobCount = 6;

jobs::job_id idOf(std::size_t number)
{
    return "00000000000000a" + std::to_string(number);
}

jobs::job_table tableOf(const std::set<jobs::job_id> &accepted)
{
    jobs::job_table table;
    for (const jobs::job_id &id : accepted)
        jobs::addJob(table, tests::makeJob(id, {tests::step(2, 500), tests::step(1, 500)}));
    return table;
}

//! What a new owner knows of the jobs.
json describe(const jobs::job_table &table)
{
    json out = json::object();
    for (const auto &[id, job] : table.jobs) {
        json &described = out[id.str()];
        described["status"] = jobs::statusName(job.status);
        described["begun"] = job.hasBegun;
        for (const auto &[number, occurrence] : job.occurrences) {
            for (const jobs::step_state &step : occurrence.steps) {
                for (const jobs::task_state &state : step.tasks)
                    described["tasks"].push_back({static_cast<int>(state.phase), state.run, state.failures,
                                                  state.worker, state.checkpoint, state.interrupted});
            }
        }
    }
    return out;
}

//! A random record that may follow the earlier ones, or be one that has no effect.
jobs::journal_record drawRecord(const jobs::job_table &table)
{
    const jobs::task_name task{idOf(tests::draw<std::size_t>(0, jobCount)), 0,
                               tests::draw<std::uint32_t>(0, 2), tests::draw<std::uint32_t>(0, 2)};
    const jobs::task_state *state = jobs::findTask(table, task);
    const std::uint32_t run = state ? state->run : 0;
    if (tests::draw(0, 30) == 0) {
        jobs::journal_record failed;
        failed.kind = jobs::record_kind::jobFailed;
        failed.task.job = task.job;
        return failed;
    }
    if (!state || state->phase != jobs::task_phase::assigned)
        return tests::started(task, run + 1, "w" + std::to_string(tests::draw(0, 3)));
    if (tests::draw(0, 8) == 0)
        return tests::moved(task, run, "w" + std::to_string(tests::draw(0, 3)));
    constexpr std::array ends{jobs::run_end::done, jobs::run_end::failed, jobs::run_end::lost,
                              jobs::run_end::notStarted};
    jobs::journal_record ended = tests::ended(task, run, ends.at(tests::draw<std::size_t>(0, ends.size())));
    ended.checkpoint = tests::draw(0, 3) == 0 ? "c" + std::to_string(run) : "";
    return ended;
}

class journal_history
{
public:
    journal_history()
    {
        standins::putItem(m_store.state, ownerKey, "owner", {}, "");
        m_fence.ownerKey = ownerKey;
        m_fence.ownerRevision = m_store.state.items.at(ownerKey).revision;
        m_store.itemsPerPage = 4;
        for (std::size_t number = 0; number < jobCount; ++number)
            m_accepted.insert(idOf(number));
    }

    void append(std::size_t records)
    {
        store::journal_entry entry{++m_index, "owner", "owner/1/" + std::to_string(m_index), json::array()};
        for (std::size_t number = 0; number < records; ++number) {
            const jobs::journal_record record = drawRecord(m_table);
            jobs::apply(m_table, record);
            entry.body.push_back(jobs::encodeRecord(record));
            m_records.push_back(record);
        }
        standins::putItem(m_store.state, store::entryKey(journalName, m_index),
                          store::encodeCompactEntry(entry), {}, "");
    }

    //! Leaves something in the journal that no owner has written.
    void appendForeign()
    {
        standins::putItem(m_store.state, store::entryKey(journalName, ++m_index), "not an entry", {}, "");
    }

    void remove(std::size_t number) { m_accepted.erase(idOf(number)); }

    void compact(bool reliably)
    {
        store::compaction_rules rules;
        rules.entriesPerWrite = 3;
        rules.recordsPerEntry = 12;
        rules.writePause = kernel::milliseconds(0);
        const auto isKept = [this](const jobs::job_id &id) { return m_accepted.contains(id); };
        const store::record_filter filter
            = [isKept](const json &body) { return jobs::liveRecords(body, isKept, 1); };
        bool finished = false;
        const auto run
            = [](store::store_api api, std::uint64_t last, store::journal_fence fence,
                 store::record_filter used, store::compaction_rules limits, bool *done) -> task<void> {
            co_await store::compactJournal(
                api, journalName, last, fence, used, [] { return true; }, limits);
            *done = true;
        };
        kernel::spawn(m_context.get_executor(),
                      run(m_store.api(), m_index - 1, m_fence, filter, rules, &finished));
        while (!finished) {
            m_context.restart();
            m_context.poll();
            if (m_store.held() == 0)
                continue;
            const auto completion = reliably
                ? call_completion::answer
                : *rc::gen::weightedElement<call_completion>({{12, call_completion::answer},
                                                              {1, call_completion::loseAnswer},
                                                              {1, call_completion::drop},
                                                              {2, call_completion::late},
                                                              {1, call_completion::refuse}});
            m_store.release(0, completion);
        }
    }

    void carryOutSomeLate()
    {
        while (m_store.late() > 0 && tests::draw(0, 3) > 0)
            m_store.carryOutLate(tests::draw<std::size_t>(0, m_store.late()));
    }

    void carryOutAllLate()
    {
        while (m_store.late() > 0)
            m_store.carryOutLate(0);
    }

    void replaceOwner() { standins::putItem(m_store.state, ownerKey, "next owner", {}, ""); }

    //! The jobs as all records that were ever written say.
    std::string expected() const
    {
        jobs::job_table table = tableOf(m_accepted);
        for (const jobs::journal_record &record : m_records)
            jobs::apply(table, record);
        return describe(table).dump();
    }

    //! The jobs as the journal in the store says.
    std::string read() const
    {
        jobs::job_table table = tableOf(m_accepted);
        for (const auto &[key, item] : m_store.state.items) {
            const auto entry = store::decodeEntry(0, item.value);
            if (!key.starts_with(store::entryPrefix(journalName)) || !entry)
                continue;
            for (const json &record : entry->body)
                jobs::apply(table, jobs::decodeRecord(record));
        }
        return describe(table).dump();
    }

    std::size_t entryCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_store.state.items.begin(), m_store.state.items.end(), [](const auto &item) {
                return item.first.starts_with(store::entryPrefix(journalName));
            }));
    }

    bool hasNewest() const { return m_store.state.items.contains(store::entryKey(journalName, m_index)); }

private:
    boost::asio::io_context m_context;
    fakes::fake_store m_store{m_context};
    store::journal_fence m_fence;
    std::uint64_t m_index = 0;
    std::set<jobs::job_id> m_accepted;
    std::vector<jobs::journal_record> m_records;
    jobs::job_table m_table = tableOf({idOf(0), idOf(1), idOf(2), idOf(3), idOf(4), idOf(5)});
};

//! Guards against a compaction that loses, reorders or repeats records of jobs that are still present, also
//! by writes that the store carries out after later compactions.
RC_GTEST_PROP(journal_compaction_test, PresentJobsKeepTheirState, ())
{
    journal_history history;
    const int rounds = tests::draw(1, 6);
    for (int round = 0; round < rounds; ++round) {
        const int entries = tests::draw(1, 14);
        for (int entry = 0; entry < entries; ++entry) {
            if (tests::draw(0, 12) == 0)
                history.appendForeign();
            else
                history.append(tests::draw<std::size_t>(1, 6));
        }
        if (tests::draw(0, 2) == 0)
            history.remove(tests::draw<std::size_t>(0, jobCount));
        history.compact(false);
        RC_ASSERT(history.read() == history.expected());
        history.carryOutSomeLate();
        RC_ASSERT(history.read() == history.expected());
    }
    history.carryOutAllLate();
    RC_ASSERT(history.read() == history.expected());
    RC_ASSERT(history.hasNewest());
}

//! Guards against a former owner whose compaction removes what its successor has written.
RC_GTEST_PROP(journal_compaction_test, ReplacedOwnerCompactsNothing, ())
{
    journal_history history;
    for (int entry = 0; entry < 10; ++entry)
        history.append(3);
    history.remove(0);
    history.replaceOwner();
    const std::size_t before = history.entryCount();
    history.compact(false);
    history.carryOutAllLate();
    RC_ASSERT(history.entryCount() == before);
    RC_ASSERT(history.read() == history.expected());
}

RC_GTEST_PROP(journal_compaction_test, RemovedJobsLeaveOnlyTheNewestEntry, ())
{
    journal_history history;
    for (int entry = 0; entry < 40; ++entry)
        history.append(3);
    for (std::size_t number = 0; number < jobCount; ++number)
        history.remove(number);
    history.compact(true);
    RC_ASSERT(history.entryCount() == 1U);
    RC_ASSERT(history.hasNewest());
}

TEST(LiveRecords, LeasesOfEarlierTermsAndRemovedJobsAreLeftOut)
{
    const json body = json::parse(R"([["started", "00000000000000a1.0.0.0", 1, "w@1"],
        ["started", "00000000000000a2.0.0.0", 1, "w@1"], ["gaveUp", "00000000000000a2"],
        ["leaseHandedOver", "w@1", 100, 3], ["leaseHandedOver", "w@1", 100, 4], ["of a later version", 1]])");
    const json live = jobs::liveRecords(
        body, [](const jobs::job_id &id) { return id == idOf(1); }, 4);
    ASSERT_EQ(live.size(), 3U);
    EXPECT_EQ(live.at(0), body.at(0));
    EXPECT_EQ(live.at(1), body.at(4));
    EXPECT_EQ(live.at(2), body.at(5));
}

} // namespace
