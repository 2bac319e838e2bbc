#include "gateway_state_parts.h"

#include <algorithm>

namespace lovage {

namespace {

// How long a process waits for each process with a lower write rank.
constexpr milliseconds k_quarantine_stagger{400};

} // namespace

void adopt_quarantine(gateway_state& state, const std::string& key, const quarantine_record& record) {
    state.lost_quarantines.erase(key);
    if (state.keys_seen) {
        state.keys_seen->quarantines.insert(key);
    }
    if (state.quarantines.emplace(key, record).second) {
        add_log(state, log_level::info, "quarantine_known",
                {{"key", key}, {"service", record.service}, {"parts", std::to_string(record.parts.size())}});
    }
}

// The store has lost what was written to it after its copy.
void find_lost_quarantines(gateway_state& state, const store_keys_seen& seen, time_point now) {
    const auto rank = static_cast<std::int64_t>(std::min(state.moves.write_rank, k_max_write_rank));
    for (const auto& [key, record] : state.quarantines) {
        if (seen.quarantines.count(key) == 0) {
            state.lost_quarantines[key] = {record, now + k_quarantine_stagger * rank};
        }
    }
}

time_point take_lost_quarantines(gateway_state& state, time_point now,
                                 std::vector<quarantine_record>& writes) {
    time_point next = now + k_longest_check_interval;
    for (auto lost = state.lost_quarantines.begin(); lost != state.lost_quarantines.end();) {
        if (lost->second.due <= now) {
            writes.push_back(std::move(lost->second.record));
            lost = state.lost_quarantines.erase(lost);
        } else {
            next = std::min(next, lost->second.due);
            ++lost;
        }
    }
    return next;
}

} // namespace lovage
