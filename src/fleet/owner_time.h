#pragma once

#include "kernel/loop_lag.h"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

//! Where the time of the owner's event loop goes, and how late the loop is.
namespace almond::fleet {

using kernel::milliseconds;
using kernel::time_point;

//! Parts of the owner's work. None contains a co_await.
enum class owner_part : std::uint8_t {
    //! Messages of relays with the responses of workers.
    responses,
    //! What the responses to polls change.
    polls,
    //! Workers that may get tasks, with what is known of their serving tasks.
    candidates,
    //! The rest of planning a batch of records.
    planning,
    //! What follows once a batch is committed.
    finishing,
    //! Periodic checks, without the next part.
    checks,
    //! The scan of waiting tasks.
    scan,
    //! Questions of callers, from all hosts.
    callers
};
inline constexpr std::size_t ownerPartCount = 8;
//! Name of \a part in logs and metrics.
std::string_view partName(owner_part part);

using part_clock = std::chrono::steady_clock;
using part_times = std::array<std::chrono::nanoseconds, ownerPartCount>;

//! Time spent by part since the process has started. While a part runs in another one, its time counts for
//! itself only.
struct owner_time
{
    //! Indexed by owner_part.
    part_times spent{};
    //! The parts under way, each in the one before it.
    std::vector<owner_part> open;
    //! Up to when the time of the innermost part is counted.
    part_clock::time_point countedUntil{};
};

void beginPart(owner_time &times, owner_part part, part_clock::time_point now);
//! Ends the innermost part.
void endPart(owner_time &times, part_clock::time_point now);

//! Counts its own lifetime for one part. There must be no co_await in it.
class part_timer
{
public:
    //! Without \a times nothing is counted.
    part_timer(owner_time *times, owner_part part)
        : m_times(times)
    {
        if (m_times)
            beginPart(*m_times, part, part_clock::now());
    }
    ~part_timer()
    {
        if (m_times)
            endPart(*m_times, part_clock::now());
    }
    part_timer(const part_timer &) = delete;
    part_timer &operator=(const part_timer &) = delete;

private:
    owner_time *m_times;
};

//! How late the owner's loop is in one term, and the time by part in the last seconds.
struct owner_loop
{
    kernel::loop_lag lag;
    //! When the last round of planning and committing ended; zero before the first one.
    time_point roundAt{};
    milliseconds longestRoundGap{0};
    //! Milliseconds spent in a second, by part, in the last whole period.
    std::array<std::int64_t, ownerPartCount> msPerSecond{};
    time_point periodBegan{};
    //! What was spent when the present period began.
    part_times spentBefore{};
};

//! Records that a round has ended at \a now.
void recordRound(owner_loop &loop, time_point now);
//! Begins a new period of the rates if the present one is over.
void updateRates(owner_loop &loop, const owner_time &times, time_point now);
//! Describes the loop for the owner's state; \a times may be null.
nlohmann::json describeLoop(const owner_loop &loop, const owner_time *times, time_point now);

} // namespace almond::fleet
