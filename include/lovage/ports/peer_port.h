#pragma once

#include "lovage/core/messages.h"

#include <functional>

namespace lovage {

/// Sends messages to other processes over persistent connections. Thread-safe.
struct peer_port {
    /// Queues a message for a node. Returns false if there is no connection to it or its send buffer is full.
    std::function<bool(const node_id&, const peer_message&)> send;
    /// Opens a connection to a node at "ip:port" and reconnects when it is lost. Repeated calls with the same
    /// address have no effect.
    std::function<void(const node_id&, const std::string& address)> connect;
    /// Closes the connection to a node and stops reconnecting.
    std::function<void(const node_id&)> disconnect;
    std::function<bool(const node_id&)> is_connected;
};

/// Callbacks for events on peer connections. Called on the peer I/O thread; must not block.
struct peer_events {
    /// The connection is established: the peer's hello message has arrived.
    std::function<void(const hello_message&)> on_connected;
    std::function<void(const node_id&)> on_disconnected;
    std::function<void(const node_id& from, peer_message)> on_message;
};

} // namespace lovage
