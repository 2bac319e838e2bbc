#pragma once

#include "lovage/control/gateway_state.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovage {

/// Longest time between two checks for expired targets or lost quarantines.
inline constexpr milliseconds k_longest_check_interval{60'000};

inline void add_log(gateway_state& state, log_level level, std::string_view event,
                    std::vector<log_field> fields) {
    state.logs.push_back({level, event, std::move(fields)});
}

/// Notes a revision that the peers must read at once.
inline void record_change(gateway_state& state, std::uint64_t revision) {
    state.newest_change = std::max(state.newest_change, revision);
}

/// Applies what an entry of a target holds. One that cannot be decoded counts as missing.
void adopt_target(gateway_state& state, const std::string& id, const store_change& change, time_point now);

/// Removes a target whose entry is gone, or keeps it for a while if an outage of the store may explain that.
void mark_target_missing(gateway_state& state, const std::string& id, time_point now);

/// Restarts the times that entries were given before an outage of the store.
void restart_entry_timeouts(gateway_state& state, time_point now);

/// Applies a written or removed document other than a target's entry.
void apply_document_change(gateway_state& state, const store_change& change, time_point now);

/// Keeps a quarantined prompt part.
void adopt_quarantine(gateway_state& state, const std::string& key, const quarantine_record& record);

/// Finds the quarantined prompt parts that the first full read of an era lacks; `take_lost_quarantines`
/// returns them when they are due.
void find_lost_quarantines(gateway_state& state, const store_keys_seen& seen, time_point now);

} // namespace lovage
