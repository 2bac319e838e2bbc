#pragma once

#include "lovage/core/admission_wait.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/error_kind.h"
#include "lovage/core/target_choice.h"
#include "lovage/core/version_split.h"
#include "lovage/traffic/gateway_traffic.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

struct caller_request;

/// What keeps a target from getting a request now.
enum class target_obstacle : std::uint8_t {
    none,
    /// It has failed lately; it gets the request only if no other target is left.
    backoff,
    paused,
    leaving,
    /// It runs the version of the other side of a move.
    other_version,
};
inline constexpr std::size_t k_target_obstacle_count = 5;
inline constexpr enum_names<k_target_obstacle_count> k_target_obstacle_names{"none", "backoff", "paused",
                                                                             "leaving", "other_version"};
static_assert(static_cast<std::size_t>(target_obstacle::other_version) + 1 == k_target_obstacle_count);

/// A registered target as the choice for one request sees it.
struct explained_target {
    target_record record;
    target_obstacle obstacle = target_obstacle::none;
    /// Time until the end of its pause or backoff; 0 if it has none.
    milliseconds left{0};
    /// Cost of placing the request there, and what it is computed from; unset for a target that cannot get
    /// it.
    std::optional<double> cost;
    target_candidate candidate;
};

/// Where a request would be sent now, and why.
struct route_explanation {
    /// Why it would be refused before its admission; nothing if it would not.
    std::optional<error_kind> refusal;
    std::string detail;
    std::string route;
    std::string service;
    std::string organisation;
    std::int64_t rank = 0;
    version_side side = version_side::usual;
    /// The engines that may have its prompt cached would be asked first, and one that has it chosen.
    bool is_prompt_searched = false;
    /// Its service may have targets that this process has not read yet.
    bool awaits_targets = false;
    admission_step step = admission_step::start;
    /// What the step was decided from.
    admission_request admission;
    /// Prefills in progress and the room for them; empty if they are not limited.
    std::string prefill_load;
    /// Registered targets of the service, the cheapest first, those that cannot get the request last.
    std::vector<explained_target> targets;
};

/// Explains what would happen to a request that arrived now. Nothing is sent, logged, counted or spent.
route_explanation explain_route(gateway_traffic& traffic, caller_request request);

} // namespace lovage
