#include "gateway_state_parts.h"

#include "lovage/core/store_revision.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace lovage {

namespace {

void record_store_failure(gateway_state& state, const error& failure, time_point now) {
    // A lost history means that the store has answered.
    if (failure.kind == error_kind::history_lost) {
        add_log(state, log_level::info, "store_history_lost", {});
        return;
    }
    if (failure.kind == error_kind::overloaded || failure.kind == error_kind::protocol_error) {
        record_refused_call(state.health, now);
    }
    if (record_unanswered_call(state.health)) {
        add_log(state, log_level::warning, "store_lost", {{"detail", failure.detail}});
    }
}

void record_store_success(gateway_state& state, std::uint64_t revision, time_point now) {
    const auto silence = state.health.last_answer ? now - *state.health.last_answer : time_point::duration{};
    const auto returned = record_answered_call(state.health, state.shortest_outage, now);
    if (returned == store_return::none) {
        return;
    }
    if (returned == store_return::outage) {
        restart_entry_timeouts(state, now);
    }
    const auto silence_ms = std::chrono::duration_cast<milliseconds>(silence).count();
    add_log(state, log_level::info, "store_back",
            {{"revision", std::to_string(revision)},
             {"after", std::string(name_of(k_store_return_names, returned))},
             {"silence_ms", std::to_string(silence_ms)}});
}

// The store has come back from a copy: entries that are missing now may be written again, and what the copy
// holds may have been withdrawn since.
void begin_era(gateway_state& state, std::uint64_t era, std::uint64_t revision, time_point now) {
    const auto before = std::exchange(state.era, era);
    if (!before) {
        return;
    }
    state.era_seen = now;
    state.health.recovered_at = now;
    for (auto& [id, target] : state.targets) {
        // An entry that only the copy holds does not count as newer than what registered after the copy.
        target.created = make_revision(era, number_of(target.created));
        if (target.withheld_until) {
            target.withheld_until = now + state.entry_expiry;
        }
    }
    begin_moves_era(state.moves);
    add_log(state, log_level::warning, "store_restored",
            {{"era", std::to_string(era)},
             {"before", std::to_string(*before)},
             {"revision", std::to_string(number_of(revision))}});
}

// A key that is removed while a full read is in progress counts as seen: its removal has been applied.
void record_key(gateway_state& state, const std::string& target_id, const store_change& change) {
    if (!state.keys_seen) {
        return;
    }
    if (!target_id.empty()) {
        state.keys_seen->targets.insert(target_id);
    } else if (const auto service = state.documents.rollout_service(change.key); !service.empty()) {
        state.keys_seen->ordered_services.insert(service);
    }
}

// Whether a later write of the same key replaces each change. The state before a removal counts: a target
// that announced its shutdown is removed at once.
std::vector<bool> find_replaced(const std::vector<store_change>& changes) {
    std::vector<bool> is_replaced(changes.size(), false);
    std::unordered_map<std::string_view, bool> is_written_later;
    for (std::size_t i = changes.size(); i-- > 0;) {
        const bool is_write = changes[i].value.has_value();
        const auto [later, is_last] = is_written_later.try_emplace(changes[i].key, is_write);
        is_replaced[i] = !is_last && is_write && later->second;
        later->second = is_write;
    }
    return is_replaced;
}

void remove_absent(gateway_state& state, const store_keys_seen& seen, time_point now) {
    // The first full read of an era; the operators' next write may be on its way.
    const bool is_restored = !state.moves.are_records_read;
    for (auto move = state.moves.open.begin(); move != state.moves.open.end();) {
        const bool is_missing = seen.ordered_services.count(move->first) == 0;
        if (is_missing && is_restored) {
            keep_lost_order(state.moves, move->first, now);
        }
        move = is_missing && !move->second.removal_deadline ? state.moves.open.erase(move) : std::next(move);
    }
    std::vector<std::string> missing;
    for (const auto& [id, target] : state.targets) {
        if (seen.targets.count(id) == 0) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        mark_target_missing(state, id, now);
    }
}

} // namespace

void apply_store_update(gateway_state& state, store_update update, time_point now) {
    if (update.failure) {
        record_store_failure(state, *update.failure, now);
        return;
    }
    record_store_success(state, update.revision, now);
    if (update.kind == store_update_kind::first_page) {
        state.keys_seen.emplace();
        if (const auto era = era_of(update.revision); era != state.era) {
            begin_era(state, era, update.revision, now);
        }
    }
    const auto is_replaced = find_replaced(update.changes);
    for (std::size_t i = 0; i < update.changes.size(); ++i) {
        const auto& change = update.changes[i];
        const auto id = state.documents.target_id(change.key);
        record_key(state, id, change);
        if (is_replaced[i]) {
            continue;
        }
        if (id.empty()) {
            apply_document_change(state, change, now);
        } else if (change.value) {
            adopt_target(state, id, change, now);
        } else {
            mark_target_missing(state, id, now);
        }
    }
    if (update.completes_read && state.keys_seen) {
        remove_absent(state, *state.keys_seen, now);
        if (!state.moves.are_records_read) {
            find_lost_quarantines(state, *state.keys_seen, now);
        }
        state.keys_seen.reset();
        state.moves.are_records_read = true;
    }
    state.has_all_targets = state.has_all_targets || update.completes_read;
    const bool has_any = update.completes_read || !state.targets.empty();
    if (has_any && !std::exchange(state.has_targets, true)) {
        state.is_targets_changed = true;
    }
    state.table_confirmed = std::max(state.table_confirmed, update.confirmed);
}

} // namespace lovage
