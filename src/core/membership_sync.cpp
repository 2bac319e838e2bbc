#include "membership_internal.h"

#include <utility>

namespace lovage {

void start_sync(membership_state& state, const member_info& peer, const std::string& cursor, time_point now,
                membership_output& output) {
    state.sync = full_sync{peer.node, cursor, now + state.options.sync_timeout};
    gossip_message message = make_message(state, gossip_kind::sync_request, state.next_sequence++);
    message.target = cursor;
    send_message(state, peer.gossip_address, peer.node, std::move(message), output);
}

void reply_to_sync(membership_state& state, const gossip_message& request, const std::string& from,
                   membership_output& output) {
    gossip_message reply = make_message(state, gossip_kind::sync_reply, request.sequence);
    add_facts(state, reply);
    ++state.fact_cursor;
    // Reserves space for a cursor of maximum length.
    std::size_t size = encoded_size_bound(reply) + k_max_gossip_text_bytes;
    auto position = state.members.upper_bound(request.target);
    std::string last;
    while (position != state.members.end()) {
        const std::size_t more = encoded_size_bound(position->second.info);
        if (size + more > k_max_datagram_bytes) {
            break;
        }
        size += more;
        reply.updates.push_back(position->second.info);
        last = position->first;
        ++position;
    }
    reply.target = position == state.members.end() ? std::string() : last;
    output.send.push_back({from, std::move(reply)});
}

void continue_sync(membership_state& state, const gossip_message& reply, time_point now,
                   membership_output& output) {
    if (state.sync && state.sync->peer == reply.sender.node) {
        if (reply.target.empty() || reply.target <= state.sync->cursor) {
            state.sync.reset();
            state.joined = true;
        } else {
            start_sync(state, reply.sender, reply.target, now, output);
        }
        return;
    }
    state.sync_cursor = reply.target;
}

void sync_with_random(membership_state& state, time_point now, std::mt19937_64& random,
                      membership_output& output, bool is_full_sync) {
    const auto peers = random_members(
        state, 1, random, [](const member_info& member) { return member.state == member_state::alive; });
    if (peers.empty()) {
        state.sync.reset();
        return;
    }
    if (is_full_sync) {
        start_sync(state, peers[0], state.sync ? state.sync->cursor : std::string(), now, output);
        return;
    }
    gossip_message message = make_message(state, gossip_kind::sync_request, state.next_sequence++);
    message.target = state.sync_cursor;
    send_message(state, peers[0].gossip_address, peers[0].node, std::move(message), output);
}

} // namespace lovage
