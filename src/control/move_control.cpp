#include "lovage/control/move_control.h"

#include <algorithm>
#include <tuple>

namespace lovage {

namespace {

constexpr std::string_view k_move_prefix = "moves/";
constexpr milliseconds k_move_retry_interval{500};
// A new leader knows no targets until their load reports have arrived; orders issued before would load
// versions that are already loaded.
constexpr milliseconds k_repair_grace{3'000};

bool contains(const std::vector<std::string>& list, const std::string& text) {
    return std::find(list.begin(), list.end(), text) != list.end();
}

std::optional<move_record> known_record(const control_state& state, const std::string& id) {
    const auto& records = state.membership.facts.moves;
    const auto found = std::find_if(records.begin(), records.end(),
                                    [&id](const move_record& record) { return record.id == id; });
    return found == records.end() ? std::nullopt : std::optional<move_record>(*found);
}

bool is_vetoed(const control_state& state, const std::string& id) {
    return contains(state.membership.facts.vetoes, id);
}

// The last move of each model in the configuration text.
std::vector<move_config> current_moves(const fleet_config& config) {
    std::vector<move_config> moves;
    for (const auto& move : config.moves) {
        moves.erase(std::remove_if(moves.begin(), moves.end(),
                                   [&move](const move_config& other) { return other.model == move.model; }),
                    moves.end());
        moves.push_back(move);
    }
    return moves;
}

bool is_live(const control_state& state, const node_id& agent, const target_report& target, time_point now) {
    const auto member = state.membership.members.find(agent);
    return now - target.received < k_max_load_report_age && member != state.membership.members.end() &&
           (member->second.info.state == member_state::alive ||
            member->second.info.state == member_state::suspect);
}

std::vector<repair_target> live_targets(const control_state& state, time_point now) {
    std::vector<repair_target> targets;
    for (const auto& [agent, target] : state.targets) {
        if (is_live(state, agent, target, now) && state.leaving_vms.count(agent) == 0) {
            targets.push_back({agent, target.report});
        }
    }
    return targets;
}

move_capacity capacity_of(const control_state& state, const move_config& move,
                          const std::vector<repair_target>& targets) {
    move_capacity capacity;
    for (const auto& model : state.config->models) {
        if (model.name == move.model) {
            capacity.wanted = model.replicas;
        }
    }
    capacity.loaded_from = count_loaded(targets, move.model, move.from);
    capacity.loaded_to = count_loaded(targets, move.model, move.to);
    return capacity;
}

void veto_move(control_state& state, move_run& run, const defect& found, control_output& output) {
    run.veto_reason = found.text;
    if (!merge_veto(state.membership.facts, run.move.id)) {
        return;
    }
    state.is_changed = true;
    output.logs.push_back({"move_vetoed", run.move.id + ": " + found.text});
    output.counts.emplace_back("moves_vetoed", 1.0);
    announce_facts(state, output);
}

// Creates runs for the moves of the configuration, and for those that operators removed before they were
// final; removes runs that are no longer needed.
void update_runs(control_state& state) {
    const auto moves = current_moves(*state.config);
    for (const auto& move : moves) {
        state.runs[move.id].move = move;
    }
    const auto is_current = [&moves](const std::string& id) {
        return std::any_of(moves.begin(), moves.end(),
                           [&id](const move_config& move) { return move.id == id; });
    };
    const auto has_current_model = [&moves](const std::string& model) {
        return std::any_of(moves.begin(), moves.end(),
                           [&model](const move_config& move) { return move.model == model; });
    };
    for (const auto& record : state.membership.facts.moves) {
        if (!is_final(record.phase) && !is_current(record.id) && !has_current_model(record.model)) {
            move_config& cancelled = state.runs[record.id].move;
            cancelled.id = record.id;
            cancelled.model = record.model;
            cancelled.from = record.from;
            cancelled.to = record.to;
            cancelled.deadline = record.deadline;
        }
    }
    for (auto run = state.runs.begin(); run != state.runs.end();) {
        const auto record = known_record(state, run->first);
        const bool is_finished = !record || is_final(record->phase) || has_current_model(record->model);
        const bool is_unused = !is_current(run->first) && is_finished && !run->second.has_pending_call;
        run = is_unused ? state.runs.erase(run) : std::next(run);
    }
}

// Whether operators have removed the move from the configuration.
bool is_cancelled(const control_state& state, const std::string& id) {
    const auto& moves = state.config->moves;
    return std::none_of(moves.begin(), moves.end(), [&id](const move_config& move) { return move.id == id; });
}

void evaluate_moves(control_state& state, const std::vector<repair_target>& targets, time_point now,
                    wall_time wall, control_output& output) {
    // The leader receives all evidence and evaluates it alone. Other entries evaluate only their own
    // requests, which works without a leader; their threshold takes into account how many of them do so.
    const bool has_all_evidence = state.membership.facts.leader.node == state.membership.self.node;
    const auto entries =
        std::count_if(state.membership.members.begin(), state.membership.members.end(),
                      [](const auto& item) { return item.second.info.role == node_role::entry; });
    const std::size_t evaluator_count = has_all_evidence ? 1 : static_cast<std::size_t>(entries) + 1;
    for (auto& [id, run] : state.runs) {
        if (is_vetoed(state, id) || is_cancelled(state, id)) {
            continue;
        }
        const auto effective = effective_move(run.move, known_record(state, id), false, wall);
        const bool is_finished = effective.phase == move_phase::reverted ||
                                 (effective.phase == move_phase::landed &&
                                  count_loaded(targets, run.move.model, run.move.from) == 0);
        if (is_finished) {
            continue;
        }
        if (const auto found = evaluate_round(run.evaluation, state.evidence, run.move, evaluator_count,
                                              k_entry_pace, now)) {
            veto_move(state, run, *found, output);
        }
    }
}

io_request make_move_request(const move_run& run, io_purpose purpose) {
    io_request request;
    request.purpose = purpose;
    request.move = run.move.id;
    request.store.key = std::string(k_move_prefix) + run.move.model;
    return request;
}

void read_move(move_run& run, control_output& output) {
    run.has_pending_call = true;
    output.io.push_back(make_move_request(run, io_purpose::move_read));
}

void write_move(control_state& state, move_run& run, move_record record, control_output& output) {
    record.fencing = state.planned_term;
    record.sequence = run.record ? run.record->sequence + 1 : 1;
    run.has_pending_call = true;
    io_request request = make_move_request(run, io_purpose::move_write);
    request.store.operation = store_operation::compare_and_swap;
    request.store.value = state.codecs.encode_move(record);
    request.store.revision = run.revision;
    output.io.push_back(std::move(request));
}

// Adopts a record that the store is known to contain.
void adopt_record(control_state& state, move_run& run, const move_record& record, std::uint64_t revision,
                  control_output& output) {
    const bool is_new_step =
        !run.record || run.record->phase != record.phase || run.record->share != record.share;
    run.is_read = true;
    run.is_lost = false;
    run.revision = revision;
    run.record = record;
    if (is_new_step) {
        run.plan.has_step = false;
        run.evaluation.counts_at_step_start = run.evaluation.counts_at_start;
        run.evaluation.counts_at_step_start.requests +=
            requests_in_total(run.evaluation, state.evidence, run.move);
    }
    if (merge_move(state.membership.facts, record)) {
        state.is_changed = true;
        output.logs.push_back({"move", record.id + " " +
                                           std::string(name_of(k_move_phase_names, record.phase)) + " " +
                                           std::to_string(record.share) + ": " + record.reason});
        announce_facts(state, output);
    }
}

void plan_move_step(control_state& state, move_run& run, const std::vector<repair_target>& targets,
                    time_point now, wall_time wall, control_output& output) {
    if (run.has_pending_call || now < run.retry_not_before) {
        return;
    }
    if (!run.is_read) {
        read_move(run, output);
        return;
    }
    if (run.is_lost) {
        write_move(state, run, *run.record, output);
        return;
    }
    rollout_input input;
    input.move = &run.move;
    input.record = run.record;
    input.capacity = capacity_of(state, run.move, targets);
    input.step_requests = requests_in_step(run.evaluation, state.evidence, run.move);
    input.total_requests = requests_in_total(run.evaluation, state.evidence, run.move);
    input.defect_score = run.evaluation.defect_score;
    const bool cancelled = is_cancelled(state, run.move.id);
    input.is_vetoed = cancelled || is_vetoed(state, run.move.id);
    input.veto_reason = cancelled                 ? "cancelled by the operators"
                        : run.veto_reason.empty() ? "vetoed by an entry"
                                                  : run.veto_reason;
    input.now = now;
    input.wall = wall;
    if (auto record = plan_move(run.plan, input)) {
        write_move(state, run, std::move(*record), output);
    }
}

// Leaders tell of a record only after the store has it. If the store's record is older than the one that this
// process knows, it was restored from a copy.
void recover_record(control_state& state, move_run& run, control_output& output) {
    const auto known = known_record(state, run.move.id);
    const auto order = [](const move_record& record) { return std::tie(record.fencing, record.sequence); };
    if (!known || (run.record && order(*known) <= order(*run.record))) {
        return;
    }
    run.record = known;
    run.is_lost = true;
    output.logs.push_back({"move_lost_by_store", known->id + " " +
                                                     std::string(name_of(k_move_phase_names, known->phase)) +
                                                     " " + std::to_string(known->share)});
}

void start_term(control_state& state, time_point now) {
    if (state.planned_term == state.leadership.term) {
        return;
    }
    state.planned_term = state.leadership.term;
    state.term_since = now;
    state.repair = {};
    for (auto& [id, run] : state.runs) {
        run.is_read = false;
        run.plan = {};
    }
}

// Returns the run that a reply belongs to, which may call the store again and is planned at once; null if it
// has ended.
move_run* take_reply(control_state& state, const io_event& event, time_point now) {
    const auto found = state.runs.find(event.request.move);
    if (found == state.runs.end()) {
        return nullptr;
    }
    found->second.has_pending_call = false;
    state.next_moves_tick_at = now;
    return &found->second;
}

void update_published_moves(control_state& state, wall_time wall) {
    auto current = effective_moves(state, wall);
    const auto is_same = [](const move_record& a, const move_record& b) {
        return a.id == b.id && a.phase == b.phase && a.share == b.share && a.sequence == b.sequence &&
               a.deadline == b.deadline && a.fencing == b.fencing;
    };
    if (!std::equal(current.begin(), current.end(), state.published_moves.begin(),
                    state.published_moves.end(), is_same)) {
        state.published_moves = std::move(current);
        state.is_changed = true;
    }
}

} // namespace

std::vector<move_record> effective_moves(const control_state& state, wall_time wall) {
    std::vector<move_record> moves;
    if (state.config == nullptr) {
        return moves;
    }
    for (const auto& move : current_moves(*state.config)) {
        moves.push_back(effective_move(move, known_record(state, move.id), is_vetoed(state, move.id), wall));
    }
    return moves;
}

void moves_tick(control_state& state, time_point now, wall_time wall, control_output& output) {
    if (now < moves_next(state, now, wall)) {
        return;
    }
    state.next_moves_tick_at = now + k_entry_pace.round_interval;
    update_published_moves(state, wall);
    if (state.config == nullptr || state.membership.self.role != node_role::entry) {
        return;
    }
    update_runs(state);
    const auto targets = live_targets(state, now);
    evaluate_moves(state, targets, now, wall, output);
    if (is_leading(state.leadership, now)) {
        start_term(state, now);
        for (auto& [id, run] : state.runs) {
            plan_move_step(state, run, targets, now, wall, output);
        }
        if (now - state.term_since >= k_repair_grace) {
            auto orders = plan_orders(state.repair, *state.config, effective_moves(state, wall), targets,
                                      state.planned_term, now);
            std::move(orders.begin(), orders.end(), std::back_inserter(output.orders));
        }
    }
    update_published_moves(state, wall);
}

void apply_move_read_reply(control_state& state, const io_event& event, time_point now,
                           control_output& output) {
    move_run* run = take_reply(state, event, now);
    if (run == nullptr) {
        return;
    }
    if (event.store.failure) {
        run->retry_not_before = now + k_move_retry_interval;
        return;
    }
    run->is_read = true;
    run->is_lost = false;
    run->revision = event.store.value ? event.store.value->revision : 0;
    run->record.reset();
    if (!event.store.value) {
        recover_record(state, *run, output);
        return;
    }
    const auto record = state.codecs.decode_move(event.store.value->value);
    if (!record) {
        // A record that cannot be decoded is overwritten by the next one.
        output.logs.push_back({"move_record_malformed", run->move.model + ": " + record.error().detail});
    } else if (record->id == run->move.id) {
        adopt_record(state, *run, *record, event.store.value->revision, output);
    }
    recover_record(state, *run, output);
}

void apply_move_write_reply(control_state& state, const io_event& event, time_point now,
                            control_output& output) {
    move_run* run = take_reply(state, event, now);
    if (run == nullptr) {
        return;
    }
    if (event.store.failure) {
        // The write may have taken effect, or another leader may have written; read the record to find out.
        run->is_read = false;
        run->retry_not_before = now + k_move_retry_interval;
        return;
    }
    if (const auto record = state.codecs.decode_move(event.request.store.value)) {
        adopt_record(state, *run, *record, event.store.number, output);
    }
}

time_point moves_next(const control_state& state, time_point now, wall_time wall) {
    time_point next = state.next_moves_tick_at;
    for (const auto& record : state.published_moves) {
        if (!is_final(record.phase)) {
            next = std::min(next, now + (record.deadline - wall));
        }
    }
    return next;
}

void announce_facts(control_state& state, control_output& output) {
    membership_output sent;
    membership_announce(state.membership, k_announce_fan_out, state.random, sent);
    std::move(sent.send.begin(), sent.send.end(), std::back_inserter(output.datagrams));
}

} // namespace lovage
