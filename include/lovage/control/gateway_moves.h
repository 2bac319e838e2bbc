#pragma once

#include "lovage/core/evidence.h"
#include "lovage/core/log_level.h"
#include "lovage/core/result.h"
#include "lovage/core/rollout.h"
#include "lovage/core/rollout_order.h"
#include "lovage/core/time.h"
#include "lovage/core/version_move.h"
#include "lovage/core/version_split.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovage {

/// With more processes silent at once the rest write at the same time; one of them succeeds.
inline constexpr std::size_t k_most_turns = 5;

/// What the processes that are heard have seen of the versions since their start, this one included.
struct move_evidence {
    std::vector<std::pair<node_id, evidence_message>> reports;
    /// Moves in which some process found a defect.
    std::vector<std::string> vetoes;
    /// Number of processes that write before this one.
    std::size_t turn = 0;
    /// Mean time that a whole request takes, by service.
    std::map<std::string, milliseconds> request_times;
};

/// A record of a move that is to be written if the record in the store has `expected` as its revision.
struct move_write {
    std::string service;
    move_record record;
    std::uint64_t expected = 0;
};

/// The end of a write. After `store_unavailable` it may have taken effect, or may do so later.
struct move_written {
    std::string service;
    result<std::uint64_t> revision = 0;
};

/// The move of one service as this process sees it.
struct gateway_move {
    rollout_order order;
    time_point seen{};
    time_point deadline{};
    std::optional<move_record> record;
    std::uint64_t revision = 0;
    move_judge judge;
    bool is_vetoed = false;
    std::string veto_reason;
    std::vector<std::string> ready_targets;
    /// When the next record became due, and the earliest time of the next write.
    std::optional<time_point> due_since;
    time_point next_write{};
    bool is_writing = false;
    /// When this process first knew that the move is over.
    std::optional<time_point> over_since;
};

/// Moves of services to other versions. There is no leader: every process judges what it hears and may write
/// the next record, which takes effect only if the record is still the one that the process knows. Processes
/// write in turns, so that usually one does.
struct gateway_moves {
    move_limits limits;
    std::map<std::string, gateway_move> open;
    /// Records of the store by service, with their revisions; also those whose order is not known yet.
    std::map<std::string, std::pair<move_record, std::uint64_t>> records;
    evidence_table evidence;
    std::map<std::string, milliseconds> request_times;
    std::size_t judges = 1;
    /// Until this process has heard of others, they write first.
    std::size_t turn = k_most_turns;
};

/// What the moves ask for after an event.
struct moves_output {
    std::vector<move_write> writes;
    std::vector<std::pair<std::string_view, std::vector<log_field>>> logs;
};

/// Takes an order, or its removal.
void take_order(gateway_moves& moves, const rollout_order& order, time_point now);
void drop_order(gateway_moves& moves, const std::string& service);

/// Takes a record of the store.
void take_move_record(gateway_moves& moves, const move_record& record, std::uint64_t revision);

void take_evidence(gateway_moves& moves, const move_evidence& evidence);
void take_written(gateway_moves& moves, const move_written& written, time_point now);

/// Sets the ids of the ready targets of a service's new version.
void set_ready_targets(gateway_moves& moves, const std::string& service, std::vector<std::string> targets);

/// Judges and plans; called after events and at the times that it returns.
time_point run_moves(gateway_moves& moves, time_point now, wall_time wall, moves_output& output);

/// How requests are divided now, by service.
std::map<std::string, version_split> make_splits(const gateway_moves& moves, time_point now, wall_time wall);

} // namespace lovage
