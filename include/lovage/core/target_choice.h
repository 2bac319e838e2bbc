#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/target_record.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lovage {

/// What this process knows of a target's load and health from its own requests.
struct target_usage {
    /// Requests of this process at the target, and those of them that have sent nothing back yet.
    std::uint32_t in_flight = 0;
    std::uint32_t waiting_first = 0;
    /// Copies of generations that this process placed there.
    std::uint32_t copies = 0;
    /// Requests of other processes there, as of `reported_at`.
    std::uint32_t foreign = 0;
    time_point reported_at{};
    /// No new work goes there before this time, unless all others are worse.
    time_point avoid_until{};
    std::uint32_t failures_in_row = 0;
};

/// One target that could take a request.
struct target_candidate {
    const target_record* record = nullptr;
    target_usage usage;
};

/// How a request is placed.
struct placement {
    /// The zone of this process; the same zone is preferred while it is not more loaded.
    std::string zone;
    /// Targets that failed or refused this request.
    std::vector<std::string> excluded;
    /// Zones to avoid, for a copy: that of the run.
    std::string avoided_zone;
    /// Zones where several targets have failed just now; others are preferred.
    std::vector<std::string> troubled_zones;
    /// Targets that may keep the request's prompt; preferred unless they are clearly more loaded.
    std::vector<std::string> preferred;
    /// The request reads a long prompt, which delays all others at the target.
    bool has_prompt = false;
    time_point now{};
};

/// Expected load of a target for a new request; smaller is better. 1 is one running request.
double placement_cost(const target_candidate& candidate, const placement& want);

/// Index of the best candidate for a run, or nothing if none is left. Among candidates of nearly the same
/// cost the choice is random, so that processes with the same view do not choose the same target.
std::optional<std::size_t> choose_run(const std::vector<target_candidate>& candidates, const placement& want,
                                      std::mt19937_64& random);

/// Index of the candidate that should keep the copy of a generation which runs in `want.avoided_zone`;
/// nothing if no other target is left.
std::optional<std::size_t> choose_copy(const std::vector<target_candidate>& candidates, const placement& want,
                                       std::mt19937_64& random);

/// How sure a failure shows that a target is gone.
enum class target_trouble : std::uint8_t {
    /// One request went wrong.
    request_failed,
    /// One request has received nothing for too long; others may be fine.
    silent,
    /// Nothing listens there, or connections are not answered.
    unreachable,
    /// Another target has the address.
    replaced,
};
inline constexpr std::size_t k_target_trouble_count = 4;
inline constexpr enum_names<k_target_trouble_count> k_target_trouble_names{"request_failed", "silent",
                                                                           "unreachable", "replaced"};

/// Keeps new work away from the target for a while; longer after failures in a row.
void record_target_failure(target_usage& usage, target_trouble trouble, time_point now);
void record_target_success(target_usage& usage);

/// Takes a load report of a target: `busy` requests run or wait there, this process's own included.
void record_target_load(target_usage& usage, std::uint32_t busy, time_point now);

} // namespace lovage
