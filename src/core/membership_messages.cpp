#include "membership_internal.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lovage {

namespace {

constexpr std::size_t k_vetoes_per_datagram = 8;
constexpr std::size_t k_moves_per_datagram = 4;

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

} // namespace

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

} // namespace lovage
