#pragma once

#include "lovage/core/result.h"
#include "lovage/ports/gossip_port.h"

#include <functional>
#include <memory>
#include <string>

namespace lovage {

/// Membership datagrams over one UDP socket (Boost.Asio) with one receive thread.
class gossip_udp {
public:
    /// Opens the socket at "ip:port". `count` adds `by` to the counter `name`; it is called on the receive
    /// thread and on each thread that sends, and must be thread-safe. Counters: gossip_sent,
    /// gossip_sent_bytes, gossip_received, gossip_received_bytes, gossip_malformed, gossip_send_failed. Fails
    /// with `invalid_settings` if the address cannot be used.
    static result<std::unique_ptr<gossip_udp>>
    open(const std::string& address, std::function<void(const std::string& name, double by)> count);
    ~gossip_udp();
    gossip_udp(const gossip_udp&) = delete;
    gossip_udp& operator=(const gossip_udp&) = delete;

    /// Starts the receive thread, which calls `receiver`. Datagrams received since `open` are delivered
    /// first, as far as the socket buffer holds them.
    void receive(gossip_receiver receiver);
    /// Ends and joins the receive thread; no datagram is delivered afterwards. Must not be called on it.
    void stop();
    /// A port that stays valid while this object lives.
    gossip_port port();

private:
    gossip_udp();
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace lovage
