#pragma once

#include "lovage/adapters/http_server.h"
#include "lovage/core/result.h"
#include "lovage/traffic/entry_service.h"

#include <vector>

namespace lovage {

/// Parses a caller's HTTP request, without checking it against the configuration. Its deadline is relative to
/// `now`. Fails with `invalid_request`.
result<generation_request> read_generation_request(const http_request& request, wall_time now);

/// Returns the routes of the callers' API: `POST /v1/generations` and `GET /v1/generations/REQUEST`
/// (docs/api.md). `service` must outlive the server.
std::vector<http_route> caller_routes(entry_service& service);

} // namespace lovage
