#include "gateway_state_parts.h"

namespace lovage {

namespace {

void adopt_table(gateway_state& state, route_table table, std::uint64_t revision) {
    // An older configuration never replaces the active one.
    if (state.table && table.version <= state.table->version) {
        return;
    }
    add_log(state, log_level::info, "config_in_force",
            {{"version", std::to_string(table.version)},
             {"before", state.table ? std::to_string(state.table->version) : "0"},
             {"revision", std::to_string(revision)},
             {"routes", std::to_string(table.routes.size())},
             {"keys", std::to_string(table.organisation_by_key.size())}});
    state.table = std::make_shared<const route_table>(std::move(table));
    record_change(state, revision);
}

void adopt_rollout(gateway_state& state, const rollout_order& order, time_point now) {
    add_log(state, log_level::info, "rollout_ordered",
            {{"service", order.service},
             {"version", order.version},
             {"duration_s", std::to_string(order.duration_s)},
             {"revision", std::to_string(order.revision)}});
    apply_rollout_order(state.moves, order, now);
    record_change(state, order.revision);
}

void adopt_record(gateway_state& state, const move_record& record, std::uint64_t revision) {
    add_log(state, log_level::info, "move_known",
            {{"move", record.id},
             {"version", record.to},
             {"phase", std::string(name_of(k_move_phase_names, record.phase))},
             {"share", std::to_string(record.share)},
             {"revision", std::to_string(revision)},
             {"detail", record.reason}});
    apply_move_record(state.moves, record, revision);
    record_change(state, revision);
}

} // namespace

void apply_document_change(gateway_state& state, const store_change& change, time_point now) {
    if (!change.value) {
        state.quarantines.erase(change.key);
        state.lost_quarantines.erase(change.key);
        remove_rollout_order(state.moves, state.documents.rollout_service(change.key));
        return;
    }
    auto document = state.documents.decode_watched_document(change.key, *change.value);
    if (!document) {
        add_log(state, log_level::error, "document_rejected",
                {{"key", change.key}, {"detail", document.error().detail}});
    } else if (auto* table = std::get_if<route_table>(&*document)) {
        adopt_table(state, std::move(*table), change.value->revision);
    } else if (auto* order = std::get_if<rollout_order>(&*document)) {
        adopt_rollout(state, *order, now);
    } else if (const auto* record = std::get_if<move_record>(&*document)) {
        adopt_record(state, *record, change.value->revision);
    } else if (const auto* quarantine = std::get_if<quarantine_record>(&*document)) {
        adopt_quarantine(state, change.key, *quarantine);
    }
}

} // namespace lovage
