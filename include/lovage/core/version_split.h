#pragma once

#include "lovage/core/enum_names.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace lovage {

/// How new requests of a service are split between versions during a rollout of its targets.
struct version_split {
    /// Id of the move, which identifies the operator's order.
    std::string move;
    /// The version that is being rolled out.
    std::string version;
    /// Share of new requests that go to that version, between 0 and 1.
    double share = 0.0;
    /// Ids of the targets that serve the share; at a share of 1, all targets of the version do.
    std::set<std::string> canaries;
    /// A defect was found, so the version gets no requests, whatever the store says.
    bool is_vetoed = false;
    /// The move is in progress, so requests count as evidence.
    bool is_evaluated = false;

    friend bool operator==(const version_split& a, const version_split& b) {
        return a.move == b.move && a.version == b.version && a.share == b.share && a.canaries == b.canaries &&
               a.is_vetoed == b.is_vetoed && a.is_evaluated == b.is_evaluated;
    }
};

/// The side of the split that a request goes to: `moved` is the version being rolled out, `usual` any other
/// version.
enum class version_side : std::uint8_t { usual, moved };
inline constexpr std::size_t k_version_side_count = 2;
inline constexpr enum_names<k_version_side_count> k_version_side_names{"usual", "moved"};

/// Returns whether a target of `version` may serve a request of `side`.
bool is_eligible_for_side(const version_split& split, version_side side, const std::string& target_id,
                          const std::string& version);

} // namespace lovage
