#pragma once

#include "lovage/core/fleet_config.h"
#include "lovage/core/ids.h"
#include "lovage/core/member_info.h"
#include "lovage/core/messages.h"
#include "lovage/core/move_record.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lovage {

/// An immutable snapshot of what this process knows of the fleet, for traffic threads. The control thread
/// publishes a new one at each change.
struct fleet_view {
    /// Increases with each published view.
    std::uint64_t sequence = 0;
    /// The active configuration; null until one is known.
    std::shared_ptr<const fleet_config> config;
    std::vector<member_info> members;
    /// The current move (rollout of a new version) of each model.
    std::vector<move_record> moves;
    /// Ids of moves whose new version was found defective and must get no traffic.
    std::vector<std::string> vetoed_moves;
    /// Whether this process is the leader.
    bool is_leader = false;
    /// The newest leader known; empty if none is.
    node_id leader;
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

} // namespace lovage
