#pragma once

#include "lovage/adapters/http_server.h"
#include "lovage/adapters/metrics.h"
#include "lovage/control/fleet_view.h"
#include "lovage/traffic/service_record.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

/// Data sources of the operators' report. All functions must be thread-safe.
struct report_sources {
    node_id node;
    std::function<fleet_view_ptr()> view;
    /// Not owned; must outlive the server.
    const service_record* record = nullptr;
    /// Not owned; must outlive the server.
    const metrics* counters = nullptr;
    /// Marks a target as draining. Returns the id of the agent process that manages the target, or
    /// nullopt if the target is not known.
    std::function<std::optional<node_id>(const std::string& target)> drain;
};

/// Returns the routes `GET /admin/report` (JSON, or one page with `format=html`), `GET /admin/explain` and
/// `POST /admin/drain` (docs/api.md).
std::vector<http_route> report_routes(const report_sources& sources);

} // namespace lovage
