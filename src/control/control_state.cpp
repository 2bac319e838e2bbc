#include "control_state_parts.h"

#include "lovage/control/move_control.h"

#include <algorithm>
#include <array>

namespace lovage {

namespace {

// More members than for other announcements, because a leaving target must get no new work after 3 s.
constexpr std::size_t k_leave_fan_out = 8;
constexpr std::size_t k_max_load_reports = 20'000;

// The lane of each `io_purpose`, in the order of the enumerators.
constexpr std::array<io_lane, k_io_purpose_count> k_lanes{io_lane::store, io_lane::watch, io_lane::fetch,
                                                          io_lane::fetch, io_lane::store, io_lane::store,
                                                          io_lane::store, io_lane::store};

void apply_membership_output(control_state& state, membership_output&& step, time_point now,
                             control_output& output) {
    std::move(step.send.begin(), step.send.end(), std::back_inserter(output.datagrams));
    for (const auto& member : step.changed) {
        write_log(output, "member",
                  member.node + " " + std::string(name_of(k_member_state_names, member.state)));
    }
    if (step.config) {
        record_config_source(state.propagation,
                             {step.config->node, step.config->http_address, step.config->revision}, now);
    }
    if (step.facts_changed) {
        state.next_moves_tick_at = now;
        announce_facts(state, output);
    }
    if (step.members_changed) {
        state.is_watcher = is_config_watcher(member_list(state.membership), state.membership.self);
    }
    state.is_changed = state.is_changed || step.members_changed || step.facts_changed;
}

// Only the entries that watch the configuration are candidates, which limits the store calls for the leader
// key.
bool is_candidate(const control_state& state) {
    return state.options.may_lead && state.membership.self.state == member_state::alive &&
           state.config != nullptr && state.is_watcher;
}

void apply_known_leader(control_state& state, control_output& output) {
    if (merge_leader(state.membership.facts, state.leadership.known_leader)) {
        state.is_changed = true;
        announce_facts(state, output);
    }
}

void step_leadership(control_state& state, time_point now, control_output& output) {
    if (auto request = leadership_step(state.leadership, is_candidate(state), now, state.random)) {
        io_request io;
        io.purpose = io_purpose::leadership;
        io.store = std::move(*request);
        output.io.push_back(std::move(io));
    }
    const bool is_leader_now = is_leading(state.leadership, now);
    if (is_leader_now != state.was_leader) {
        state.was_leader = is_leader_now;
        state.is_changed = true;
        write_log(output, is_leader_now ? "leadership_gained" : "leadership_lost",
                  "term " + std::to_string(state.leadership.term));
    }
}

void publish_view(control_state& state, time_point now, wall_time wall, control_output& output) {
    if (!state.is_changed) {
        return;
    }
    state.is_changed = false;
    ++state.view_sequence;
    output.view = std::make_shared<const fleet_view>(make_view(state, now, wall));
}

void apply_leadership(control_state& state, const io_event& event, time_point now, control_output& output) {
    leadership_reply(state.leadership, event.store, now);
    apply_known_leader(state, output);
}

// Handlers of finished calls, in the order of `io_purpose`.
using io_result_handler = void (*)(control_state&, const io_event&, time_point, control_output&);
constexpr std::array<io_result_handler, k_io_purpose_count> k_io_result_handlers{
    apply_config_start, apply_config_watch,    apply_start_peer,       apply_config_pull,
    apply_leadership,   apply_move_read_reply, apply_move_write_reply, apply_config_restore};

struct event_context {
    control_state* state;
    time_point now;
    control_output* output;
};

void handle_event(const event_context& context, const datagram_event& event) {
    membership_output step;
    membership_receive(context.state->membership, event.message, event.from, context.now,
                       context.state->random, step);
    apply_membership_output(*context.state, std::move(step), context.now, *context.output);
}

void handle_event(const event_context& context, const io_event& event) {
    k_io_result_handlers.at(static_cast<std::size_t>(event.request.purpose))(*context.state, event,
                                                                             context.now, *context.output);
}

void handle_event(const event_context& context, const load_report_event& event) {
    auto& targets = context.state->targets;
    if (targets.size() < k_max_load_reports || targets.count(event.from) > 0) {
        targets[event.from] = target_report{event.message, context.now};
    }
}

void handle_event(const event_context& context, const evidence_event& event) {
    add_evidence(context.state->evidence, event.from, event.message);
}

void handle_event(const event_context& context, const order_result_event& event) {
    record_order_result(context.state->repair, event.from, event.message, context.now);
    if (!event.message.ok) {
        write_log(*context.output, "order_failed",
                  event.from + " " + event.message.order_id + ": " + event.message.detail);
    }
}

void handle_event(const event_context& context, const vm_list_event& event) {
    std::map<node_id, bool> leaving;
    for (const auto& vm : event.vms) {
        if (vm.state == vm_state::leaving) {
            leaving[vm.name] = true;
        }
    }
    if (leaving != context.state->leaving_vms) {
        context.state->leaving_vms = std::move(leaving);
        context.state->is_changed = true;
    }
}

void handle_event(const event_context& context, const leave_event& /*event*/) {
    membership_output step;
    membership_set_self(context.state->membership, member_state::leaving, k_leave_fan_out, context.now,
                        context.state->random, step);
    apply_membership_output(*context.state, std::move(step), context.now, *context.output);
}

} // namespace

control_state make_control_state(control_options options, control_codecs codecs, time_point now) {
    control_state state;
    state.random.seed(options.random_seed);
    state.membership = make_membership(options.self, options.seeds, now);
    state.is_watcher = is_config_watcher({}, options.self);
    state.leadership.self = options.self.node;
    state.leadership.incarnation = options.self.incarnation;
    state.leadership.next_step = now;
    state.propagation.next_bootstrap = now;
    state.next_watch = now;
    state.options = std::move(options);
    state.codecs = std::move(codecs);
    return state;
}

void control_handle(control_state& state, control_event event, time_point now, wall_time /*wall*/,
                    control_output& output) {
    const event_context context{&state, now, &output};
    std::visit([&context](const auto& item) { handle_event(context, item); }, event);
}

void control_tick(control_state& state, time_point now, wall_time wall, control_output& output) {
    membership_output step;
    if (now >= membership_next(state.membership)) {
        membership_tick(state.membership, now, state.random, step);
    }
    apply_membership_output(state, std::move(step), now, output);
    start_config(state, now, output);
    watch_config(state, now, output);
    pull_config(state, now, output);
    restore_config(state, now, output);
    step_leadership(state, now, output);
    moves_tick(state, now, wall, output);
    publish_view(state, now, wall, output);
}

time_point control_next(const control_state& state, time_point now, wall_time wall) {
    return std::min({membership_next(state.membership), leadership_next(state.leadership, now),
                     moves_next(state, now, wall), next_config_step(state, now)});
}

void control_announce_departure(control_state& state, time_point now, control_output& output) {
    membership_output step;
    membership_set_self(state.membership, member_state::left, k_leave_fan_out, now, state.random, step);
    apply_membership_output(state, std::move(step), now, output);
}

io_lane lane_of(io_purpose purpose) {
    return k_lanes.at(static_cast<std::size_t>(purpose));
}

fleet_view make_view(const control_state& state, time_point now, wall_time wall) {
    fleet_view view;
    view.sequence = state.view_sequence;
    view.config = state.config;
    view.members = member_list(state.membership);
    for (auto& member : view.members) {
        // The platform's VM list covers members that could not announce that they leave.
        if (member.state == member_state::alive && state.leaving_vms.count(member.node) > 0) {
            member.state = member_state::leaving;
        }
    }
    view.moves = effective_moves(state, wall);
    const auto& vetoes = state.membership.facts.vetoes;
    for (const auto& move : view.moves) {
        if (std::find(vetoes.begin(), vetoes.end(), move.id) != vetoes.end()) {
            view.vetoed_moves.push_back(move.id);
        }
    }
    view.is_leader = is_leading(state.leadership, now);
    view.leader = state.membership.facts.leader.node;
    return view;
}

} // namespace lovage
