#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/ids.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovage {

enum class service_kind : std::uint8_t { generation, plain };
inline constexpr std::size_t k_service_kind_count = 2;
inline constexpr enum_names<k_service_kind_count> k_service_kind_names{"generation", "plain"};

enum class move_strategy : std::uint8_t { canary, immediate };
inline constexpr std::size_t k_move_strategy_count = 2;
inline constexpr enum_names<k_move_strategy_count> k_move_strategy_names{"canary", "immediate"};

/// Service-level objective of a service.
struct objective {
    std::uint32_t first_token_ms = 940;
    std::uint32_t token_gap_ms = 55;
    /// The objective itself: the ratio of requests that must be answered exactly once, completely and in
    /// time, between 0 and 1.
    double honoured = 0.999;
};

/// Calls of a plain service that must not be retried once they may have run: method and path prefix.
struct non_repeatable_call {
    std::string method;
    std::string path_prefix;
};

/// The versions of a model that a service is compatible with. A move to another version is rejected, since it
/// would break the service.
struct version_requirement {
    std::string model;
    std::vector<std::string> versions;
};

struct service_config {
    std::string name;
    service_kind kind = service_kind::generation;
    std::string model;
    std::vector<std::string> depends_on;
    std::vector<non_repeatable_call> non_repeatable;
    std::vector<version_requirement> required_versions;
    lovage::objective objective;
};

/// A model and its configured capacity.
struct model_config {
    std::string name;
    /// The version that serves requests.
    std::string version;
    /// Number of targets that must have the version loaded.
    std::uint32_t replicas = 0;
};

/// A move: a rollout that replaces the serving version `from` of a model by `to`. A move that is not
/// complete by its deadline is rolled back.
struct move_config {
    std::string id;
    std::string model;
    std::string from;
    std::string to;
    move_strategy strategy = move_strategy::canary;
    wall_time deadline{};
};

struct organisation_config {
    std::string name;
    /// Weight in fair queueing, relative to other organisations.
    double share = 1.0;
    std::string organisation_class = "standard";
};

struct zone_config {
    std::string name;
    std::string region;
};

/// Settings of a target. A target that is not listed is usable too.
struct target_config {
    std::string name;
    /// Whether the target itself rejects orders with a fencing number below the highest it has seen.
    bool checks_orders = false;
};

/// Per-request and per-entry limits; an entry is a front-end process.
struct limits_config {
    std::uint32_t max_prompt_bytes = 262'144;
    std::uint32_t max_tokens = 8'192;
    std::uint32_t max_queued_per_entry = 2'000;
    /// Retries allowed as a fraction of requests.
    double retry_budget = 0.1;
};

/// The validated configuration of the fleet, parsed from the configuration text.
struct fleet_config {
    config_revision revision = 0;
    std::vector<zone_config> zones;
    std::vector<organisation_config> organisations;
    std::vector<model_config> models;
    std::vector<service_config> services;
    std::vector<target_config> targets;
    std::vector<move_config> moves;
    limits_config limits;
};

} // namespace lovage
