#include "jobs/fleet_config.h"

namespace almond::jobs {

const queue_rules *findQueue(const fleet_config &config, std::string_view host, std::string_view path)
{
    const queue_rules *best = nullptr;
    for (const auto &[name, queue] : config.queues) {
        const bool matches = queue.host == host && path.starts_with(queue.prefix);
        if (matches && (!best || queue.prefix.size() > best->prefix.size()))
            best = &queue;
    }
    return best;
}

std::shared_ptr<const queue_version> versionOf(const fleet_config &config, const queue_rules &queue)
{
    return std::make_shared<const queue_version>(queue_version{config.version, queue});
}

bool recordAccepted(known_queues &known, const queue_version &accepted)
{
    const auto [place, added] = known.try_emplace(accepted.rules.name, accepted);
    if (added)
        return true;
    const bool later = place->second.version < accepted.version;
    if (later)
        place->second = accepted;
    return later;
}

void updateKnownQueues(known_queues &known, const fleet_config &config)
{
    for (auto &[name, last] : known) {
        const auto present = config.queues.find(name);
        if (present != config.queues.end() && config.version >= last.version)
            last = {config.version, present->second};
    }
}

fleet_config_ptr withRemovedQueues(const fleet_config_ptr &config, const known_queues &known)
{
    std::shared_ptr<fleet_config> extended;
    for (const auto &[name, last] : known) {
        if (config->queues.contains(name))
            continue;
        if (!extended)
            extended = std::make_shared<fleet_config>(*config);
        extended->queues[name] = last.rules;
    }
    return extended ? extended : config;
}

} // namespace almond::jobs
