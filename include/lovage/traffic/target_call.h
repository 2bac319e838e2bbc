#pragma once

#include "lovage/core/time.h"
#include "lovage/ports/target_port.h"
#include "lovage/traffic/gateway_traffic.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lovage {

/// Complete response to a management call, which concerns the target itself and no caller's request.
struct target_reply {
    int status = 0;
    std::string body;
};

/// Sends a management call to a target and records what the answer says about leaving or a pause. Calls
/// `done` once, on the traffic thread; with `nullopt` if no complete response arrived within `limit`, or,
/// before it returns, if the target does not accept `work`.
void send_target_request(gateway_traffic& traffic, const target_record& target, work_kind work,
                         std::shared_ptr<const forwarded_request> request, milliseconds limit,
                         std::function<void(std::optional<target_reply>)> done);

} // namespace lovage
