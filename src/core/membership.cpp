#include "lovage/core/membership.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace lovage {

namespace {

// With 3 log2(n) transmissions of an update by each member, the probability that it misses one is negligible
// (SWIM).
constexpr double k_transmissions_factor = 3.0;
constexpr std::size_t k_seeds_per_attempt = 3;
// Conflicting records of one page that are resolved by a ping to the member itself.
constexpr std::size_t k_queries_per_page = 8;
constexpr std::size_t k_vetoes_per_datagram = 8;
constexpr std::size_t k_moves_per_datagram = 4;
// Bounds for the memory that other processes can make this one use.
constexpr std::size_t k_max_members = 20'000;
constexpr std::size_t k_max_vetoes = 1'000;
constexpr std::size_t k_max_moves = 200;
constexpr std::size_t k_max_relays = 1'000;
constexpr milliseconds k_relay_lifetime{1'000};

enum class update_source : std::uint8_t { direct, gossip, sync };

// Precedence of states at equal incarnation and refutations, indexed by member_state. `leaving` overrides
// `suspect`, because a suspect member counts as taking new work.
constexpr std::array<unsigned, k_member_state_count> k_state_rank{0, 1, 3, 2, 4};

unsigned rank_of(member_state state) {
    return k_state_rank.at(static_cast<std::size_t>(state));
}

auto incarnation_key(const member_info& member) {
    return std::make_tuple(member.incarnation, member.refutations);
}

bool is_present(member_state state) {
    return state == member_state::alive || state == member_state::suspect || state == member_state::leaving;
}

void enqueue_update(membership_state& state, const node_id& node) {
    const double members = static_cast<double>(state.members.size()) + 2.0;
    state.pending[node] = static_cast<unsigned>(std::ceil(k_transmissions_factor * std::log2(members)));
}

const member_info* find_member(const membership_state& state, const node_id& node) {
    if (node == state.self.node) {
        return &state.self;
    }
    const auto found = state.members.find(node);
    return found != state.members.end() ? &found->second.info : nullptr;
}

// Adds as many pending updates as fit into the datagram, those with the most remaining transmissions first.
void add_updates(membership_state& state, gossip_message& message) {
    std::vector<std::pair<unsigned, node_id>> order;
    order.reserve(state.pending.size());
    for (const auto& [node, left] : state.pending) {
        order.emplace_back(left, node);
    }
    std::sort(order.begin(), order.end(), std::greater<>());
    std::size_t size = encoded_size_bound(message);
    for (const auto& [left, node] : order) {
        const member_info* member = find_member(state, node);
        if (member == nullptr) {
            state.pending.erase(node);
            continue;
        }
        const std::size_t more = encoded_size_bound(*member);
        if (size + more > k_max_datagram_bytes) {
            break;
        }
        size += more;
        // The message already carries the sender's own record.
        if (node != state.self.node) {
            message.updates.push_back(*member);
        }
        if (left <= 1) {
            state.pending.erase(node);
        } else {
            state.pending[node] = left - 1;
        }
    }
}

// Picks at most `limit` items: half of them the newest, half older ones in rotation, so that a process that
// starts late learns all of them.
template <class Item>
std::vector<Item> pick_facts(const std::vector<Item>& all, std::size_t limit, std::size_t cursor) {
    if (all.size() <= limit) {
        return all;
    }
    const std::size_t newest = limit / 2;
    std::vector<Item> picked(all.end() - static_cast<std::ptrdiff_t>(newest), all.end());
    const std::size_t older = all.size() - newest;
    for (std::size_t i = 0; i < limit - newest; ++i) {
        picked.push_back(all[(cursor + i) % older]);
    }
    return picked;
}

// A text above the limit would make receivers reject the whole datagram. The configuration check
// rejects such names; this is a second line of defence.
bool fits_limit(const std::string& text) {
    return text.size() <= k_max_gossip_text_bytes;
}
bool fits_limit(const move_record& record) {
    return fits_limit(record.id) && fits_limit(record.model) && fits_limit(record.from) &&
           fits_limit(record.to);
}

template <class Item, class SizeOf>
void add_fitting(std::vector<Item>& target, const std::vector<Item>& items, std::size_t& size,
                 SizeOf size_of) {
    for (const auto& item : items) {
        const std::size_t more = size_of(item);
        if (fits_limit(item) && size + more <= k_max_datagram_bytes) {
            size += more;
            target.push_back(item);
        }
    }
}

gossip_message make_message(const membership_state& state, gossip_kind kind, std::uint32_t sequence) {
    gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.sender = state.self;
    message.facts.config_revision = state.facts.config_revision;
    message.facts.leader = state.facts.leader;
    return message;
}

void add_facts(const membership_state& state, gossip_message& message) {
    std::size_t size = encoded_size_bound(message);
    add_fitting(message.facts.vetoes,
                pick_facts(state.facts.vetoes, k_vetoes_per_datagram, state.fact_cursor), size,
                [](const std::string& veto) { return veto.size() + 2; });
    add_fitting(message.facts.moves, pick_facts(state.facts.moves, k_moves_per_datagram, state.fact_cursor),
                size, [](const move_record& record) { return encoded_size_bound(record); });
}

// Adds the receiver's record, facts and pending updates to the message and sends it.
void send_message(membership_state& state, const std::string& address, const node_id& receiver,
                  gossip_message message, membership_output& output) {
    if (address.empty()) {
        return;
    }
    // A member recorded as not alive is sent its own record, so that it can refute a wrong state at once.
    const auto known = state.members.find(receiver);
    if (known != state.members.end() && known->second.info.state != member_state::alive) {
        message.updates.push_back(known->second.info);
    }
    add_facts(state, message);
    ++state.fact_cursor;
    add_updates(state, message);
    output.send.push_back({address, std::move(message)});
}

void send_ping(membership_state& state, const member_info& target, std::uint32_t sequence,
               membership_output& output) {
    send_message(state, target.gossip_address, target.node, make_message(state, gossip_kind::ping, sequence),
                 output);
}

// Returns up to `count` random members that `accept` accepts.
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

bool has_failed(member_state state) {
    return state == member_state::suspect || state == member_state::dead;
}

void set_member(membership_state& state, member_entry& entry, const member_info& record, time_point now,
                membership_output& output) {
    const member_state old_state = entry.info.state;
    const bool is_visible = old_state != record.state || entry.info.incarnation != record.incarnation ||
                            entry.info.peer_address != record.peer_address ||
                            entry.info.http_address != record.http_address;
    const bool is_newer_key = incarnation_key(record) != incarnation_key(entry.info);
    const bool is_failure = has_failed(old_state) || has_failed(record.state) ||
                            (entry.info.incarnation != record.incarnation && is_present(old_state));
    const time_point since = entry.info.state_since;
    const time_point failed_at = is_failure ? now : entry.info.failed_at;
    entry.info = record;
    entry.info.state_since = old_state == record.state ? since : now;
    entry.info.failed_at = failed_at;
    if (record.state == member_state::suspect && (is_newer_key || old_state != member_state::suspect)) {
        entry.suspect_until = now + state.options.suspicion_timeout;
        state.next_expiry = std::min(state.next_expiry, entry.suspect_until);
    }
    enqueue_update(state, record.node);
    if (is_visible) {
        output.members_changed = true;
        output.changed.push_back(entry.info);
    }
}

void add_member(membership_state& state, const member_info& record, time_point now, std::mt19937_64& random,
                membership_output& output) {
    if (state.members.size() >= k_max_members) {
        return;
    }
    member_entry& entry = state.members[record.node];
    entry.info = record;
    entry.info.state_since = now;
    entry.info.failed_at = has_failed(record.state) ? now : time_point{};
    entry.suspect_until = now + state.options.suspicion_timeout;
    state.next_expiry = std::min(state.next_expiry, entry.suspect_until);
    enqueue_update(state, record.node);
    output.members_changed = true;
    output.changed.push_back(entry.info);
    // A random position in the probe order bounds the time to the first probe and makes it differ between
    // nodes.
    std::uniform_int_distribution<std::size_t> place(0, state.probe_order.size());
    const std::size_t at = place(random);
    state.probe_order.insert(state.probe_order.begin() + static_cast<std::ptrdiff_t>(at), record.node);
    if (at < state.probe_index) {
        ++state.probe_index;
    }
}

// Refutes a claim about this process, unless the claim is outdated or agrees with the state of this process.
void refute(membership_state& state, const member_info& claim, time_point now, membership_output& output) {
    member_info& self = state.self;
    if (incarnation_key(claim) < incarnation_key(self)) {
        return;
    }
    const bool is_same_incarnation = claim.incarnation == self.incarnation;
    const bool agrees = incarnation_key(claim) == incarnation_key(self) &&
                        rank_of(claim.state) <= rank_of(self.state) && claim.state != member_state::suspect;
    if (agrees) {
        return;
    }
    if (is_same_incarnation) {
        self.refutations = claim.refutations + 1;
    } else {
        // The clock went back between two starts of this node. Only a higher incarnation makes the others
        // accept the running process.
        self.incarnation = claim.incarnation + 1;
        self.refutations = 0;
    }
    // While others considered this process failed, they may have taken over its requests.
    self.state_since = now;
    self.failed_at = now;
    output.members_changed = true;
    enqueue_update(state, self.node);
}

struct update_context {
    time_point now;
    std::mt19937_64* random;
    std::size_t queries = 0;
};

// Pings the member itself when two member lists disagree at equal incarnation and refutations. Accepting the
// other side's `dead` records would declare every member of a partition dead while it heals.
void query_member(membership_state& state, const member_info& known, const member_info& claim,
                  update_context& context, membership_output& output) {
    if (context.queries >= k_queries_per_page || claim.state == member_state::left) {
        return;
    }
    ++context.queries;
    gossip_message message = make_message(state, gossip_kind::ping, state.next_sequence++);
    if (is_present(known.state)) {
        message.updates.push_back(claim);
    }
    send_message(state, known.gossip_address, known.node, std::move(message), output);
}

void apply_update(membership_state& state, member_info record, update_source source, update_context& context,
                  membership_output& output) {
    if (record.node == state.self.node) {
        refute(state, record, context.now, output);
        return;
    }
    const auto known = state.members.find(record.node);
    if (known == state.members.end()) {
        if (is_present(record.state)) {
            add_member(state, record, context.now, *context.random, output);
        }
        return;
    }
    member_info& present = known->second.info;
    const bool is_newer = incarnation_key(record) > incarnation_key(present);
    const bool is_same = incarnation_key(record) == incarnation_key(present);
    if (source == update_source::sync) {
        if (is_same && is_present(record.state) != is_present(present.state)) {
            query_member(state, present, record, context, output);
            return;
        }
        if (is_newer && record.state == member_state::dead) {
            record.state = member_state::suspect;
        }
    }
    if (is_newer || (is_same && rank_of(record.state) > rank_of(present.state))) {
        set_member(state, known->second, record, context.now, output);
    }
}

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

void merge_facts(membership_state& state, const gossip_message& message, membership_output& output) {
    bool is_new = merge_leader(state.facts, message.facts.leader);
    for (const auto& veto : message.facts.vetoes) {
        is_new = merge_veto(state.facts, veto) || is_new;
    }
    for (const auto& record : message.facts.moves) {
        is_new = merge_move(state.facts, record) || is_new;
    }
    output.facts_changed = output.facts_changed || is_new;
    if (message.facts.config_revision > state.facts.config_revision) {
        output.config =
            newer_config{message.sender.node, message.sender.http_address, message.facts.config_revision};
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

bool merge_leader(gossip_facts& facts, const leader_claim& claim) {
    if (claim.fencing <= facts.leader.fencing) {
        return false;
    }
    facts.leader = claim;
    return true;
}

bool merge_veto(gossip_facts& facts, const std::string& move) {
    const bool is_known = std::find(facts.vetoes.begin(), facts.vetoes.end(), move) != facts.vetoes.end();
    if (is_known || facts.vetoes.size() >= k_max_vetoes) {
        return false;
    }
    facts.vetoes.push_back(move);
    return true;
}

bool merge_move(gossip_facts& facts, const move_record& record) {
    const auto known = std::find_if(facts.moves.begin(), facts.moves.end(),
                                    [&record](const move_record& item) { return item.id == record.id; });
    if (known != facts.moves.end()) {
        if (std::tie(record.fencing, record.sequence) <= std::tie(known->fencing, known->sequence)) {
            return false;
        }
        facts.moves.erase(known);
    } else if (facts.moves.size() >= k_max_moves) {
        facts.moves.erase(facts.moves.begin());
    }
    // Records are kept with the newest at the end.
    facts.moves.push_back(record);
    return true;
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
