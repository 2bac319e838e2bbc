#include "lovage/traffic/evidence_recorder.h"

#include <algorithm>

namespace lovage {

namespace {

// Maximum number of keys that the evaluation accepts from one report.
constexpr std::size_t k_max_keys = 1'000;

evidence_counts counts_of(evidence_event_kind kind) {
    switch (kind) {
    case evidence_event_kind::first_token:
        return {1, 0, 0, 0};
    case evidence_event_kind::slow_first_token:
        return {1, 0, 1, 0};
    case evidence_event_kind::slow_gap:
        return {1, 0, 0, 1};
    case evidence_event_kind::failure:
        return {1, 1, 0, 0};
    }
    return {};
}

} // namespace

void evidence_recorder::record(const evidence_key& key, evidence_event_kind kind) {
    const std::lock_guard lock(m_mutex);
    if (m_counts.size() >= k_max_keys && m_counts.count(key) == 0) {
        return;
    }
    evidence_counts& counts = m_counts[key];
    counts = counts + counts_of(kind);
}

evidence_message evidence_recorder::report() const {
    const std::lock_guard lock(m_mutex);
    evidence_message message;
    message.items.reserve(m_counts.size());
    for (const auto& [key, counts] : m_counts) {
        message.items.push_back({key.model, key.version, key.route, counts.requests, counts.failures,
                                 counts.slow_first_tokens, counts.slow_gaps});
    }
    return message;
}

bool is_evidence_wanted(const fleet_view& view) {
    if (!view.config) {
        return false;
    }
    const auto is_over = [&view](const std::string& id) {
        const auto& vetoed = view.vetoed_moves;
        return std::find(vetoed.begin(), vetoed.end(), id) != vetoed.end() ||
               std::any_of(view.moves.begin(), view.moves.end(), [&id](const move_record& record) {
                   return record.id == id && record.phase == move_phase::reverted;
               });
    };
    const auto& moves = view.config->moves;
    return std::any_of(moves.begin(), moves.end(),
                       [&is_over](const move_config& move) { return !is_over(move.id); });
}

} // namespace lovage
