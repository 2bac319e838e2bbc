#pragma once

#include "platform.h"

#include "lovage/adapters/http_server.h"

#include <vector>

namespace lovage::fake_platform {

/// Returns the routes of the platform's HTTP interface (docs/design.md, 10.3) and of the test-only endpoints.
/// `platform` must outlive the server.
std::vector<http_route> make_routes(platform& platform);

} // namespace lovage::fake_platform
