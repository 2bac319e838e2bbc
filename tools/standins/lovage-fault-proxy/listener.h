#pragma once

#include "link_rule.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace lovage::standins {

enum class link_protocol : std::uint8_t { tcp, udp };
inline constexpr std::size_t k_link_protocol_count = 2;
inline constexpr enum_names<k_link_protocol_count> k_link_protocol_names{"tcp", "udp"};

/// Settings of a listener; they do not change while it runs.
struct listener_options {
    std::string name;
    link_protocol protocol = link_protocol::tcp;
    endpoint listen;
    endpoint target;
};

/// Counters of a listener since the start of the process.
struct listener_counts {
    std::uint64_t connections = 0;
    /// Connections that are open now.
    std::uint64_t open = 0;
    /// Connections that the state `cut` closed.
    std::uint64_t refused = 0;
    std::uint64_t bytes_to_target = 0;
    std::uint64_t bytes_to_client = 0;
    std::uint64_t datagrams_lost = 0;
};

/// State that the connections of one listener share. It is used only on the proxy's I/O thread.
struct listener_state {
    listener_options options;
    std::vector<link_rule> rules;
    listener_counts counts;
    std::mt19937_64 random;
};

/// Returns the rule that applies to a client; a rule with state `open` if there is none.
link_rule rule_for(const listener_state& listener, const std::string& client_ip);

/// Returns the random delay of one datagram or one chunk of TCP data.
time_point::duration draw_delay(listener_state& listener, const link_rule& rule);

} // namespace lovage::standins
