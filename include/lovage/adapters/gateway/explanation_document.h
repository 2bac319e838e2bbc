#pragma once

#include "lovage/traffic/route_explanation.h"

#include <string>

namespace lovage {

/// Encodes where a request would be sent as JSON. `outcome` is "start", "wait" or "refuse", `detail` why it
/// would be refused, `target` the cheapest one. `admission` holds what the outcome was decided from, and
/// `targets` each registered target of the service, the cheapest first, with its costs. Times are in ms.
std::string encode_explanation(const std::string& node, const route_explanation& explanation);

} // namespace lovage
