#include "gateway_state_parts.h"

#include "lovage/core/ids.h"
#include "lovage/core/rendezvous.h"

#include <algorithm>
#include <iterator>

namespace lovage {

namespace {

// Ids of the ready targets of a version, in an order that is the same in all processes. It depends on hashes
// and not on names, so that the first targets are spread over the zones.
std::vector<std::string> find_ready_targets(const gateway_state& state, const std::string& service,
                                            const std::string& version) {
    std::vector<std::string> ids;
    for (const auto& [id, target] : state.targets) {
        const auto& record = target.record;
        if (record.service == service && record.version == version && record.phase == target_phase::ready &&
            !target.removal_deadline && !target.withheld_until) {
            ids.push_back(id);
        }
    }
    const auto key = hash_bytes(version);
    std::sort(ids.begin(), ids.end(), [key](const std::string& a, const std::string& b) {
        return rendezvous_rank(a, key) > rendezvous_rank(b, key);
    });
    return ids;
}

} // namespace

time_point plan_moves(gateway_state& state, time_point now, wall_time wall, std::vector<move_write>& writes) {
    for (const auto& [service, move] : state.moves.open) {
        set_ready_targets(state.moves, service, find_ready_targets(state, service, move.order.version));
    }
    moves_output output;
    const auto next = run_moves(state.moves, now, wall, output);
    for (auto& [event, fields] : output.logs) {
        add_log(state, log_level::info, event, std::move(fields));
    }
    std::move(output.writes.begin(), output.writes.end(), std::back_inserter(writes));
    return next;
}

void apply_move_write(gateway_state& state, const move_write_result& written, time_point now) {
    apply_write_result(state.moves, written, now);
    if (written.revision) {
        record_change(state, *written.revision);
    }
}

} // namespace lovage
