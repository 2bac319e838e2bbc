#pragma once

#include <cstdint>
#include <string>

namespace lovage {

/// The operators' order to move a service to another version of its targets.
struct rollout_order {
    std::string service;
    std::string version;
    /// Time until the move is completed or rolled back.
    double duration_s = 0.0;
    /// The store's revision of the order; another one is another order.
    std::uint64_t revision = 0;
};

} // namespace lovage
