#pragma once

#include <algorithm>
#include <array>
#include <cstdlib>
#include <ctime>
#include <limits>
#include <utility>
#include <vector>

//! The allocations of an owner on a large fleet: message trees that are read and dropped, beside thousands of
//! runs that live on for seconds.
namespace almond::tests {

//! Sizes of JSON nodes, strings and map entries, in bytes.
inline constexpr std::array<std::size_t, 8> nodeSizes{16, 24, 32, 48, 64, 80, 112, 160};

//! Blocks that are replaced one by one, like the reports of runs.
class live_blocks
{
public:
    explicit live_blocks(std::size_t count)
        : m_blocks(count, nullptr)
    {
    }
    ~live_blocks()
    {
        for (void *block : m_blocks)
            std::free(block);
    }
    live_blocks(const live_blocks &) = delete;
    live_blocks &operator=(const live_blocks &) = delete;

    void replace(std::size_t number, std::size_t size)
    {
        void *&block = m_blocks[number % m_blocks.size()];
        std::free(block);
        block = std::malloc(size);
    }

private:
    std::vector<void *> m_blocks;
};

//! Processor time in seconds that the allocations of some thousand messages take.
inline double allocationSeconds()
{
    constexpr int messages = 3000;
    constexpr std::size_t nodesPerMessage = 400;
    constexpr int reportsPerMessage = 40;
    constexpr std::size_t smallestBody = 3000;
    constexpr std::size_t bodyStep = 701;
    //! As received, as decoded and as part of the next message.
    constexpr std::size_t bodiesPerMessage = 3;
    live_blocks reports(10'000);
    std::vector<void *> nodes(nodesPerMessage, nullptr);
    std::array<void *, bodiesPerMessage> bodies{};
    std::size_t drawn = 0;
    const std::clock_t begun = std::clock();
    for (int number = 0; number < messages; ++number) {
        const std::size_t bodySize = smallestBody + bodyStep * static_cast<std::size_t>(number % 40);
        for (std::size_t index = 0; index < nodesPerMessage; ++index) {
            if (index % (nodesPerMessage / bodiesPerMessage + 1) == 0)
                bodies[index * bodiesPerMessage / nodesPerMessage] = std::malloc(bodySize);
            nodes[index] = std::malloc(nodeSizes[++drawn * 7 % nodeSizes.size()]);
        }
        for (int report = 0; report < reportsPerMessage; ++report) {
            ++drawn;
            reports.replace(drawn * 7919, nodeSizes[drawn % nodeSizes.size()]);
        }
        for (std::size_t index = 0; index < nodesPerMessage; ++index) {
            std::free(nodes[index]);
            if (index % (nodesPerMessage / bodiesPerMessage + 1) == 0)
                std::free(std::exchange(bodies[index * bodiesPerMessage / nodesPerMessage], nullptr));
        }
    }
    return static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC;
}

//! The least of several measurements, which other processes have disturbed the least.
inline double leastAllocationSeconds()
{
    double least = std::numeric_limits<double>::max();
    for (int repetition = 0; repetition < 7; ++repetition)
        least = std::min(least, allocationSeconds());
    return least;
}

} // namespace almond::tests
