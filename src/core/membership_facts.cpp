#include "membership_internal.h"

#include <algorithm>
#include <tuple>

namespace lovage {

namespace {

// Bounds for the memory that other processes can make this one use.
constexpr std::size_t k_max_vetoes = 1'000;
constexpr std::size_t k_max_moves = 200;

} // namespace

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

} // namespace lovage
