#pragma once

#include "lovage/core/fleet_config.h"
#include "lovage/core/messages.h"
#include "lovage/core/result.h"

#include <string>

namespace lovage {

/// Returns whether a call may run more than once, which is true unless the configuration lists it as
/// non-repeatable. `path` is percent-decoded and has no query.
bool is_repeatable_call(const service_config& service, const std::string& method, const std::string& path);

/// Validates a call against the configuration and sets `call.repeatable`. `decoded_path` is the path of the
/// call, percent-decoded and without its query. Fails with `unknown_organisation`, `unknown_service` or
/// `invalid_request`.
result<void> check_call(const fleet_config& config, const std::string& decoded_path, call_message& call);

} // namespace lovage
