#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

/// What is known about the outcome of an operator's configuration change.
enum class apply_outcome : std::uint8_t {
    /// The change took effect, even if a later change has replaced it since.
    accepted,
    /// Another change replaced the expected revision first, so this one can never take effect.
    conflict,
    /// The change had not taken effect when the store was read. Retrying it under the same operation id is
    /// safe.
    not_accepted,
    /// The store could not be read, or its history is incomplete.
    unknown,
};
inline constexpr std::size_t k_apply_outcome_count = 4;
inline constexpr enum_names<k_apply_outcome_count> k_apply_outcome_names{"accepted", "conflict",
                                                                         "not accepted", "unknown"};
static_assert(static_cast<std::size_t>(apply_outcome::unknown) + 1 == k_apply_outcome_count);

/// Result of the compare-and-swap as the client saw it; `lost` means that no reply arrived, so the write may
/// or may not have taken effect.
enum class swap_outcome : std::uint8_t { written, conflict, lost };
inline constexpr std::size_t k_swap_outcome_count = 3;
inline constexpr enum_names<k_swap_outcome_count> k_swap_outcome_names{"written", "conflict", "lost"};

/// One accepted change as read back from the store.
struct config_change {
    config_revision revision = 0;
    /// Operation id of the change.
    std::string operation;
    /// The revision that this change replaced.
    config_revision previous = 0;
};

/// What a client observed while it applied a change.
struct apply_observations {
    swap_outcome answer = swap_outcome::lost;
    /// Revision assigned by the store if the answer is `written`.
    config_revision written = 0;
    /// Whether the reply to any earlier attempt under the same operation id was lost.
    bool has_lost_reply = false;
    /// The current change first, then earlier ones back to the expected revision, as far as they could be
    /// read. Empty if there is no configuration; `nullopt` if the store could not be read.
    std::optional<std::vector<config_change>> read_back;
};

struct apply_decision {
    apply_outcome outcome = apply_outcome::unknown;
    /// Revision of the change if it was accepted, otherwise 0.
    config_revision revision = 0;
};

/// Returns the outcome of the change `operation`, which was to replace revision `expected`.
apply_decision decide_apply(config_revision expected, const std::string& operation,
                            const apply_observations& evidence);

} // namespace lovage
