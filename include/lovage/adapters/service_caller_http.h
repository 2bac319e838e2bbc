#pragma once

#include "lovage/adapters/http_server.h"
#include "lovage/core/result.h"
#include "lovage/traffic/service_caller.h"

#include <vector>

namespace lovage {

/// Parses a caller's call of a plain service, without checking it against the configuration. Its deadline is
/// relative to `now`. Fails with `invalid_request`.
result<service_call_request> read_service_call(const http_request& request, wall_time now);

/// Returns the routes of the callers' API for plain services: any method on `/v1/services/SERVICE/PATH...`
/// (docs/api.md). `caller` must outlive the server.
std::vector<http_route> service_caller_routes(service_caller& caller);

} // namespace lovage
