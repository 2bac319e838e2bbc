#pragma once

#include "lovage/core/fleet_config.h"
#include "lovage/core/generation.h"
#include "lovage/core/result.h"

namespace lovage {

/// Validates a caller's request against the configuration and sets `spec.model`. Fails with
/// `unknown_service`, `unknown_organisation`, `invalid_request` or `request_too_large`. If the configuration
/// lists no organisations, any is accepted.
result<void> check_spec(const fleet_config& config, generation_spec& spec);

} // namespace lovage
