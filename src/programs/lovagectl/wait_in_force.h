#pragma once

#include "lovage/core/config_progress.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <string>
#include <vector>

namespace lovage::ctl {

/// A process in which the awaited configuration revision is not active yet.
struct lagging_process {
    node_id node;
    std::string http_address;
    config_progress progress = config_progress::unreachable;
    /// The active revision there; 0 if unknown.
    config_revision revision = 0;
};

/// The state of all processes at the end of the wait: how many use the revision as their active one, and the
/// others.
struct wait_report {
    std::size_t in_force = 0;
    std::vector<lagging_process> lagging;
};

/// Polls the entries and every member that they list until `revision` is active in all of them or `limit`
/// is over. Fails with `peer_unreachable` if no entry gave its list of members.
result<wait_report> wait_in_force(const std::vector<std::string>& entries, config_revision revision,
                                  milliseconds limit);

} // namespace lovage::ctl
