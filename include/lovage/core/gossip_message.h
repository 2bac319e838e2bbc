#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/ids.h"
#include "lovage/core/member_info.h"
#include "lovage/core/move_record.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lovage {

/// Kinds of gossip datagrams. `ping`, `ack` and `ping_req` are those of the SWIM protocol: a direct probe,
/// its reply and the request to probe on behalf of the sender. `announce` expects no reply; `sync_request`
/// and `sync_reply` exchange one page of the member list (anti-entropy).
enum class gossip_kind : std::uint8_t { ping, ack, ping_req, announce, sync_request, sync_reply };
inline constexpr std::size_t k_gossip_kind_count = 6;
inline constexpr enum_names<k_gossip_kind_count> k_gossip_kind_names{
    "ping", "ack", "ping_req", "announce", "sync_request", "sync_reply"};

/// Below the minimum IPv6 MTU of 1,280 bytes, which every path carries, with room for headers.
inline constexpr std::size_t k_max_datagram_bytes = 1'200;
/// Limit for each name and address in a datagram. Longer ones are rejected at start and on decode.
inline constexpr std::size_t k_max_gossip_text_bytes = 64;

/// The leader with the highest term that a node has heard of.
struct leader_claim {
    fencing_number fencing = 0;
    node_id node;
};

/// Cluster-wide state that every datagram carries besides member updates.
struct gossip_facts {
    /// The active configuration revision of the sender.
    lovage::config_revision config_revision = 0;
    leader_claim leader;
    /// Ids of vetoed moves; a grow-only set.
    std::vector<std::string> vetoes;
    std::vector<move_record> moves;
};

/// One UDP datagram.
struct gossip_message {
    gossip_kind kind = gossip_kind::ping;
    /// Matches an ack to its ping or ping_req, and a sync_reply to its request.
    std::uint32_t sequence = 0;
    member_info sender;
    /// ping_req: the node to probe and its address. sync_request and sync_reply: `target` is the last node id
    /// of the previous page; empty for the first page and after the last one.
    node_id target;
    std::string target_address;
    gossip_facts facts;
    /// Member records to merge; for a sync_reply, one page of the sender's member list.
    std::vector<member_info> updates;
};

/// Upper bounds of the encoded sizes in bytes, so that the core can fill datagrams without calling the codec.
std::size_t encoded_size_bound(const member_info& member);
std::size_t encoded_size_bound(const move_record& record);
std::size_t encoded_size_bound(const gossip_message& message);

} // namespace lovage
