#pragma once

#include "lovage/core/messages.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"
#include "lovage/ports/peer_port.h"

#include <cstddef>
#include <memory>
#include <string>

namespace lovage {

class metrics;

struct peer_endpoint_options {
    /// "ip:port" to listen at.
    std::string address;
    /// The first message that this node sends on each connection.
    hello_message self;
    /// Maximum number of bytes that are buffered for one node; further messages to it are refused.
    std::size_t max_buffered_bytes = 16U << 20U;
    std::size_t max_connections = 4'096;
    /// Interval of heartbeats (unsolicited pongs), which a side sends when it has sent nothing else for this
    /// long.
    milliseconds heartbeat_interval{200};
    /// Scales the heartbeat interval with the number of connections, which bounds heartbeat traffic to
    /// 3.4 KB/s in each direction (about 120 bytes every 35 ms). Failure detection for running attempts does
    /// not depend on it: they have their own progress messages.
    milliseconds heartbeat_interval_per_connection{35};
    /// A connection on which nothing arrives for this long, or for three intervals of the peer's heartbeats
    /// if that is longer, is closed. The check runs every `heartbeat_interval`, so an unresponsive peer with
    /// up to 6 connections (an interval of at most 6 x 35 ms) is closed within 900 ms.
    milliseconds heartbeat_timeout{700};
    /// Initial and maximum backoff before reconnecting. Each failure doubles the backoff, and a jitter of
    /// half of it keeps nodes from reconnecting at the same moment.
    milliseconds min_reconnect_delay{50};
    milliseconds max_reconnect_delay{1'000};
};

/// Websocket connections to other nodes: a server and a client on one I/O thread. There is at most one
/// connection in use for each node, whichever side opened it. A connection that is replaced by another is
/// reported as `on_disconnected` followed by `on_connected`, since messages on it may be lost.
///
/// Metrics: peer_connections, peer_messages_sent_total, peer_messages_received_total,
/// peer_malformed_messages_total, peer_send_refused_total, peer_silent_total, peer_replaced_total,
/// peer_connections_refused_total.
class peer_endpoint {
public:
    /// Listens at the address; nothing runs before `start`. Fails with `invalid_settings`. `counters` must
    /// outlive the endpoint and its ports.
    static result<std::unique_ptr<peer_endpoint>> create(const peer_endpoint_options& options,
                                                         metrics& counters);
    ~peer_endpoint();
    peer_endpoint(const peer_endpoint&) = delete;
    peer_endpoint& operator=(const peer_endpoint&) = delete;

    /// Returns functions for senders. They are thread-safe and may be used before `start` and after `stop`.
    peer_port port() const;
    /// Starts the I/O thread, on which `events` are called.
    void start(peer_events events);
    /// Sends what is buffered for at most 500 ms, closes all connections and ends the thread.
    void stop();

private:
    peer_endpoint();
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace lovage
