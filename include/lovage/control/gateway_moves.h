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

/// Upper bound of the write rank. If more processes than this have failed at once, the remaining ones write
/// at the same time and the compare-and-swap lets one of them succeed.
inline constexpr std::size_t k_max_write_rank = 5;

/// Evidence about versions from all live gateway processes, this one included, counted since each process
/// started.
struct move_evidence {
    std::vector<std::pair<node_id, evidence_message>> reports;
    /// Ids of moves in which some process found a defect.
    std::vector<std::string> vetoes;
    /// Rank of this process among the writers: the number of live processes that write before it.
    std::size_t write_rank = 0;
    /// Mean duration of a request from start to end, by service.
    std::map<std::string, milliseconds> request_times;
};

/// A pending compare-and-swap of a move's record: it is written only if the stored record has the revision
/// `expected` (0: absent).
struct move_write {
    std::string service;
    move_record record;
    std::uint64_t expected = 0;
};

/// The result of a write: the new revision, or an error. After `store_unavailable` the write may have taken
/// effect, or may still do so later.
struct move_write_result {
    std::string service;
    result<std::uint64_t> revision = 0;
};

/// How long an order that a restored store lacks is kept; the operators write it again after its return.
inline constexpr milliseconds k_lost_order_timeout{2'200};

/// The state of one service's move as this process knows it.
struct gateway_move {
    rollout_order order;
    /// When this process first saw the order, and when the order's time is over.
    time_point seen{};
    time_point deadline{};
    /// The record in the store, if it belongs to this order, and the revision of the stored record.
    std::optional<move_record> record;
    std::uint64_t revision = 0;
    move_evaluation evaluation;
    bool is_vetoed = false;
    std::string veto_reason;
    /// Ids of the ready targets of the new version.
    std::vector<std::string> ready_targets;
    /// When a new record became due; nothing if none is due.
    std::optional<time_point> due_since;
    /// Earliest time of the next write.
    time_point next_write{};
    /// Whether a write is in progress.
    bool is_writing = false;
    /// When this process learned that the move had completed or was rolled back.
    std::optional<time_point> over_since;
    /// Set if a restored store lacks the order: it is dropped at this time unless it is written again.
    std::optional<time_point> removal_deadline;
    /// An earlier order that a restored store holds; it replaces the lost one at that time.
    std::optional<rollout_order> earlier_order;
};

/// All moves of services. A move is the rollout of another version of a service's targets, which operators
/// order.
///
/// There is no leader: every process evaluates the evidence that it receives and may write the next record.
/// The write is a compare-and-swap, so it takes effect only if the stored record is still the one that the
/// process knows. Each process waits for a time that grows with its rank before it writes, so that usually
/// only one does.
struct gateway_moves {
    move_limits limits;
    /// Moves by service, from the order until the order is removed.
    std::map<std::string, gateway_move> open;
    /// Stored records with their revisions, by service; also those whose order is not known yet.
    std::map<std::string, std::pair<move_record, std::uint64_t>> records;
    /// Whether all records of the store's present era have been read.
    bool are_records_read = true;
    evidence_table evidence;
    std::map<std::string, milliseconds> request_times;
    /// Number of processes that evaluate the evidence independently; it raises the threshold for a veto.
    std::size_t evaluator_count = 1;
    /// Rank among the writers. A process that has not yet received reports from others has the highest rank,
    /// so that they write first.
    std::size_t write_rank = k_max_write_rank;
};

/// The writes and log lines that result from a call of `run_moves`.
struct moves_output {
    std::vector<move_write> writes;
    std::vector<std::pair<std::string_view, std::vector<log_field>>> logs;
};

/// Applies a rollout order, which replaces an earlier order of its service, or the removal of an order. The
/// same order that is written again in a later era of the store continues its move.
void apply_rollout_order(gateway_moves& moves, const rollout_order& order, time_point now);
void remove_rollout_order(gateway_moves& moves, const std::string& service);

/// Applies the beginning of a full read in a new era of the store. What is known of the moves stays; records
/// that the store lacks, or holds in an older state, are written again once `are_records_read` is set.
void begin_moves_era(gateway_moves& moves);
/// Keeps the order of `service`, which the store's copy lacks, until it is written again or the timeout ends.
void keep_lost_order(gateway_moves& moves, const std::string& service, time_point now);
/// Drops the orders whose removal deadline has passed; returns the next deadline.
std::optional<time_point> expire_orders(gateway_moves& moves, time_point now);

/// Applies a record read from the store; older revisions than the known one are ignored.
void apply_move_record(gateway_moves& moves, const move_record& record, std::uint64_t revision);

/// Merges evidence and vetoes of the live processes.
void merge_evidence(gateway_moves& moves, const move_evidence& evidence);

/// Applies the end of a write. The store's watch delivers the record itself.
void apply_write_result(gateway_moves& moves, const move_write_result& written, time_point now);

/// Sets the ids of the ready targets of a service's new version.
void set_ready_targets(gateway_moves& moves, const std::string& service, std::vector<std::string> targets);

/// Evaluates the evidence and plans the next record of each move, adding what is due to `output`. Called
/// after each event, and no later than the time that it returns.
time_point run_moves(gateway_moves& moves, time_point now, wall_time wall, moves_output& output);

/// How new requests are split between versions at `now`, by service; services without a move are absent.
std::map<std::string, version_split> make_splits(const gateway_moves& moves, time_point now, wall_time wall);

} // namespace lovage
