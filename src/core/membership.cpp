#include "lovage/core/membership.h"

#include "membership_internal.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lovage {

namespace {

constexpr std::size_t k_seeds_per_attempt = 3;
// Bounds the memory that other processes can make this one use.
constexpr std::size_t k_max_relays = 1'000;
constexpr milliseconds k_relay_lifetime{1'000};

void contact_seeds(membership_state& state, std::mt19937_64& random, membership_output& output) {
    std::vector<std::string> unknown_seeds;
    for (const auto& seed : state.seeds) {
        const bool is_known =
            seed == state.self.gossip_address ||
            std::any_of(state.members.begin(), state.members.end(), [&seed](const auto& item) {
                return item.second.info.gossip_address == seed && is_present(item.second.info.state);
            });
        if (!is_known) {
            unknown_seeds.push_back(seed);
        }
    }
    std::shuffle(unknown_seeds.begin(), unknown_seeds.end(), random);
    unknown_seeds.resize(std::min(unknown_seeds.size(), state.joined ? 1 : k_seeds_per_attempt));
    for (const auto& seed : unknown_seeds) {
        send_message(state, seed, {}, make_message(state, gossip_kind::ping, state.next_sequence++), output);
    }
}

void receive_ping(membership_state& state, const gossip_message& message, const std::string& from,
                  time_point /*now*/, membership_output& output) {
    send_message(state, from, message.sender.node, make_message(state, gossip_kind::ack, message.sequence),
                 output);
}

void receive_ack(membership_state& state, const gossip_message& message, const std::string& /*from*/,
                 time_point now, membership_output& output) {
    if (state.probe && state.probe->sequence == message.sequence) {
        state.probe.reset();
    }
    const auto relay = state.relays.find(message.sequence);
    if (relay != state.relays.end()) {
        gossip_message forwarded_ack = make_message(state, gossip_kind::ack, relay->second.origin_sequence);
        forwarded_ack.target = message.sender.node;
        // The origin may be unable to receive from the member itself, so the member's record is forwarded
        // with the ack.
        forwarded_ack.updates.push_back(message.sender);
        send_message(state, relay->second.origin_address, {}, std::move(forwarded_ack), output);
        state.relays.erase(relay);
    }
    if (!state.joined && !state.sync) {
        start_sync(state, message.sender, {}, now, output);
    }
}

void receive_ping_req(membership_state& state, const gossip_message& message, const std::string& from,
                      time_point now, membership_output& output) {
    if (state.relays.size() >= k_max_relays) {
        return;
    }
    const std::uint32_t sequence = state.next_sequence++;
    state.relays[sequence] = relayed_probe{message.sequence, from, now + k_relay_lifetime};
    send_message(state, message.target_address, message.target,
                 make_message(state, gossip_kind::ping, sequence), output);
}

void receive_announce(membership_state& /*state*/, const gossip_message& /*message*/,
                      const std::string& /*from*/, time_point /*now*/, membership_output& /*output*/) {}

void receive_sync_request(membership_state& state, const gossip_message& message, const std::string& from,
                          time_point /*now*/, membership_output& output) {
    reply_to_sync(state, message, from, output);
}

void receive_sync_reply(membership_state& state, const gossip_message& message, const std::string& /*from*/,
                        time_point now, membership_output& output) {
    continue_sync(state, message, now, output);
}

using receive_function = void (*)(membership_state&, const gossip_message&, const std::string&, time_point,
                                  membership_output&);
constexpr std::array<receive_function, k_gossip_kind_count> k_receive_functions{
    receive_ping, receive_ack, receive_ping_req, receive_announce, receive_sync_request, receive_sync_reply};

} // namespace

membership_state make_membership(member_info self, std::vector<std::string> seeds, time_point now,
                                 const membership_options& options) {
    membership_state state;
    state.options = options;
    state.self = std::move(self);
    // Until this process joined, other entries owned the requests that are now assigned to it.
    state.self.state_since = now;
    // An earlier incarnation of this node may have dispatched requests that this one does not know.
    state.self.failed_at = now;
    state.seeds = std::move(seeds);
    state.last_step = now;
    state.next_probe = now;
    state.next_dead_probe = now + options.dead_probe_interval;
    state.next_seed = now;
    state.next_sync = now + options.sync_interval;
    state.next_heal_sync = now;
    return state;
}

void membership_tick(membership_state& state, time_point now, std::mt19937_64& random,
                     membership_output& output) {
    detect_suspension(state, now);
    if (state.probe && !state.probe->indirect_sent && now >= state.probe->indirect_at) {
        state.probe->indirect_sent = true;
        send_indirect(state, random, output);
    }
    if (now >= state.next_probe) {
        if (state.probe) {
            handle_probe_timeout(state, now, output);
        }
        probe_next(state, now, random, output);
        // Jitter keeps the probes of many nodes from synchronising.
        std::uniform_int_distribution<std::int64_t> jitter(0, state.options.probe_interval.count() / 10);
        state.next_probe = now + state.options.probe_interval - milliseconds{jitter(random)};
    }
    expire_members(state, now, output);
    for (auto relay = state.relays.begin(); relay != state.relays.end();) {
        relay = now >= relay->second.expires ? state.relays.erase(relay) : std::next(relay);
    }
    if (now >= state.next_seed) {
        contact_seeds(state, random, output);
        state.next_seed = now + (state.joined ? state.options.seed_interval : state.options.probe_interval);
    }
    if (now >= state.next_dead_probe) {
        state.next_dead_probe = now + state.options.dead_probe_interval;
        for (const auto& member : random_members(state, 1, random, [](const member_info& candidate) {
                 return candidate.state == member_state::dead;
             })) {
            send_ping(state, member, state.next_sequence++, output);
        }
    }
    if (state.sync && now >= state.sync->expires) {
        sync_with_random(state, now, random, output, true);
    }
    if (now >= state.next_sync) {
        state.next_sync = now + state.options.sync_interval;
        sync_with_random(state, now, random, output, false);
    }
}

void membership_receive(membership_state& state, const gossip_message& message, const std::string& from,
                        time_point now, std::mt19937_64& random, membership_output& output) {
    detect_suspension(state, now);
    if (message.sender.node == state.self.node) {
        // A process that is its own seed receives its own datagrams. Another process with the same node id
        // must not count as a member.
        return;
    }
    const member_info* before = find_member(state, message.sender.node);
    const bool was_dead = before != nullptr && before->state == member_state::dead;
    update_context context{now, &random};
    apply_update(state, message.sender, update_source::direct, context, output);
    const auto source = message.kind == gossip_kind::sync_reply ? update_source::sync : update_source::gossip;
    for (const auto& update : message.updates) {
        apply_update(state, update, source, context, output);
    }
    merge_facts(state, message, output);
    k_receive_functions.at(static_cast<std::size_t>(message.kind))(state, message, from, now, output);

    // A dead member that returns may belong to a partition that has healed. One read of its member list is
    // enough for all members that return with it.
    const member_info* after = find_member(state, message.sender.node);
    if (was_dead && after != nullptr && after->state == member_state::alive && !state.sync &&
        now >= state.next_heal_sync) {
        state.next_heal_sync = now + state.options.heal_sync_interval;
        start_sync(state, *after, {}, now, output);
    }
}

time_point membership_next(const membership_state& state) {
    time_point next = std::min(
        {state.next_probe, state.next_seed, state.next_dead_probe, state.next_sync, state.next_expiry});
    if (state.probe && !state.probe->indirect_sent) {
        next = std::min(next, state.probe->indirect_at);
    }
    if (state.sync) {
        next = std::min(next, state.sync->expires);
    }
    return next;
}

void membership_set_self(membership_state& state, member_state own, std::size_t fan_out, time_point now,
                         std::mt19937_64& random, membership_output& output) {
    if (state.self.state == own) {
        return;
    }
    state.self.state = own;
    state.self.state_since = now;
    // A higher refutation number overrides claims that this process is suspect in its earlier state.
    ++state.self.refutations;
    enqueue_update(state, state.self.node);
    output.members_changed = true;
    membership_announce(state, fan_out, random, output);
}

void membership_announce(const membership_state& state, std::size_t fan_out, std::mt19937_64& random,
                         membership_output& output) {
    const auto receivers = random_members(state, fan_out, random,
                                          [](const member_info& member) { return is_present(member.state); });
    for (const auto& receiver : receivers) {
        gossip_message message = make_message(state, gossip_kind::announce, 0);
        add_facts(state, message);
        output.send.push_back({receiver.gossip_address, std::move(message)});
    }
}

std::vector<member_info> member_list(const membership_state& state) {
    std::vector<member_info> list;
    list.reserve(state.members.size() + 1);
    list.push_back(state.self);
    for (const auto& [node, entry] : state.members) {
        list.push_back(entry.info);
    }
    std::sort(list.begin(), list.end(),
              [](const member_info& a, const member_info& b) { return a.node < b.node; });
    return list;
}

} // namespace lovage
