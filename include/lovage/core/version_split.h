#pragma once

#include "lovage/core/enum_names.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace lovage {

/// How the new requests of a service are divided while its targets are moved to another version.
struct version_split {
    /// Names the operators' order.
    std::string move;
    /// The version that is moved to.
    std::string version;
    /// Share of new requests that go to it, between 0 and 1.
    double share = 0.0;
    /// Ids of the targets that take the share; with a share of 1 all targets of the version do.
    std::set<std::string> canaries;
    /// A defect was found, so the version gets nothing whatever the store says.
    bool is_vetoed = false;
    /// The move is not over, so requests count as evidence.
    bool is_judged = false;

    friend bool operator==(const version_split& a, const version_split& b) {
        return a.move == b.move && a.version == b.version && a.share == b.share && a.canaries == b.canaries &&
               a.is_vetoed == b.is_vetoed && a.is_judged == b.is_judged;
    }
};

/// The part of a service's targets that a request goes to.
enum class version_side : std::uint8_t { usual, moved };
inline constexpr std::size_t k_version_side_count = 2;
inline constexpr enum_names<k_version_side_count> k_version_side_names{"usual", "moved"};

/// Whether a target of `version` may take a request of `side`.
bool takes_side(const version_split& split, version_side side, const std::string& target_id,
                const std::string& version);

} // namespace lovage
