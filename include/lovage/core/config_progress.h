#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lovage {

/// Whether a process has put a given configuration revision into force.
enum class config_progress : std::uint8_t { in_force, behind, not_ready, unreachable };
inline constexpr std::size_t k_config_progress_count = 4;
inline constexpr enum_names<k_config_progress_count> k_config_progress_names{"in force", "behind",
                                                                             "not ready", "unreachable"};
static_assert(static_cast<std::size_t>(config_progress::unreachable) + 1 == k_config_progress_count);

/// Status that a process reported when it was queried.
struct process_status {
    /// The active revision; `nullopt` if the status could not be read.
    std::optional<config_revision> revision;
    bool is_ready = false;
};

/// Returns how far the process is with revision `wanted`; a later active revision counts as `wanted`.
config_progress progress_of(config_revision wanted, const process_status& answer);

/// Returns whether a member in this membership state (a name of k_member_state_names) must have the
/// configuration. Members that are dead, leaving or left get no new work and need none; an unknown state
/// counts as needing it.
bool needs_config(const std::string& state);

} // namespace lovage
