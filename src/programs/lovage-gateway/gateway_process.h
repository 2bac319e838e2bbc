#pragma once

#include "lovage/adapters/gateway/gateway_settings.h"

namespace lovage {

/// Runs the gateway until SIGTERM or SIGINT; returns the exit code.
int run_gateway(const gateway_settings& settings);

} // namespace lovage
