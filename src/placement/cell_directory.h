#pragma once

#include "config/config_document.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace almond::placement {

//! A cell's name is its failure domain and its number in it, such as "bergen-a.0".
std::string cellName(std::string_view failureDomain, std::int64_t number);

//! The failure domain of the cell \a name.
std::string_view domainOfCell(std::string_view name);

//! All cells of \a config, in order.
std::vector<std::string> cellNames(const config::config_document &config);

//! The cell that \a worker of \a failureDomain belongs to.
std::string cellOfWorker(const config::config_document &config, std::string_view failureDomain,
                         std::string_view worker);

//! Rendezvous hashing: returns the member of \a candidates with the highest weight for \a key, so that a
//! change of the candidates moves only the keys of those that came or went. Empty without candidates.
std::string rendezvous(std::string_view key, std::span<const std::string> candidates);

//! The cell to hand \a job on to: another one in an open failure domain, if there is any.
std::optional<std::string> chooseMoveTarget(const config::config_document &config, std::string_view job,
                                            std::string_view from, std::uint32_t hops);

} // namespace almond::placement
