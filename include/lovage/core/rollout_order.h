#pragma once

#include <cstdint>
#include <string>

namespace lovage {

/// An operator's order to roll out another version of a service's targets.
struct rollout_order {
    std::string service;
    std::string version;
    /// Time from the order until the move must be completed or rolled back.
    double duration_s = 0.0;
    /// Store revision of the order; it identifies the order, so a different revision is a different order.
    std::uint64_t revision = 0;
};

} // namespace lovage
