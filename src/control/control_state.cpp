#include "lovage/control/control_state.h"

#include "lovage/control/move_control.h"
#include "lovage/core/store_revision.h"

#include <algorithm>
#include <array>

namespace lovage {

namespace {

constexpr std::string_view k_config_key = "config/current";
// With 18 watchers this makes 9 calls a second. A process that shuts down waits for its pending watch.
constexpr milliseconds k_watch_timeout{2'000};
constexpr milliseconds k_watch_retry_interval{1'000};
// At start, a store that has not answered within this time is treated as unavailable.
constexpr milliseconds k_store_start_timeout{500};
// More members than for other announcements, because a leaving target must get no new work after 3 s.
constexpr std::size_t k_leave_fan_out = 8;
constexpr std::size_t k_max_load_reports = 20'000;

// The lane of each `io_purpose`, in the order of the enumerators.
constexpr std::array<io_lane, k_io_purpose_count> k_lanes{io_lane::store, io_lane::watch, io_lane::fetch,
                                                          io_lane::fetch, io_lane::store, io_lane::store,
                                                          io_lane::store, io_lane::store};
// The leader writes a configuration that the store has lost only after this time, in which it hears of a
// newer one that others have, and the operators may write theirs.
constexpr milliseconds k_config_restore_delay{3'000};
constexpr milliseconds k_config_restore_interval{1'000};

void write_log(control_output& output, std::string_view event, std::string detail) {
    output.logs.push_back({event, std::move(detail)});
}

void adopt_config(control_state& state, const config_copy& copy, control_output& output) {
    if (!may_adopt(state.propagation, copy.revision)) {
        return;
    }
    auto parsed = state.codecs.parse_config(copy.document);
    if (!parsed) {
        state.propagation.refused = copy.revision;
        write_log(output, "config_refused",
                  "revision " + std::to_string(copy.revision) + ": " + parsed.error().detail);
        output.counts.emplace_back("config_refused", 1.0);
        return;
    }
    parsed->revision = copy.revision;
    state.config = std::make_shared<const fleet_config>(std::move(*parsed));
    state.copy = std::make_shared<const config_copy>(copy);
    state.propagation.revision = copy.revision;
    state.propagation.phase = bootstrap_phase::ready;
    state.membership.facts.config_revision = copy.revision;
    state.is_changed = true;
    state.next_moves_tick_at = time_point{};
    write_log(output, "config_adopted", "revision " + std::to_string(copy.revision));
    announce_facts(state, output);
}

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

void start_config(control_state& state, time_point now, control_output& output) {
    auto& propagation = state.propagation;
    if (propagation.phase == bootstrap_phase::ask_store && propagation.store_asked &&
        now >= propagation.next_bootstrap + k_store_start_timeout) {
        propagation.phase = bootstrap_phase::ask_peers;
        propagation.next_bootstrap = now;
    }
    if (propagation.phase == bootstrap_phase::ready || now < propagation.next_bootstrap) {
        return;
    }
    if (!propagation.store_asked) {
        propagation.store_asked = true;
        propagation.next_bootstrap = now;
        io_request request;
        request.purpose = io_purpose::config_start;
        request.store.key = std::string(k_config_key);
        output.io.push_back(std::move(request));
    }
    if (propagation.phase != bootstrap_phase::ask_peers ||
        propagation.peers_answered < propagation.peers_asked) {
        return;
    }
    const auto peers =
        choose_bootstrap_peers(member_list(state.membership), state.membership.self, state.random);
    propagation.next_bootstrap = now + k_bootstrap_retry_interval;
    propagation.peers_asked = peers.size();
    propagation.peers_answered = 0;
    propagation.best = propagation.from_copy;
    if (peers.empty() && propagation.best && now >= propagation.copy_usable_at) {
        adopt_config(state, *propagation.best, output);
    }
    for (const auto& peer : peers) {
        io_request request;
        request.purpose = io_purpose::start_peer;
        request.http_address = peer.http_address;
        output.io.push_back(std::move(request));
    }
}

void watch_config(control_state& state, time_point now, control_output& output) {
    if (state.is_watching || now < state.next_watch || state.propagation.phase != bootstrap_phase::ready ||
        !state.is_watcher) {
        return;
    }
    state.is_watching = true;
    state.watch_started = now;
    io_request request;
    request.purpose = io_purpose::config_watch;
    request.store.operation = store_operation::watch;
    request.store.key = std::string(k_config_key);
    request.store.revision =
        std::max({state.propagation.revision, state.propagation.refused, state.stored.revision});
    request.store.duration = k_watch_timeout;
    output.io.push_back(std::move(request));
}

void pull_config(control_state& state, time_point now, control_output& output) {
    if (state.propagation.phase != bootstrap_phase::ready) {
        // A starting process compares the copies of several peers instead, so that one stale zone cannot
        // determine its configuration.
        return;
    }
    if (const auto source = next_pull(state.propagation, now)) {
        io_request request;
        request.purpose = io_purpose::config_pull;
        request.http_address = source->http_address;
        output.io.push_back(std::move(request));
    }
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

// Returns the configuration of the store with the revision that it had in the history in which it was
// written, so that a restored store does not bring an old one back.
config_copy copy_of(const control_state& state, const store_value& value) {
    const auto shown = era_of(value.revision);
    const auto written = state.codecs.config_era ? state.codecs.config_era(value.value) : shown;
    return {make_revision(std::min(written, shown), number_of(value.revision)), value.value};
}

// Records what the store showed in answer to a call. `value` is empty if it has no configuration.
config_copy record_stored(control_state& state, const store_reply& reply, time_point now,
                          control_output& output) {
    const store_value value = reply.value.value_or(store_value{});
    auto copy = copy_of(state, value);
    auto& stored = state.stored;
    stored.revision = value.revision;
    stored.written = copy.revision;
    stored.era = std::max(reply.era, era_of(value.revision));
    const auto active = state.propagation.revision;
    if (active == 0 || copy.revision >= active || stored.era <= era_of(active)) {
        stored.lacks_active_since.reset();
    } else if (!stored.lacks_active_since) {
        stored.lacks_active_since = now;
        write_log(output, "config_lost_by_store",
                  "active " + std::to_string(active) + ", stored " + std::to_string(copy.revision) +
                      ", store_era " + std::to_string(stored.era));
    }
    return copy;
}

void restore_config(control_state& state, time_point now, control_output& output) {
    const auto& since = state.stored.lacks_active_since;
    if (!since || state.is_restoring || !is_leading(state.leadership, now) || state.propagation.source ||
        now < std::max(*since + k_config_restore_delay, state.next_restore)) {
        return;
    }
    const auto document = state.codecs.restate_config(state.copy->document, state.stored.era);
    if (!document) {
        state.next_restore = now + k_config_restore_interval;
        write_log(output, "config_not_restored", document.error().detail);
        return;
    }
    state.is_restoring = true;
    io_request request;
    request.purpose = io_purpose::config_restore;
    request.store.operation = store_operation::compare_and_swap;
    request.store.key = std::string(k_config_key);
    request.store.value = *document;
    request.store.revision = state.stored.revision;
    output.io.push_back(std::move(request));
}

void apply_config_restore(control_state& state, const io_event& event, time_point now,
                          control_output& output) {
    state.is_restoring = false;
    state.next_restore = now + k_config_restore_interval;
    if (event.store.failure) {
        // The watch shows what the store has.
        return;
    }
    store_reply written;
    written.value = store_value{event.request.store.value, event.store.number};
    written.era = event.store.era;
    adopt_config(state, copy_of(state, *written.value), output);
    record_stored(state, written, now, output);
}

void apply_config_start(control_state& state, const io_event& event, time_point now, control_output& output) {
    auto& propagation = state.propagation;
    if (!event.store.value) {
        record_store_reply(propagation, !event.store.failure, now);
        return;
    }
    const auto copy = record_stored(state, event.store, now, output);
    const bool is_from_copy = era_of(copy.revision) < state.stored.era;
    record_store_reply(propagation, !is_from_copy, now);
    if (!is_from_copy) {
        adopt_config(state, copy, output);
    } else if (!propagation.from_copy) {
        propagation.from_copy = copy;
        propagation.copy_usable_at = now + k_copy_wait;
    }
}

void apply_config_watch(control_state& state, const io_event& event, time_point now, control_output& output) {
    state.is_watching = false;
    // The store answers a watch of a missing key immediately; without a pause the calls would never stop.
    const bool has_config = event.store.value && event.store.value->revision > 0;
    const bool is_early_reply = !has_config && now < state.watch_started + k_watch_timeout / 2;
    state.next_watch = event.store.failure || is_early_reply ? now + k_watch_retry_interval : now;
    if (event.store.value) {
        adopt_config(state, record_stored(state, event.store, now, output), output);
    }
}

void apply_start_peer(control_state& state, const io_event& event, time_point now, control_output& output) {
    record_peer_reply(state.propagation, event.copy, now);
    if (state.propagation.phase == bootstrap_phase::ask_peers && is_bootstrap_complete(state.propagation) &&
        state.propagation.best) {
        adopt_config(state, *state.propagation.best, output);
    }
}

void apply_config_pull(control_state& state, const io_event& event, time_point now, control_output& output) {
    record_pull_end(state.propagation, now);
    if (event.copy) {
        adopt_config(state, *event.copy, output);
    }
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
    time_point next = std::min({membership_next(state.membership), leadership_next(state.leadership, now),
                                moves_next(state, now, wall)});
    const auto& propagation = state.propagation;
    const bool waits_for_peers = propagation.peers_answered < propagation.peers_asked;
    if (propagation.phase == bootstrap_phase::ask_store) {
        next = std::min(next, propagation.next_bootstrap +
                                  (propagation.store_asked ? k_store_start_timeout : milliseconds{0}));
    } else if (propagation.phase == bootstrap_phase::ask_peers && !waits_for_peers) {
        next = std::min(next, propagation.next_bootstrap);
    } else if (propagation.phase == bootstrap_phase::ready && propagation.source && !propagation.is_pulling &&
               may_adopt(propagation, propagation.source->revision)) {
        next = std::min(next, propagation.next_pull);
    }
    if (state.stored.lacks_active_since && !state.is_restoring && !propagation.source &&
        is_leading(state.leadership, now)) {
        next = std::min(
            next, std::max(*state.stored.lacks_active_since + k_config_restore_delay, state.next_restore));
    }
    return next;
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
