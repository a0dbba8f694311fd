#include "placement/worker_protocol.h"

namespace almond::placement {

void to_json(json &out, const run_order &order)
{
    out = {{"id", order.id},
           {"spec", order.spec},
           {"checkpoint", order.checkpoint},
           {"startBeforeMs", order.startBeforeMs}};
}

void from_json(const json &in, run_order &order)
{
    order.id = in.at("id");
    order.spec = in.at("spec");
    order.checkpoint = in.at("checkpoint");
    order.startBeforeMs = in.at("startBeforeMs");
}

} // namespace almond::placement
