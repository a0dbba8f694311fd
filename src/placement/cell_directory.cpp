#include "placement/cell_directory.h"

#include <xxhash.h>

#include <cstdint>

namespace almond::placement {

namespace {

//! Hash that is the same on every host and in every build, unlike std::hash.
std::uint64_t stableHash(std::string_view first, std::string_view second)
{
    const XXH64_hash_t seed = XXH3_64bits(first.data(), first.size());
    return XXH3_64bits_withSeed(second.data(), second.size(), seed);
}

} // namespace

std::string cellName(std::string_view failureDomain, std::int64_t number)
{
    return std::string(failureDomain) + "." + std::to_string(number);
}

std::string_view domainOfCell(std::string_view name)
{
    return name.substr(0, name.rfind('.'));
}

std::vector<std::string> cellNames(const config::config_document &config)
{
    std::vector<std::string> names;
    for (const auto &[domain, state] : config.failureDomains) {
        for (std::int64_t number = 0; number < config.cellsPerFailureDomain; ++number)
            names.push_back(cellName(domain, number));
    }
    return names;
}

std::string cellOfWorker(const config::config_document &config, std::string_view failureDomain,
                         std::string_view worker)
{
    const auto cells = static_cast<std::uint64_t>(config.cellsPerFailureDomain);
    const std::uint64_t number = stableHash(worker, "cell") % cells;
    return cellName(failureDomain, static_cast<std::int64_t>(number));
}

std::string rendezvous(std::string_view key, std::span<const std::string> candidates)
{
    std::string best;
    std::uint64_t bestWeight = 0;
    for (const std::string &candidate : candidates) {
        const std::uint64_t weight = stableHash(key, candidate);
        if (best.empty() || weight > bestWeight) {
            best = candidate;
            bestWeight = weight;
        }
    }
    return best;
}

std::optional<std::string> chooseMoveTarget(const config::config_document &config, std::string_view job,
                                            std::string_view from, std::uint32_t hops)
{
    std::vector<std::string> open;
    for (const std::string &name : cellNames(config)) {
        if (name != from && config::isOpen(config, domainOfCell(name)))
            open.push_back(name);
    }
    if (open.empty())
        return std::nullopt;
    return rendezvous(std::string(job) + "/" + std::to_string(hops), open);
}

} // namespace almond::placement
