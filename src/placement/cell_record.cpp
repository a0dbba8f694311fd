#include "placement/cell_record.h"

#include <functional>
#include <map>
#include <stdexcept>

namespace almond::placement {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(owner_record, owner, atMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_record, worker, incarnation, address, rack, capacity)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(admitted_record, spec, atMs, attempt, failures, checkpoint, hops)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(assigned_record, job, worker, atMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ended_record, id, outcome, checkpoint, atMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cancelled_record, job, atMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(impossible_record, job, reason, atMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(move_started_record, job, target, atMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(move_finished_record, job, atMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(forgotten_record, jobs)

namespace {

template<typename T>
constexpr const char *recordName = nullptr;
template<>
constexpr const char *recordName<owner_record> = "owner";
template<>
constexpr const char *recordName<worker_record> = "worker";
template<>
constexpr const char *recordName<admitted_record> = "admitted";
template<>
constexpr const char *recordName<assigned_record> = "assigned";
template<>
constexpr const char *recordName<ended_record> = "ended";
template<>
constexpr const char *recordName<cancelled_record> = "cancelled";
template<>
constexpr const char *recordName<impossible_record> = "impossible";
template<>
constexpr const char *recordName<move_started_record> = "move-started";
template<>
constexpr const char *recordName<move_finished_record> = "move-finished";
template<>
constexpr const char *recordName<forgotten_record> = "forgotten";

using decoder = std::function<cell_record(const json &)>;

template<std::size_t... Index>
std::map<std::string, decoder> makeDecoders(std::index_sequence<Index...> /*indexes*/)
{
    std::map<std::string, decoder> decoders;
    (decoders.emplace(recordName<std::variant_alternative_t<Index, cell_record>>,
                      [](const json &value) -> cell_record {
                          return value.get<std::variant_alternative_t<Index, cell_record>>();
                      }),
     ...);
    return decoders;
}

json encodeRecord(const cell_record &record)
{
    return std::visit(
        [](const auto &value) {
            return json{{recordName<std::decay_t<decltype(value)>>, value}};
        },
        record);
}

} // namespace

json encodeRecords(std::span<const cell_record> records)
{
    json encoded = json::array();
    for (const cell_record &record : records)
        encoded.push_back(encodeRecord(record));
    return encoded;
}

std::vector<cell_record> decodeRecords(const json &encoded)
{
    static const std::map<std::string, decoder> decoders
        = makeDecoders(std::make_index_sequence<std::variant_size_v<cell_record>>());
    std::vector<cell_record> records;
    for (const json &item : encoded) {
        const auto member = item.begin();
        const auto found = decoders.find(member.key());
        if (found == decoders.end())
            throw std::runtime_error("unknown record type in the journal of a cell: " + member.key());
        records.push_back(found->second(member.value()));
    }
    return records;
}

} // namespace almond::placement
