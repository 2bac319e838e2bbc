#include "lovage/control/gateway_moves.h"

#include "lovage/core/store_revision.h"

#include <algorithm>

namespace lovage {

namespace {

// How long a process waits for each process with a lower write rank; a write takes some tens of milliseconds.
constexpr milliseconds k_write_stagger{400};
// Pause after each write. After one with an unknown outcome, or one that found another record, the store's
// watch delivers the current record meanwhile.
constexpr milliseconds k_write_pause{500};
// Interval of evaluating and planning while a move is in progress.
constexpr milliseconds k_planning_interval{250};
constexpr milliseconds k_idle_interval{60'000};
// Time until the targets of the replaced version have stopped and their registrations are removed.
constexpr milliseconds k_settle_time{10'000};

milliseconds time_left(const gateway_move& move, time_point now, wall_time wall) {
    auto left = std::chrono::duration_cast<milliseconds>(move.deadline - now);
    if (move.record) {
        // A process that restarted during the move saw the order late. The record has the deadline of the
        // process that accepted the order.
        left = std::min(left, std::chrono::duration_cast<milliseconds>(move.record->deadline - wall));
    }
    return left;
}

move_config move_config_of(const gateway_move& move) {
    move_config config;
    config.id = move_id(move.order);
    config.model = move.order.service;
    config.to = move.order.version;
    return config;
}

void evaluate_move(gateway_moves& moves, gateway_move& move, time_point now, moves_output& output) {
    const auto config = move_config_of(move);
    const auto found =
        evaluate_round(move.evaluation, moves.evidence, config, moves.evaluator_count, k_gateway_pace, now);
    if (found && !std::exchange(move.is_vetoed, true)) {
        move.veto_reason = found->text;
        output.logs.push_back({"move_vetoed",
                               {{"move", config.id},
                                {"version", config.to},
                                {"detail", found->text},
                                {"heard", std::to_string(moves.evaluator_count)}}});
    }
}

double request_rate(const gateway_moves& moves, const gateway_move& move, time_point now) {
    std::uint64_t requests = 0;
    for (const auto& [key, counts] : moves.evidence.totals) {
        requests += key.model == move.order.service ? counts.requests : 0;
    }
    const auto seconds = std::chrono::duration<double>(now - move.seen).count();
    return static_cast<double>(requests) / std::max(seconds, 1.0);
}

version_move_input planning_input(const gateway_moves& moves, const gateway_move& move, time_point now,
                                  wall_time wall) {
    version_move_input input;
    input.order = &move.order;
    input.limits = moves.limits;
    input.record = move.record;
    input.time_left = time_left(move, now, wall);
    const auto total_time = std::chrono::duration_cast<milliseconds>(move.deadline - move.seen);
    input.elapsed = total_time - input.time_left;
    input.targets = static_cast<std::uint32_t>(move.ready_targets.size());
    input.evaluated_requests = requests_in_total(move.evaluation, moves.evidence, move_config_of(move));
    input.requests_per_s = request_rate(moves, move, now);
    const auto request_time = moves.request_times.find(move.order.service);
    input.request_time = request_time != moves.request_times.end() ? request_time->second : milliseconds(0);
    input.defect_score = move.evaluation.defect_score;
    input.has_excess_defects = has_excess_defects(moves.evidence, move.order.service, move.order.version);
    input.is_vetoed = move.is_vetoed;
    input.veto_reason = move.veto_reason.empty() ? "another process found a defect" : move.veto_reason;
    input.wall = wall;
    return input;
}

bool is_of_order(const move_record& record, const rollout_order& order) {
    return record.id == move_id(order) && record.to == order.version;
}

// Whether a restored store lacks the record of the move, or holds it in an older state.
bool is_record_lost(const gateway_moves& moves, const gateway_move& move) {
    if (!move.record || !moves.are_records_read || move.removal_deadline) {
        return false;
    }
    const auto stored = moves.records.find(move.order.service);
    return stored == moves.records.end() || stored->second.second == 0 ||
           !is_of_order(stored->second.first, move.order) ||
           stored->second.first.sequence < move.record->sequence;
}

// Whether `order` is the operators' order `known`, written again after the store has lost it.
bool is_written_again(const rollout_order& known, const rollout_order& order) {
    return known.revision != 0 && era_of(known.revision) < era_of(order.revision) &&
           known.version == order.version && known.duration_s == order.duration_s;
}

// Whether `order` is from before `known`: a restored store has brought it back.
bool is_earlier_order(const rollout_order& known, const rollout_order& order) {
    return known.revision != 0 && era_of(known.revision) < era_of(order.revision) &&
           number_of(order.revision) < number_of(known.revision);
}

void plan(const gateway_moves& moves, gateway_move& move, time_point now, wall_time wall,
          moves_output& output) {
    auto record = plan_version_move(planning_input(moves, move, now, wall));
    if (!record && is_record_lost(moves, move)) {
        record = move.record;
    }
    if (!record) {
        move.due_since.reset();
        return;
    }
    move.due_since = move.due_since.value_or(now);
    const auto write_rank = static_cast<std::int64_t>(std::min(moves.write_rank, k_max_write_rank));
    if (move.is_writing || now < *move.due_since + k_write_stagger * write_rank || now < move.next_write) {
        return;
    }
    record->sequence = move.record ? move.record->sequence + 1 : 1;
    move.is_writing = true;
    output.logs.push_back({"move_step",
                           {{"move", record->id},
                            {"version", record->to},
                            {"phase", std::string(name_of(k_move_phase_names, record->phase))},
                            {"share", std::to_string(record->share)},
                            {"targets", std::to_string(move.ready_targets.size())},
                            {"revision", std::to_string(move.revision)},
                            {"detail", record->reason}}});
    output.writes.push_back({move.order.service, std::move(*record), move.revision});
}

bool is_finished(const gateway_move& move) {
    return move.record && is_final(move.record->phase);
}

// Whether a landed move no longer restricts which targets take requests. All targets of the service may take
// them then, so that a later replacement of targets needs no order.
bool is_settled(const gateway_move& move, time_point now) {
    return move.record && move.record->phase == move_phase::landed && move.over_since &&
           now - *move.over_since >= k_settle_time;
}

void adopt_record(gateway_moves& moves, gateway_move& move) {
    const auto found = moves.records.find(move.order.service);
    if (found == moves.records.end()) {
        return;
    }
    const auto& [record, revision] = found->second;
    move.revision = revision;
    // A restored store may hold an earlier state of the move.
    if (is_of_order(record, move.order) && (!move.record || record.sequence >= move.record->sequence)) {
        move.record = record;
    }
}

} // namespace

void apply_rollout_order(gateway_moves& moves, const rollout_order& order, time_point now) {
    auto& move = moves.open[order.service];
    if (is_earlier_order(move.order, order) && !is_written_again(move.order, order)) {
        move.earlier_order = order;
        keep_lost_order(moves, order.service, now);
        return;
    }
    move.removal_deadline.reset();
    move.earlier_order.reset();
    if (move.order.revision == order.revision) {
        return;
    }
    if (is_written_again(move.order, order)) {
        move.order = order;
        if (move.record) {
            move.record->id = move_id(order);
        }
        adopt_record(moves, move);
        return;
    }
    // Evidence from an earlier move does not apply to this one.
    auto& totals = moves.evidence.totals;
    for (auto counts = totals.begin(); counts != totals.end();) {
        counts = counts->first.model == order.service ? totals.erase(counts) : std::next(counts);
    }
    move = {};
    move.order = order;
    move.seen = now;
    move.deadline = now + milliseconds(static_cast<std::int64_t>(order.duration_s * 1'000.0));
    adopt_record(moves, move);
}

void remove_rollout_order(gateway_moves& moves, const std::string& service) {
    moves.open.erase(service);
}

void begin_moves_era(gateway_moves& moves) {
    moves.are_records_read = false;
    for (auto& [service, stored] : moves.records) {
        stored.second = 0;
    }
    for (auto& [service, move] : moves.open) {
        move.revision = 0;
    }
}

void keep_lost_order(gateway_moves& moves, const std::string& service, time_point now) {
    const auto found = moves.open.find(service);
    if (found != moves.open.end() && !found->second.removal_deadline) {
        found->second.removal_deadline = now + k_lost_order_timeout;
    }
}

std::optional<time_point> expire_orders(gateway_moves& moves, time_point now) {
    std::optional<time_point> next;
    std::vector<rollout_order> earlier;
    for (auto move = moves.open.begin(); move != moves.open.end();) {
        const auto deadline = move->second.removal_deadline;
        if (deadline && *deadline <= now) {
            if (move->second.earlier_order) {
                earlier.push_back(*move->second.earlier_order);
            }
            move = moves.open.erase(move);
            continue;
        }
        if (deadline) {
            next = std::min(next.value_or(*deadline), *deadline);
        }
        ++move;
    }
    for (const auto& order : earlier) {
        apply_rollout_order(moves, order, now);
    }
    return next;
}

void apply_move_record(gateway_moves& moves, const move_record& record, std::uint64_t revision) {
    auto& known = moves.records[record.model];
    if (revision < known.second) {
        return;
    }
    known = {record, revision};
    const auto found = moves.open.find(record.model);
    if (found != moves.open.end()) {
        adopt_record(moves, found->second);
    }
}

void merge_evidence(gateway_moves& moves, const move_evidence& evidence) {
    for (const auto& [node, report] : evidence.reports) {
        add_evidence(moves.evidence, node, report);
    }
    moves.evaluator_count = std::max<std::size_t>(evidence.reports.size(), 1);
    moves.write_rank = evidence.write_rank;
    moves.request_times = evidence.request_times;
    for (auto& [service, move] : moves.open) {
        const auto& vetoes = evidence.vetoes;
        const bool is_vetoed = std::find(vetoes.begin(), vetoes.end(), move_id(move.order)) != vetoes.end();
        move.is_vetoed = move.is_vetoed || is_vetoed;
    }
}

void apply_write_result(gateway_moves& moves, const move_write_result& written, time_point now) {
    const auto found = moves.open.find(written.service);
    if (found == moves.open.end()) {
        return;
    }
    found->second.is_writing = false;
    // The store's watch delivers the record, whichever process wrote it.
    found->second.next_write = now + k_write_pause;
}

void set_ready_targets(gateway_moves& moves, const std::string& service, std::vector<std::string> targets) {
    const auto found = moves.open.find(service);
    if (found != moves.open.end()) {
        found->second.ready_targets = std::move(targets);
    }
}

time_point run_moves(gateway_moves& moves, time_point now, wall_time wall, moves_output& output) {
    time_point next = now + k_idle_interval;
    for (auto& [service, move] : moves.open) {
        if (is_finished(move)) {
            move.over_since = move.over_since.value_or(now);
            const auto settled = *move.over_since + k_settle_time;
            next = settled > now ? std::min(next, settled) : next;
            if (!is_record_lost(moves, move)) {
                continue;
            }
        } else {
            evaluate_move(moves, move, now, output);
        }
        next = std::min(next, now + k_planning_interval);
        plan(moves, move, now, wall, output);
    }
    return next;
}

std::map<std::string, version_split> make_splits(const gateway_moves& moves, time_point now, wall_time wall) {
    std::map<std::string, version_split> splits;
    for (const auto& [service, move] : moves.open) {
        if (is_settled(move, now)) {
            continue;
        }
        version_split split;
        split.move = move_id(move.order);
        split.version = move.order.version;
        split.share = effective_share(move.record, move.is_vetoed, time_left(move, now, wall));
        split.is_vetoed = move.is_vetoed;
        split.is_evaluated = !is_finished(move);
        const auto count = count_canaries(split.share, static_cast<std::uint32_t>(move.ready_targets.size()));
        if (split.share > 0.0 && split.share < 1.0) {
            split.canaries.insert(move.ready_targets.begin(), move.ready_targets.begin() + count);
        }
        splits.emplace(service, std::move(split));
    }
    return splits;
}

} // namespace lovage
