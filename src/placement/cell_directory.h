#pragma once

#include "config/config_document.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace almond::placement {

//! Name of a cell: its failure domain and its number in that domain, such as "bergen-a.0".
std::string cellName(std::string_view failureDomain, std::int64_t number);

//! Returns the failure domain of the cell \a name.
std::string_view domainOfCell(std::string_view name);

//! Returns the names of all cells of \a config, ordered by failure domain and number.
std::vector<std::string> cellNames(const config::config_document &config);

//! Returns the cell to which \a worker in \a failureDomain belongs, chosen by a hash of the worker's id.
std::string cellOfWorker(const config::config_document &config, std::string_view failureDomain,
                         std::string_view worker);

//! Rendezvous hashing: returns the member of \a candidates with the highest weight for \a key, so that a
//! change of the candidates remaps only the keys of those that were added or removed. Returns an empty string
//! without candidates.
std::string rendezvous(std::string_view key, std::span<const std::string> candidates);

//! Chooses the cell to which \a job moves: a cell other than \a from in a failure domain that is not
//! withdrawn, if there is one. \a hops is the number of earlier moves; each move is hashed anew.
std::optional<std::string> chooseMoveTarget(const config::config_document &config, std::string_view job,
                                            std::string_view from, std::uint32_t hops);

} // namespace almond::placement
