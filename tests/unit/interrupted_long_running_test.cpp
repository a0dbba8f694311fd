#include "tests/unit/job_fixtures.h"

#include <gtest/gtest.h>

//! Lasting tasks that ran and lost their worker, while the service is full.
namespace {

using namespace almond;

constexpr const char *largeJob = "00000000000000aa";
constexpr const char *smallJob = "00000000000000ab";
constexpr const char *shortJob = "00000000000000ac";
constexpr const char *residentJob = "00000000000000ad";

//! Workers of 32 cores, each with 24 taken by tasks that stay and 8 by two short ones. Short tasks of the
//! same priority wait in numbers, and as soon as one ends another could take its place.
class full_service
{
public:
    static constexpr std::uint32_t workerCount = 20;
    static constexpr std::int64_t roundMs = 100;

    full_service()
    {
        add(residentJob, lasting(workerCount, 24'000));
        add(shortJob, tests::step(2000, 4000));
        for (std::uint32_t number = 0; number < workerCount; ++number) {
            start({residentJob, 0, 0, number}, 1, number);
            startShort(number);
            startShort(number);
        }
    }

    //! A lasting step whose tasks have run and lost their worker.
    void addInterrupted(const char *id, std::uint32_t count, std::int64_t millicores)
    {
        add(id, lasting(count, millicores));
        for (std::uint32_t index = 0; index < count; ++index) {
            jobs::apply(m_book, tests::started({id, 0, 0, index}, 1, "gone@1"));
            jobs::apply(m_book, tests::ended({id, 0, 0, index}, 1, jobs::run_end::lost));
        }
    }

    //! On four workers a short task ends; then the next starts are planned.
    void playRound(std::int64_t now)
    {
        for (int ends = 0; ends < 4; ++ends) {
            const auto [task, run] = m_short.front();
            m_short.erase(m_short.begin());
            jobs::apply(m_book, tests::ended(task, run, jobs::run_end::done));
        }
        std::vector<jobs::candidate> candidates;
        for (std::uint32_t number = 0; number < workerCount; ++number) {
            const auto load = m_book.loads.find(incarnation(number));
            candidates.push_back(
                jobs::makeCandidate(info(number), load == m_book.loads.end() ? nullptr : &load->second));
        }
        constexpr std::size_t limit = 400;
        for (const jobs::journal_record &record : jobs::planStarts(
                 m_book, m_config, m_interference, std::move(candidates), limit, tests::at(now))) {
            ASSERT_TRUE(jobs::apply(m_book, record));
            if (record.task.job == shortJob)
                m_short.emplace_back(record.task, record.run);
        }
    }

    std::uint32_t assignedOf(const char *id) const { return m_book.jobs.find(id)->second.assigned; }

private:
    static jobs::step_spec lasting(std::uint32_t count, std::int64_t millicores)
    {
        jobs::step_spec spec = tests::step(count, millicores);
        spec.longRunning = true;
        return spec;
    }

    static jobs::worker_info info(std::uint32_t number)
    {
        return tests::worker("w" + std::to_string(number));
    }
    static std::string incarnation(std::uint32_t number) { return jobs::incarnationOf(info(number)); }

    void add(const char *id, const jobs::step_spec &spec)
    {
        jobs::addJob(m_book, tests::makeJob(id, {spec}));
    }

    void start(const jobs::task_name &task, std::uint32_t run, std::uint32_t worker)
    {
        jobs::apply(m_book, tests::started(task, run, incarnation(worker)));
    }

    void startShort(std::uint32_t worker)
    {
        const jobs::task_name task{shortJob, 0, 0, static_cast<std::uint32_t>(m_short.size())};
        start(task, 1, worker);
        m_short.emplace_back(task, 1);
    }

    jobs::job_table m_book;
    jobs::fleet_config m_config = tests::fleetConfig();
    jobs::interference_view m_interference;
    //! Short tasks at work, the oldest first.
    std::vector<std::pair<jobs::task_name, std::uint32_t>> m_short;
};

//! LOST on tichomer-ba-grown: lasting tasks that fitted nowhere kept those that fitted from starting again,
//! and short tasks took all the room that came free.
TEST(InterruptedLasting, ATaskRunsAgainThoughLargerOnesFitNowhereAndShortOnesWait)
{
    full_service service;
    service.addInterrupted(largeJob, 8, 12'000);
    service.addInterrupted(smallJob, 6, 4000);
    constexpr std::int64_t boundMs = 3000;
    for (std::int64_t now = 10'000; now < 10'000 + boundMs; now += full_service::roundMs)
        service.playRound(now);
    EXPECT_EQ(service.assignedOf(smallJob), 6U);
}

} // namespace
