#pragma once

#include "lovage/control/control_state.h"

#include <string>
#include <string_view>
#include <utility>

namespace lovage {

inline void write_log(control_output& output, std::string_view event, std::string detail) {
    output.logs.push_back({event, std::move(detail)});
}

/// Looks for the first configuration: in the store, then at peers.
void start_config(control_state& state, time_point now, control_output& output);

/// Watches the store for the next configuration, in the entries that are chosen for it.
void watch_config(control_state& state, time_point now, control_output& output);

/// Asks the peer that announced a newer configuration for it.
void pull_config(control_state& state, time_point now, control_output& output);

/// As the leader, writes the active configuration to a restored store that lacks it.
void restore_config(control_state& state, time_point now, control_output& output);

/// Returns when the next of these steps is due, the watch not included; `time_point::max()` if none has a
/// time.
time_point next_config_step(const control_state& state, time_point now);

/// Apply the results of the calls that these functions requested.
void apply_config_start(control_state& state, const io_event& event, time_point now, control_output& output);
void apply_config_watch(control_state& state, const io_event& event, time_point now, control_output& output);
void apply_start_peer(control_state& state, const io_event& event, time_point now, control_output& output);
void apply_config_pull(control_state& state, const io_event& event, time_point now, control_output& output);
void apply_config_restore(control_state& state, const io_event& event, time_point now,
                          control_output& output);

} // namespace lovage
