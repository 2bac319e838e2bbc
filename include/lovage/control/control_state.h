#pragma once

#include "lovage/control/control_event.h"
#include "lovage/control/fleet_view.h"
#include "lovage/core/config_propagation.h"
#include "lovage/core/evidence.h"
#include "lovage/core/leadership.h"
#include "lovage/core/membership.h"
#include "lovage/core/repair.h"
#include "lovage/core/result.h"
#include "lovage/core/rollout.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovage {

struct control_options {
    member_info self;
    /// Gossip addresses ("ip:port") of the members that a starting process contacts first.
    std::vector<std::string> seeds;
    /// Whether this process may be elected leader.
    bool may_lead = false;
    std::uint64_t random_seed = 0;
};

/// Conversions between stored values and plain structs. They are stateless and do not block.
struct control_codecs {
    /// Parses the value of the store key `config/current`.
    std::function<result<fleet_config>(const std::string& document)> parse_config;
    std::function<std::string(const move_record&)> encode_move;
    std::function<result<move_record>(const std::string&)> decode_move;
    /// Returns the store's era in which a configuration document was written; may be empty if the store is
    /// never restored.
    std::function<std::uint64_t(const std::string& document)> config_era;
    /// Returns the document as it is written again in the store's era `era`.
    std::function<result<std::string>(const std::string& document, std::uint64_t era)> restate_config;
};

/// The configuration as last seen in the store.
struct stored_config_state {
    /// As the store states it; 0 if there is none.
    std::uint64_t revision = 0;
    /// The revision of the document in the history in which it was written.
    config_revision written = 0;
    /// The store's era; 0 if unknown.
    std::uint64_t era = 0;
    /// Since when the store, restored from a copy, has lacked the active configuration.
    std::optional<time_point> lacks_active_since;
};

/// A log line about a change of state.
struct control_log {
    std::string_view event;
    std::string detail;
};

/// The actions that the control thread must execute after a step.
struct control_output {
    std::vector<outgoing_datagram> datagrams;
    std::vector<io_request> io;
    std::vector<std::pair<node_id, order_message>> orders;
    std::vector<control_log> logs;
    /// Metric counters to increase, by name, and by how much.
    std::vector<std::pair<std::string, double>> counts;
    /// The view to publish; null if nothing changed.
    fleet_view_ptr view;
};

/// The latest load report of an agent, and when it arrived.
struct target_report {
    load_report_message report;
    time_point received{};
};

/// What an entry (front-end process) knows of one move, which is the rollout of a new version of a model.
/// Every entry evaluates the evidence that it has; only the leader plans the next step.
struct move_run {
    move_config move;
    move_evaluation evaluation;
    move_plan plan;
    /// The record in the store and its revision, valid if it has been read in the current leadership term.
    bool is_read = false;
    std::optional<move_record> record;
    std::uint64_t revision = 0;
    /// Whether `record` is missing in the store, which was restored from a copy, and must be written again.
    bool is_lost = false;
    /// Whether a store call for this move is in progress.
    bool has_pending_call = false;
    /// Earliest time of the next store call, after a failed one.
    time_point retry_not_before{};
    std::string veto_reason;
};

/// All state of the control thread. Only `control_handle`, `control_tick` and `control_announce_departure`
/// change it.
struct control_state {
    control_options options;
    control_codecs codecs;
    std::mt19937_64 random;
    membership_state membership;
    config_propagation_state propagation;
    leadership_state leadership;
    stored_config_state stored;
    bool is_restoring = false;
    time_point next_restore{};
    /// The active configuration, as stored and as parsed; null until one is known.
    std::shared_ptr<const config_copy> copy;
    std::shared_ptr<const fleet_config> config;
    /// Load reports by agent.
    std::map<node_id, target_report> targets;
    /// Nodes that the platform lists as leaving; the values are always true.
    std::map<node_id, bool> leaving_vms;
    evidence_table evidence;
    /// State of each move, by its id.
    std::map<std::string, move_run> runs;
    repair_state repair;
    /// The leadership term for which the plans in `runs` and `repair` hold, and when this process began it.
    fencing_number planned_term = 0;
    time_point term_since{};
    /// When moves are evaluated and planned next.
    time_point next_moves_tick_at{};
    /// The moves of the last published view.
    std::vector<move_record> published_moves;
    /// Whether this process is one of the watchers of the configuration in the store. Cached, because every
    /// event needs it and computing it takes a pass over all members.
    bool is_watcher = false;
    /// Whether a watch call is in progress.
    bool is_watching = false;
    time_point watch_started{};
    time_point next_watch{};
    bool was_leader = false;
    /// Whether the state has changed since the last published view.
    bool is_changed = true;
    std::uint64_t view_sequence = 0;
};

control_state make_control_state(control_options options, control_codecs codecs, time_point now);

/// Applies one event to the state and appends the resulting actions to `output`.
void control_handle(control_state& state, control_event event, time_point now, wall_time wall,
                    control_output& output);

/// Does the work that is due and adds a new view to `output` if the state changed. Called after each event
/// and after each timeout.
void control_tick(control_state& state, time_point now, wall_time wall, control_output& output);

/// When `control_tick` must be called next, if no event arrives before.
time_point control_next(const control_state& state, time_point now, wall_time wall);

/// Announces to other members that this process has left; the last step before the process ends.
void control_announce_departure(control_state& state, time_point now, control_output& output);

/// The lane whose worker thread executes calls of `purpose`.
io_lane lane_of(io_purpose purpose);

/// Builds the view of the current state for traffic threads.
fleet_view make_view(const control_state& state, time_point now, wall_time wall);

} // namespace lovage
