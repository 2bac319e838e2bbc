#include "gateway_state_parts.h"

#include "lovage/core/store_revision.h"

#include <algorithm>

namespace lovage {

namespace {

void remove_target(gateway_state& state, const std::string& id, const char* reason, time_point now) {
    const auto found = state.targets.find(id);
    if (found == state.targets.end()) {
        return;
    }
    record_withdrawal(state.withdrawn, found->second.record, state.era.value_or(0), now);
    add_log(state, log_level::info, "target_gone",
            {{"target", id}, {"service", found->second.record.service}, {"reason", reason}});
    state.targets.erase(found);
    state.is_targets_changed = true;
}

} // namespace

// The outage delayed the heartbeats of live targets and the expiry of the entries of others.
void restart_entry_timeouts(gateway_state& state, time_point now) {
    for (auto& [id, target] : state.targets) {
        if (target.removal_deadline) {
            target.removal_deadline = now + k_reregistration_timeout;
        }
        if (target.withheld_until) {
            target.withheld_until = now + state.entry_expiry;
        }
    }
}

void mark_target_missing(gateway_state& state, const std::string& id, time_point now) {
    const auto found = state.targets.find(id);
    if (found == state.targets.end() || found->second.removal_deadline) {
        return;
    }
    // A target that announced its shutdown will not register again.
    if (are_removals_final(state.health, now) || found->second.record.phase == target_phase::draining) {
        remove_target(state, id, "store entry removed", now);
        return;
    }
    found->second.removal_deadline = *state.health.recovered_at + k_reregistration_timeout;
    const auto left = std::chrono::ceil<milliseconds>(*found->second.removal_deadline - now);
    add_log(state, log_level::info, "target_missing",
            {{"target", id},
             {"service", found->second.record.service},
             {"reason", "its entry may have expired in the outage of the store"},
             {"kept_ms", std::to_string(left.count())}});
}

void adopt_target(gateway_state& state, const std::string& id, const store_change& change, time_point now) {
    auto record = state.documents.decode_target(change.key, *change.value);
    if (!record) {
        add_log(state, log_level::warning, "document_rejected",
                {{"key", change.key}, {"detail", record.error().detail}});
        mark_target_missing(state, id, now);
        return;
    }
    const auto standing = judge_entry(state.withdrawn, *record, era_of(change.value->revision));
    if (standing == entry_standing::outdated) {
        record->phase = target_phase::draining;
    } else if (record->phase == target_phase::draining) {
        record_withdrawal(state.withdrawn, *record, era_of(change.value->revision), now);
    }
    auto& known = state.targets[id];
    known.removal_deadline.reset();
    if (known.record == *record) {
        return;
    }
    if (standing == entry_standing::unconfirmed) {
        known.withheld_until = state.era_seen + state.entry_expiry;
    } else {
        known.withheld_until.reset();
    }
    add_log(state, log_level::info, "target_known",
            {{"target", id},
             {"service", record->service},
             {"address", record->address},
             {"zone", record->zone},
             {"version", record->version},
             {"phase", std::string(name_of(k_target_phase_names, record->phase))},
             {"standing", std::string(name_of(k_entry_standing_names, standing))},
             {"revision", std::to_string(change.value->revision)}});
    if (known.record.id.empty() || known.record.started_ms != record->started_ms) {
        known.created = change.value->revision;
    }
    known.record = std::move(*record);
    state.is_targets_changed = true;
    record_change(state, change.value->revision);
}

time_point expire_targets(gateway_state& state, time_point now) {
    if (state.health.is_lost) {
        // Its next answer tells whether the time that has passed counts.
        return expire_orders(state.moves, now).value_or(now + k_longest_check_interval);
    }
    time_point next = now + k_longest_check_interval;
    std::vector<std::string> expired;
    for (auto& [id, target] : state.targets) {
        if (target.withheld_until && *target.withheld_until <= now) {
            target.withheld_until.reset();
            state.is_targets_changed = true;
        } else if (target.withheld_until) {
            next = std::min(next, *target.withheld_until);
        }
        if (!target.removal_deadline) {
            continue;
        }
        if (*target.removal_deadline <= now) {
            expired.push_back(id);
        } else {
            next = std::min(next, *target.removal_deadline);
        }
    }
    next = std::min(next, expire_orders(state.moves, now).value_or(next));
    for (const auto& id : expired) {
        remove_target(state, id, "store entry not restored after the outage", now);
    }
    return next;
}

} // namespace lovage
