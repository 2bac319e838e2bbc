#include "membership_internal.h"

#include <algorithm>
#include <utility>

namespace lovage {

// Missing acks while this process was suspended are no evidence against other members, so suspected members
// get the lost time back.
void detect_suspension(membership_state& state, time_point now) {
    const auto gap = now - state.last_step;
    if (gap > state.options.pause_threshold) {
        state.probe.reset();
        state.relays.clear();
        for (auto& [node, entry] : state.members) {
            entry.suspect_until += gap;
        }
    }
    state.last_step = std::max(state.last_step, now);
}

void probe_next(membership_state& state, time_point now, std::mt19937_64& random, membership_output& output) {
    for (std::size_t attempt = 0; attempt < state.probe_order.size(); ++attempt) {
        if (state.probe_index >= state.probe_order.size()) {
            std::shuffle(state.probe_order.begin(), state.probe_order.end(), random);
            state.probe_index = 0;
        }
        const auto found = state.members.find(state.probe_order[state.probe_index++]);
        if (found != state.members.end() && is_present(found->second.info.state)) {
            const std::uint32_t sequence = state.next_sequence++;
            state.probe =
                probe_in_progress{found->first, sequence, now + state.options.indirect_probe_delay, false};
            send_ping(state, found->second.info, sequence, output);
            return;
        }
    }
}

void send_indirect(membership_state& state, std::mt19937_64& random, membership_output& output) {
    const auto target = state.members.find(state.probe->target);
    if (target == state.members.end()) {
        return;
    }
    const auto relays_to_ask =
        random_members(state, state.options.indirect_probes, random, [&state](const member_info& member) {
            return member.state == member_state::alive && member.node != state.probe->target;
        });
    for (const auto& helper : relays_to_ask) {
        gossip_message message = make_message(state, gossip_kind::ping_req, state.probe->sequence);
        message.target = target->first;
        message.target_address = target->second.info.gossip_address;
        send_message(state, helper.gossip_address, helper.node, std::move(message), output);
    }
}

// Handles a probe that got no ack within its interval, neither directly nor through an indirect probe.
void handle_probe_timeout(membership_state& state, time_point now, membership_output& output) {
    const auto target = state.members.find(state.probe->target);
    state.probe.reset();
    if (target == state.members.end()) {
        return;
    }
    member_info record = target->second.info;
    if (record.state == member_state::alive) {
        record.state = member_state::suspect;
    } else if (record.state == member_state::leaving) {
        record.state = member_state::dead;
    } else {
        return;
    }
    set_member(state, target->second, record, now, output);
    // The suspected member is notified first, so that it can refute before it is declared dead.
    send_ping(state, record, state.next_sequence++, output);
}

void expire_members(membership_state& state, time_point now, membership_output& output) {
    state.next_expiry = time_point::max();
    for (auto position = state.members.begin(); position != state.members.end();) {
        member_entry& entry = position->second;
        if (entry.info.state == member_state::suspect && now >= entry.suspect_until) {
            member_info record = entry.info;
            record.state = member_state::dead;
            set_member(state, entry, record, now, output);
        } else if (entry.info.state == member_state::suspect) {
            state.next_expiry = std::min(state.next_expiry, entry.suspect_until);
        }
        const auto retention = entry.info.state == member_state::left ? state.options.left_retention
                                                                      : state.options.dead_retention;
        if (!is_present(entry.info.state) && now - entry.info.state_since > retention) {
            state.pending.erase(position->first);
            state.probe_order.erase(
                std::remove(state.probe_order.begin(), state.probe_order.end(), position->first),
                state.probe_order.end());
            output.members_changed = true;
            position = state.members.erase(position);
        } else {
            ++position;
        }
    }
}

} // namespace lovage
