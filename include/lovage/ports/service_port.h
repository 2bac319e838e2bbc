#pragma once

#include "lovage/core/messages.h"
#include "lovage/core/result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace lovage {

/// Maximum size of the body of an answer: below the message size limit of peer connections, with room for the
/// other fields.
inline constexpr std::size_t k_max_service_reply_bytes = 3U << 20U;

/// The HTTP answer of a plain service, which is a target that is no model engine.
struct service_reply {
    std::uint16_t status = 0;
    std::string content_type;
    std::string body;
};

/// The plain service that runs next to the agent.
struct service_port {
    /// Blocks until the service answers or the deadline passes. Fails with `peer_unreachable` if no
    /// connection was established, so that the call has not run, and with `outcome_unknown` if the connection
    /// was lost after the call had been sent.
    std::function<result<service_reply>(const call_message&)> call;
    /// Whether the service has answered a liveness probe recently.
    std::function<bool()> is_up;
};

} // namespace lovage
