#pragma once

#include "engine.h"

#include "lovage/adapters/http_server.h"

#include <memory>
#include <vector>

namespace lovage::standins {

/// Largest request body: room for a prompt of the default maximum size and all accepted tokens of a long
/// answer.
inline constexpr std::size_t k_max_engine_body_bytes = 4U << 20U;

/// Returns the routes of the engine's HTTP interface (docs/design.md, 10.1) and of the test-only endpoints
/// /faults and /stats.
std::vector<http_route> engine_routes(const std::shared_ptr<fake_engine>& engine);

} // namespace lovage::standins
