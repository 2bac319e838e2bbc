#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/ids.h"
#include "lovage/core/messages.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <string>

namespace lovage {

/// State of a member. `leaving`: it is draining and takes no new work; `left`: it has shut down in order.
enum class member_state : std::uint8_t { alive, suspect, dead, leaving, left };
inline constexpr std::size_t k_member_state_count = 5;
inline constexpr enum_names<k_member_state_count> k_member_state_names{"alive", "suspect", "dead", "leaving",
                                                                       "left"};

/// What a process knows about a member of the cluster.
struct member_info {
    node_id node;
    lovage::incarnation incarnation = 0;
    /// Number of suspicions that this incarnation has refuted (the incarnation number of SWIM). It is
    /// separate from `incarnation`, which claims refer to and which must not change during the lifetime of
    /// the process.
    std::uint32_t refutations = 0;
    node_role role = node_role::entry;
    std::string zone;
    std::string region;
    /// Addresses as "ip:port".
    std::string peer_address;
    std::string http_address;
    std::string gossip_address;
    member_state state = member_state::alive;
    /// When `state` was last changed, on the observer's clock.
    time_point state_since{};
    /// When the observer last saw the member suspected or failed, recovered from that, or restarted without
    /// having left; the epoch of the clock if never. Not sent to others.
    time_point failed_at{};
};

} // namespace lovage
