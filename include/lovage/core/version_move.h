#pragma once

#include "lovage/core/evidence.h"
#include "lovage/core/move_record.h"
#include "lovage/core/rollout_order.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lovage {

/// How many requests may be sent to a version that turns out to be bad: `bad_share` of all requests of its
/// service between the order and the deadline, plus `bad_fixed`.
struct move_limits {
    double bad_share = 0.1;
    double bad_fixed = 50.0;
};

/// Input of plan_version_move: what a process knows about the rollout of another version of a service's
/// targets.
///
/// The phases of `move_record` have these meanings here. `loading`: no target of the version is ready.
/// `canary`: a share of new requests goes to the version and is evaluated. `growing`: all new requests go to
/// the version, while the other targets are drained of earlier ones. `landed` and `reverted`: the outcome has
/// been reported to the operators, who stop the targets of the version that is no longer used.
struct version_move_input {
    const rollout_order* order = nullptr;
    move_limits limits;
    /// The record of this order in the store, if any.
    std::optional<move_record> record;
    /// Time since the order, and time until its deadline.
    milliseconds elapsed{0};
    milliseconds time_left{0};
    /// Ready targets of the version.
    std::uint32_t targets = 0;
    /// Requests of the version that have been evaluated, and requests per second of the whole service.
    std::uint64_t evaluated_requests = 0;
    double requests_per_s = 0.0;
    /// Mean duration of a complete request of the service.
    milliseconds request_time{0};
    /// Largest test statistic as a fraction of its threshold, between 0 and 1; see rollout.h.
    double defect_score = 0.0;
    /// Result of the function has_excess_defects: the version has more defects than the baseline so far,
    /// though too few for a veto.
    bool has_excess_defects = false;
    bool is_vetoed = false;
    std::string veto_reason;
    wall_time wall{};
};

/// Returns the id of the move that an order starts; unique over all orders of all services in one history of
/// the store.
std::string move_id(const rollout_order& order);

/// Returns whether a version has more defects, on any one route or in total, than the baseline (the usual
/// version) plus a tolerance for chance. The evidence of the baseline is stored under an empty version name.
bool has_excess_defects(const evidence_table& evidence, const std::string& service,
                        const std::string& version);

/// Returns the record that should replace the current one, or `nullopt` if it stays. The caller sets
/// `sequence`.
std::optional<move_record> plan_version_move(const version_move_input& input);

/// Returns the share of new requests that a process sends to the version, without waiting for the store: 0
/// once the version is vetoed, is reverted or has not landed by its deadline.
double effective_share(const std::optional<move_record>& record, bool is_vetoed, milliseconds time_left);

/// Returns how many of the version's `targets` serve the share, few enough that each of them gets more load
/// than it will have after the landing.
std::uint32_t count_canaries(double share, std::uint32_t targets);

} // namespace lovage
