#include "lovage/core/config_propagation.h"

#include "lovage/core/rendezvous.h"

#include <algorithm>

namespace lovage {

namespace {

bool is_serving(const member_info& member) {
    return member.state == member_state::alive || member.state == member_state::suspect;
}

} // namespace

bool is_config_watcher(const std::vector<member_info>& members, const member_info& self) {
    if (self.role != node_role::entry || !is_serving(self)) {
        return false;
    }
    std::vector<std::string> entries{self.node};
    for (const auto& member : members) {
        if (member.node != self.node && member.role == node_role::entry && member.zone == self.zone &&
            is_serving(member)) {
            entries.push_back(member.node);
        }
    }
    const auto highest_ranked = rendezvous_top(entries, hash_bytes("config/current"), k_watchers_per_zone);
    return std::find(highest_ranked.begin(), highest_ranked.end(), 0U) != highest_ranked.end();
}

bool may_adopt(const config_propagation_state& state, config_revision revision) {
    return revision > state.revision && revision > state.refused;
}

std::vector<config_source> choose_bootstrap_peers(const std::vector<member_info>& members,
                                                  const member_info& self, std::mt19937_64& random) {
    std::vector<const member_info*> order;
    for (const auto& member : members) {
        if (member.node != self.node && is_serving(member) && !member.http_address.empty()) {
            order.push_back(&member);
        }
    }
    std::shuffle(order.begin(), order.end(), random);
    // Each round takes at most one member per zone, so that the copies do not all come from one stale zone.
    std::vector<config_source> peers;
    std::map<std::string, std::size_t> taken;
    for (std::size_t round = 0; round < k_bootstrap_peers && peers.size() < k_bootstrap_peers; ++round) {
        for (const auto* member : order) {
            const bool is_asked =
                std::any_of(peers.begin(), peers.end(),
                            [member](const config_source& peer) { return peer.node == member->node; });
            if (peers.size() < k_bootstrap_peers && !is_asked && taken[member->zone] == round) {
                ++taken[member->zone];
                peers.push_back({member->node, member->http_address, 0});
            }
        }
    }
    return peers;
}

void record_config_source(config_propagation_state& state, const config_source& source, time_point now) {
    if (!may_adopt(state, source.revision)) {
        return;
    }
    if (!state.source || source.revision > state.source->revision) {
        state.next_pull = now;
    }
    if (!state.source || source.revision >= state.source->revision) {
        state.source = source;
    }
}

std::optional<config_source> next_pull(config_propagation_state& state, time_point now) {
    if (state.source && !may_adopt(state, state.source->revision)) {
        state.source.reset();
    }
    if (!state.source || state.is_pulling || now < state.next_pull) {
        return std::nullopt;
    }
    state.is_pulling = true;
    return state.source;
}

void record_pull_end(config_propagation_state& state, time_point now) {
    state.is_pulling = false;
    state.next_pull = now + k_pull_retry_interval;
}

void record_store_reply(config_propagation_state& state, bool is_up, time_point now) {
    state.store_asked = false;
    if (state.phase == bootstrap_phase::ready) {
        return;
    }
    if (is_up) {
        state.phase = bootstrap_phase::ask_store;
        state.next_bootstrap = now + k_bootstrap_retry_interval;
    } else if (state.phase == bootstrap_phase::ask_store) {
        state.phase = bootstrap_phase::ask_peers;
        state.next_bootstrap = now;
    }
}

void record_peer_reply(config_propagation_state& state, const std::optional<config_copy>& copy,
                       time_point now) {
    if (state.phase == bootstrap_phase::ready) {
        return;
    }
    ++state.peers_answered;
    if (copy && (!state.best || copy->revision > state.best->revision)) {
        state.best = copy;
    }
    if (is_bootstrap_complete(state) && !state.best) {
        state.peers_asked = 0;
        state.peers_answered = 0;
        state.phase = bootstrap_phase::ask_store;
        state.next_bootstrap = now + k_bootstrap_retry_interval;
    }
}

bool is_bootstrap_complete(const config_propagation_state& state) {
    return state.peers_asked > 0 && state.peers_answered >= state.peers_asked;
}

} // namespace lovage
