#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/fleet_config.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lovage {

/// Kinds of items in the configuration text.
enum class config_item : std::uint8_t { zone, organisation, model, service, target, move, limits };
inline constexpr std::size_t k_config_item_count = 7;
inline constexpr enum_names<k_config_item_count> k_config_item_names{
    "zone", "organisation", "model", "service", "target", "move", "limits"};
static_assert(static_cast<std::size_t>(config_item::limits) + 1 == k_config_item_count);

/// Limits for numbers and names in the configuration text.
inline constexpr double k_min_share = 0.001;
inline constexpr double k_max_share = 1'000.0;
inline constexpr std::uint32_t k_max_replicas = 2'400; // accelerators in the largest supported fleet
inline constexpr std::uint32_t k_max_objective_ms = 600'000;
inline constexpr std::uint32_t k_max_prompt_bytes = 16'777'216;
inline constexpr std::uint32_t k_max_tokens = 1'000'000;
inline constexpr std::uint32_t k_max_queued = 1'000'000;
inline constexpr std::size_t k_max_name_length = 64;

/// A validation error of one item; `index` is the item's position among the items of its kind.
struct config_problem {
    config_item item = config_item::zone;
    std::size_t index = 0;
    std::string name;
    std::string key;
    /// Human-readable description of what is expected.
    std::string expected;
};

/// Validates names, ranges, references, dependencies and moves. Returns all problems, not just the first one;
/// empty if the configuration is valid.
std::vector<config_problem> check_config(const fleet_config& config);

/// Validates the transition from `current` (null if there is no configuration) to `next` at time `now`: a new
/// or changed move must start at the serving version and have its deadline in the future. Moves that are
/// already in `current` stay valid after their deadline, since every process validates the accepted text
/// again.
std::vector<config_problem> check_edit(const fleet_config& next, const fleet_config* current, wall_time now);

} // namespace lovage
