#pragma once

// Parts of the membership protocol that the sources of core/membership.h share.

#include "lovage/core/membership.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lovage {

/// Returns whether a member takes part in the protocol, that is, has neither failed nor left.
inline bool is_present(member_state state) {
    return state == member_state::alive || state == member_state::suspect || state == member_state::leaving;
}

/// Returns the record of a member or of this process, or null.
inline const member_info* find_member(const membership_state& state, const node_id& node) {
    if (node == state.self.node) {
        return &state.self;
    }
    const auto found = state.members.find(node);
    return found != state.members.end() ? &found->second.info : nullptr;
}

/// Returns up to `count` random members that `accept` accepts.
template <class Accept>
std::vector<member_info> random_members(const membership_state& state, std::size_t count,
                                        std::mt19937_64& random, Accept accept) {
    std::vector<const member_info*> candidates;
    for (const auto& [node, entry] : state.members) {
        if (accept(entry.info)) {
            candidates.push_back(&entry.info);
        }
    }
    std::vector<member_info> picked;
    for (std::size_t i = 0; i < count && i < candidates.size(); ++i) {
        std::uniform_int_distribution<std::size_t> place(i, candidates.size() - 1);
        std::swap(candidates[i], candidates[place(random)]);
        picked.push_back(*candidates[i]);
    }
    return picked;
}

// Datagrams: membership_messages.cpp.

/// Returns a message with this process's record, configuration revision and leader.
gossip_message make_message(const membership_state& state, gossip_kind kind, std::uint32_t sequence);
/// Adds as many vetoes and move records as fit into the datagram.
void add_facts(const membership_state& state, gossip_message& message);
/// Adds the receiver's record, facts and pending updates to the message and sends it. An empty address sends
/// nothing; `receiver` is empty where it is not known.
void send_message(membership_state& state, const std::string& address, const node_id& receiver,
                  gossip_message message, membership_output& output);
void send_ping(membership_state& state, const member_info& target, std::uint32_t sequence,
               membership_output& output);

// Member records: membership_updates.cpp.

/// How a record arrived: from the member itself, as an update of another member, or in a page of another
/// member's list.
enum class update_source : std::uint8_t { direct, gossip, sync };

/// What the updates of one datagram share.
struct update_context {
    time_point now;
    std::mt19937_64* random;
    /// Pings sent so far because two member lists disagreed.
    std::size_t queries = 0;
};

/// Sends the record of a member, or of this process, with the next datagrams.
void enqueue_update(membership_state& state, const node_id& node);
/// Replaces the record of a known member.
void set_member(membership_state& state, member_entry& entry, const member_info& record, time_point now,
                membership_output& output);
/// Accepts a record if it overrides the known one, and refutes wrong ones of this process.
void apply_update(membership_state& state, member_info record, update_source source, update_context& context,
                  membership_output& output);

// Failure detection: membership_probes.cpp.

/// Gives suspected members the time back in which this process was suspended.
void detect_suspension(membership_state& state, time_point now);
/// Probes the next present member.
void probe_next(membership_state& state, time_point now, std::mt19937_64& random, membership_output& output);
/// Asks other members to probe the member whose ack is missing.
void send_indirect(membership_state& state, std::mt19937_64& random, membership_output& output);
/// Handles a probe that got no ack within its interval, neither directly nor through an indirect probe.
void handle_probe_timeout(membership_state& state, time_point now, membership_output& output);
/// Declares suspected members dead and removes members whose retention has ended.
void expire_members(membership_state& state, time_point now, membership_output& output);

// Anti-entropy: membership_sync.cpp.

/// Requests the page after `cursor` of a member's list, as part of a full read.
void start_sync(membership_state& state, const member_info& peer, const std::string& cursor, time_point now,
                membership_output& output);
/// Sends the page of the member list that was requested.
void reply_to_sync(membership_state& state, const gossip_message& request, const std::string& from,
                   membership_output& output);
/// Requests the next page of a full read, or notes where the next single page starts.
void continue_sync(membership_state& state, const gossip_message& reply, time_point now,
                   membership_output& output);
/// Requests one page from a random member, or continues a full read with it.
void sync_with_random(membership_state& state, time_point now, std::mt19937_64& random,
                      membership_output& output, bool is_full_sync);

// Facts: membership_facts.cpp.

/// Merges the facts of a message into those of this process.
void merge_facts(membership_state& state, const gossip_message& message, membership_output& output);

} // namespace lovage
