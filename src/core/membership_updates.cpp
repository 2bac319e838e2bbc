#include "membership_internal.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <utility>

namespace lovage {

namespace {

// With 3 log2(n) transmissions of an update by each member, the probability that it misses one is negligible
// (SWIM).
constexpr double k_transmissions_factor = 3.0;
// Conflicting records of one page that are resolved by a ping to the member itself.
constexpr std::size_t k_queries_per_page = 8;
// Bounds the memory that other processes can make this one use.
constexpr std::size_t k_max_members = 20'000;

// Precedence of states at equal incarnation and refutations, indexed by member_state. `leaving` overrides
// `suspect`, because a suspect member counts as taking new work.
constexpr std::array<unsigned, k_member_state_count> k_state_rank{0, 1, 3, 2, 4};

unsigned rank_of(member_state state) {
    return k_state_rank.at(static_cast<std::size_t>(state));
}

auto incarnation_key(const member_info& member) {
    return std::make_tuple(member.incarnation, member.refutations);
}

bool has_failed(member_state state) {
    return state == member_state::suspect || state == member_state::dead;
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

} // namespace

void enqueue_update(membership_state& state, const node_id& node) {
    const double members = static_cast<double>(state.members.size()) + 2.0;
    state.pending[node] = static_cast<unsigned>(std::ceil(k_transmissions_factor * std::log2(members)));
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

} // namespace lovage
