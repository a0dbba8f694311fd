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

} // namespace almond::jobs
