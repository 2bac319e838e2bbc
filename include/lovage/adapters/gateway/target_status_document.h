#pragma once

#include "lovage/traffic/gateway_traffic.h"

#include <string>
#include <vector>

namespace lovage {

/// Encodes the targets that get no new work as JSON: `{"node": ..., "withheld": [{"target", "service",
/// "zone", "state", "phase", "started_ms", "left_ms"}]}`. `state` is an `acceptance`, `phase` that of the
/// registration.
std::string encode_target_status(const std::string& node, const std::vector<target_status>& targets);

} // namespace lovage
