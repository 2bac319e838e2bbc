#pragma once

#include "lovage/core/gossip_message.h"

#include <functional>
#include <string>

namespace lovage {

/// Sends gossip datagrams to other processes. Thread-safe.
struct gossip_port {
    /// Sends a datagram to "ip:port" without blocking; loss is not reported.
    std::function<void(const std::string& address, const gossip_message&)> send;
};

/// Receives gossip datagrams; `from` is the sender's "ip:port". Called on the receive thread; must not block.
using gossip_receiver = std::function<void(gossip_message, const std::string& from)>;

} // namespace lovage
