#pragma once

#include "lovage/core/engine_memory.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/target_performance.h"
#include "lovage/core/target_record.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lovage {

/// What this process knows about a target's load and health.
struct target_usage {
    /// Requests of this process in flight at the target.
    std::uint32_t in_flight = 0;
    /// Those of them that have received no part of the response yet.
    std::uint32_t awaiting_first_event_count = 0;
    /// Standby copies of generations that this process placed at the target.
    std::uint32_t copies = 0;
    /// KV memory that these requests and copies need, in tokens.
    std::uint64_t memory_tokens = 0;
    /// Requests of other processes at the target, as of `reported_at`.
    std::uint32_t peer_requests = 0;
    time_point reported_at{};
    /// End of the backoff after a failure: new requests go elsewhere until then, unless no other target is
    /// left.
    time_point avoid_until{};
    std::uint32_t failures_in_row = 0;
    /// Whether a call was late by the target's own times and the target has answered none since.
    bool has_late_call = false;
};

/// A target that a request may be sent to.
struct target_candidate {
    const target_record* record = nullptr;
    target_usage usage;
    /// Its times relative to the usual ones; nothing where performance is not learned.
    std::optional<relative_times> times{};
    /// Number of concurrent requests above which its times rise; nothing if unknown.
    std::optional<std::uint32_t> concurrency_limit{};
};

/// Constraints and preferences for choosing the target of a request or of a standby copy.
struct placement {
    /// The zone of this process; targets there are preferred while they are not more loaded.
    std::string zone;
    /// Ids of the targets that failed or refused this request.
    std::vector<std::string> excluded;
    /// For a standby copy: the zone of the run that it protects.
    std::string avoided_zone;
    /// Zones where several targets have failed recently; others are preferred.
    std::vector<std::string> failing_zones;
    /// Ids of the targets that may have the request's prompt cached; preferred unless they are clearly more
    /// loaded.
    std::vector<std::string> preferred;
    /// The request needs the prefill of a prompt, which delays all other requests at the target.
    bool reads_prompt = false;
    /// Prefills at the service are limited, so a target that prefills another prompt is the last choice.
    bool limits_prefills = false;
    /// KV memory that the request or copy needs, and the capacity of an engine, in tokens; 0 if unknown.
    std::uint64_t memory_tokens = 0;
    std::uint64_t memory_capacity = 0;
    /// For a standby copy: the part of an engine's memory up to which it may be filled.
    double copy_fraction = k_copy_fraction;
    time_point now{};
};

/// Returns whether a candidate is neither excluded nor in its backoff.
bool is_usable(const target_candidate& candidate, const placement& placement);

/// Returns the cost of placing a new request at the candidate; smaller is better. 1 is the load of one
/// running request at a target with the usual times.
double placement_cost(const target_candidate& candidate, const placement& placement);

/// Returns the index of the cheapest candidate for a run, or nothing if none is left. Among candidates of
/// nearly the same cost the choice is random, so that processes with the same view do not all choose the same
/// target.
std::optional<std::size_t> choose_target_for_run(const std::vector<target_candidate>& candidates,
                                                 const placement& placement, std::mt19937_64& random);

/// Returns the index of the candidate for the standby copy of a generation that runs in
/// `placement.avoided_zone`; nothing if no other target is left that has memory for it.
std::optional<std::size_t> choose_target_for_copy(const std::vector<target_candidate>& candidates,
                                                  const placement& placement, std::mt19937_64& random);

/// Returns whether a candidate that is neither excluded nor in its backoff has memory for the request.
bool has_target_with_memory(const std::vector<target_candidate>& candidates, const placement& placement);

/// The kind of a target's failure, which determines how long the target is avoided.
enum class target_failure_kind : std::uint8_t {
    /// One request failed.
    request_failed,
    /// One request reached its stall timeout; other requests may still be served.
    silent,
    /// Connections are refused or time out.
    unreachable,
    /// Another target now has the address.
    replaced,
};
inline constexpr std::size_t k_target_failure_kind_count = 4;
inline constexpr enum_names<k_target_failure_kind_count> k_target_failure_kind_names{
    "request_failed", "silent", "unreachable", "replaced"};

/// Starts a backoff, during which new requests avoid the target; it grows exponentially with consecutive
/// failures.
void record_target_failure(target_usage& usage, target_failure_kind failure, time_point now);
/// Ends the backoff and resets the count of consecutive failures.
void record_target_success(target_usage& usage);

/// Applies a load report of a target: `reported_requests` run or wait there, this process's own included.
void record_target_load(target_usage& usage, std::uint32_t reported_requests, time_point now);

} // namespace lovage
