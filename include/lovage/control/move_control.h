#pragma once

#include "lovage/control/control_state.h"

#include <string>
#include <vector>

namespace lovage {

/// The moves (rollouts of new model versions) of the configuration in the state that this process must apply
/// at `wall`: at most one for each model, the last one in the configuration text. Moves that operators have
/// removed are not included.
std::vector<move_record> effective_moves(const control_state& state, wall_time wall);

/// Evaluates the evidence about new versions; the leader also plans the next steps of moves and the orders
/// that restore lost capacity. Does nothing before the time that `moves_next` returns.
void moves_tick(control_state& state, time_point now, wall_time wall, control_output& output);

/// Apply the results of the store calls that `moves_tick` requested.
void apply_move_read_reply(control_state& state, const io_event& event, time_point now,
                           control_output& output);
void apply_move_write_reply(control_state& state, const io_event& event, time_point now,
                            control_output& output);

/// When `moves_tick` must be called next: at its interval, or when the deadline of a published move
/// passes.
time_point moves_next(const control_state& state, time_point now, wall_time wall);

/// Gossips the current facts (leader, vetoes, move records, configuration revision) to a few members at once.
void announce_facts(control_state& state, control_output& output);

} // namespace lovage
