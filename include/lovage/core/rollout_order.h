#pragma once

#include <cstdint>
#include <string>

namespace lovage {

/// An operator's request to move a service to another version.
struct rollout_order {
    std::string service;
    std::string version;
    /// Time allowed for the rollout, from when a gateway first reads the order. A rollout that is not
    /// complete by then is rolled back.
    double duration_s = 0.0;
    /// Store revision of the order; it identifies the order, so a different revision is a different order.
    std::uint64_t revision = 0;
};

} // namespace lovage
