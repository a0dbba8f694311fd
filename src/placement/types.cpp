#include "placement/types.h"

namespace almond::placement {

resources operator+(const resources &left, const resources &right)
{
    return {left.millicores + right.millicores, left.memoryMb + right.memoryMb,
            left.accelerators + right.accelerators};
}

resources operator-(const resources &left, const resources &right)
{
    return {left.millicores - right.millicores, left.memoryMb - right.memoryMb,
            left.accelerators - right.accelerators};
}

bool fits(const resources &demand, const resources &available)
{
    return demand.millicores <= available.millicores && demand.memoryMb <= available.memoryMb
        && demand.accelerators <= available.accelerators;
}

void to_json(json &out, const job_spec &spec)
{
    out = {{"id", spec.id},
           {"team", spec.team},
           {"kind", spec.kind},
           {"class", spec.jobClass},
           {"millicores", spec.demand.millicores},
           {"memoryMb", spec.demand.memoryMb},
           {"accelerators", spec.demand.accelerators},
           {"declaredRunMs", spec.declaredRunMs},
           {"urgent", spec.urgent},
           {"payload", spec.payload}};
}

void from_json(const json &in, job_spec &spec)
{
    spec.id = in.at("id");
    spec.team = in.at("team");
    spec.kind = in.at("kind");
    spec.jobClass = in.at("class");
    spec.demand = in.get<resources>();
    spec.declaredRunMs = in.value("declaredRunMs", std::int64_t{0});
    spec.urgent = in.value("urgent", false);
    spec.payload = in.value("payload", json::object());
}

} // namespace almond::placement
