#pragma once

#include "lovage/core/time.h"
#include "lovage/ports/target_port.h"
#include "lovage/traffic/gateway_traffic.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lovage {

/// A whole answer to a call that concerns a target itself.
struct target_reply {
    int status = 0;
    std::string body;
};

/// Calls a target; `done` is called once, on the traffic thread, with nothing if no whole answer came in
/// time.
void call_target(gateway_traffic& traffic, const std::string& address,
                 std::shared_ptr<const forwarded_request> request, milliseconds limit,
                 std::function<void(std::optional<target_reply>)> done);

} // namespace lovage
