#pragma once

#include "lovage/adapters/settings.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace lovage::standins {

/// What a listener does with the traffic of a client.
enum class link_state : std::uint8_t {
    /// Everything is forwarded.
    open,
    /// Existing and new connections are closed; datagrams are dropped.
    cut,
    /// Nothing is forwarded while connections stay open, as in a network partition. When the state ends, TCP
    /// data continues where it stopped; datagrams were dropped.
    half_open,
    /// As `half_open`, but only for traffic from the client to the target: TCP data is held until the state
    /// ends, datagrams are dropped.
    lose_to_target,
    /// As `half_open`, but only for traffic from the target to the client.
    lose_to_client,
};
inline constexpr std::size_t k_link_state_count = 5;
inline constexpr enum_names<k_link_state_count> k_link_state_names{"open", "cut", "half_open",
                                                                   "lose_to_target", "lose_to_client"};

enum class link_direction : std::uint8_t { to_target, to_client };
inline constexpr std::size_t k_link_direction_count = 2;
inline constexpr enum_names<k_link_direction_count> k_link_direction_names{"to_target", "to_client"};

/// A rule of one listener: the faults of the traffic of some clients.
struct link_rule {
    /// Prefix of the client's IP address as text; empty for all clients.
    std::string from;
    link_state state = link_state::open;
    /// Latency added in each direction, plus a random time of up to `jitter`. TCP data keeps its order.
    milliseconds delay{0};
    milliseconds jitter{0};
    /// Bandwidth limit of each direction of a TCP connection; 0 for none.
    std::uint64_t bytes_per_s = 0;
    /// Fraction of datagrams that are dropped, between 0 and 1.
    double loss = 0.0;
    /// Number of bytes to the client after which a TCP connection gets the state `answer_end`; -1 for no
    /// limit. With 0 the request arrives and its whole response is lost.
    std::int64_t answer_bytes = -1;
    link_state answer_end = link_state::cut;
    /// Number of further connections that get the limit `answer_bytes`; -1 for all.
    std::int64_t answer_connections = -1;
};

/// Returns whether `state` stops the traffic of a direction.
bool blocks_direction(link_state state, link_direction direction);

/// Returns the index of the first rule that applies to a client; `rules.size()` if there is none.
std::size_t find_rule(const std::vector<link_rule>& rules, const std::string& client_ip);

/// Reads a rule from the settings under `prefix`. Errors are reported to `reader`.
link_rule read_rule(settings_reader& reader, const std::string& prefix);

/// Reads rules from a JSON list. Fails with `invalid_request` if a field is unknown or has a wrong type.
result<std::vector<link_rule>> rules_from_json(const nlohmann::json& list);

nlohmann::json to_json(const std::vector<link_rule>& rules);

} // namespace lovage::standins
