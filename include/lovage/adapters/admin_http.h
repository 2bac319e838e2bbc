#pragma once

#include "lovage/adapters/http_server.h"
#include "lovage/control/fleet_view.h"
#include "lovage/core/config_copy.h"
#include "lovage/core/result.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lovage {

/// Data sources of the routes that entries (front-end processes) and agents share. They are called on the
/// threads of connections, so all functions must be thread-safe.
struct admin_sources {
    node_id node;
    std::function<fleet_view_ptr()> view;
    /// Returns null until a configuration is known.
    std::function<std::shared_ptr<const config_copy>()> config;
    /// Returns the metrics in the Prometheus text format.
    std::function<std::string()> metrics;
};

/// Returns the routes /healthz, /readyz, /metrics, /admin/status and /internal/config.
std::vector<http_route> admin_routes(const admin_sources& sources);

/// Fetches the configuration of the process at "ip:port" from /internal/config. Blocks for at most 2.5 s.
/// Fails with `peer_unreachable`, `outcome_unknown`, `not_ready` (the peer has none) or `protocol_error`.
result<config_copy> fetch_config(const std::string& http_address);

} // namespace lovage
