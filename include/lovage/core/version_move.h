#pragma once

#include "lovage/core/evidence.h"
#include "lovage/core/move_record.h"
#include "lovage/core/rollout_order.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lovage {

/// How many requests a version may get before it is known to be good: a share of all requests of its service
/// between the order and the deadline, and a fixed number.
struct move_limits {
    double bad_share = 0.1;
    double bad_fixed = 50.0;
};

/// What a process knows when it plans the move of a service's targets to another version.
///
/// The phases of `move_record` mean here: `loading`, no target of the version is ready; `canary`, a share of
/// new requests is judged; `growing`, all new requests go to the version while earlier ones end at the other
/// targets; `landed` and `reverted`, the operators have been told so and stop the targets of the other side.
struct version_move_input {
    const rollout_order* order = nullptr;
    move_limits limits;
    /// The record in the store; nothing if there is none of this order.
    std::optional<move_record> record;
    /// Time since the order, and until its deadline.
    milliseconds elapsed{0};
    milliseconds time_left{0};
    /// Ready targets of the version.
    std::uint32_t targets = 0;
    /// Requests of the version that were judged, and all requests of the service a second.
    std::uint64_t judged_requests = 0;
    double requests_per_s = 0.0;
    /// Mean time that a whole request of the service takes.
    milliseconds request_time{0};
    /// How near the judgement is to a defect, between 0 and 1.
    double suspicion = 0.0;
    /// The version has clearly more defects than the others so far, though too few to be sure.
    bool has_excess = false;
    bool is_vetoed = false;
    std::string veto_reason;
    wall_time wall{};
};

/// The name of an order, unique over all orders of all services.
std::string move_id(const rollout_order& order);

/// Whether a version has more defects on some route than chance explains, compared with the usual version,
/// whose evidence has no version's name.
bool has_excess(const evidence_table& evidence, const std::string& service, const std::string& version);

/// The record that should replace the present one; nothing if it stays. `sequence` is left to the caller.
std::optional<move_record> plan_version_move(const version_move_input& input);

/// Share of new requests that a process sends to the version now, whatever the store says later: none once
/// the version is vetoed or its deadline has passed before it landed.
double share_in_force(const std::optional<move_record>& record, bool is_vetoed, milliseconds time_left);

/// Number of the version's targets that take a share, so that each has more load than all will have later.
std::uint32_t count_canaries(double share, std::uint32_t targets);

} // namespace lovage
