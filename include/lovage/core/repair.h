#pragma once

#include "lovage/core/fleet_config.h"
#include "lovage/core/messages.h"
#include "lovage/core/move_record.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace lovage {

/// Concurrent loads in the whole fleet. The weight store has a limited bandwidth, so more loads at the same
/// time would only slow each other down.
inline constexpr std::size_t k_max_concurrent_loads = 8;
/// An order that has had no effect after this time is dropped, so that it can be issued again.
inline constexpr milliseconds k_order_timeout{120'000};
/// Delay before a failed order is issued again.
inline constexpr milliseconds k_order_retry_delay{10'000};
/// Targets whose latest report is older are ignored in planning. Agents report four times a second.
inline constexpr milliseconds k_max_load_report_age{3'000};
/// A version that is no longer needed is unloaded only after this time, because generations that started on
/// it may run for minutes.
inline constexpr milliseconds k_unload_delay{600'000};

/// The latest report of a target. Targets whose agents are dead or leaving are not passed to the planner.
struct repair_target {
    node_id agent;
    load_report_message report;
};

/// An order that has been issued and not seen to take effect.
struct pending_order {
    order_message order;
    time_point expires{};
};

struct version_key {
    std::string model;
    std::string version;

    friend bool operator<(const version_key& a, const version_key& b) {
        return std::tie(a.model, a.version) < std::tie(b.model, b.version);
    }
};

/// State of restoring missing replicas of model versions.
struct repair_state {
    /// Pending orders by agent; at most one for each target.
    std::map<node_id, pending_order> pending;
    /// For each loaded version of a configured model that is no longer needed, since when.
    std::map<version_key, time_point> unneeded_since;
    std::uint64_t next_order = 1;
};

/// Returns how many targets have the version loaded and can take requests.
std::uint32_t count_loaded(const std::vector<repair_target>& targets, const std::string& model,
                           const std::string& version);

/// Returns how many targets must have each version loaded: the serving version of each model, and both
/// versions of a move that is neither landed nor reverted. The new version of a move is wanted on at least as
/// many targets as have the old one, because the move must not reduce the model's capacity.
std::map<version_key, std::uint32_t> wanted_replicas(const fleet_config& config,
                                                     const std::vector<move_record>& moves,
                                                     const std::vector<repair_target>& targets);

/// Returns the orders that are due, by agent, and records them as pending. Versions with the most requests in
/// flight per live replica are repaired first.
std::vector<std::pair<node_id, order_message>> plan_orders(repair_state& state, const fleet_config& config,
                                                           const std::vector<move_record>& moves,
                                                           const std::vector<repair_target>& targets,
                                                           fencing_number fencing, time_point now);

/// Records the result of an order. A failed order is issued again after k_order_retry_delay, possibly to
/// another target.
void record_order_result(repair_state& state, const node_id& agent, const order_result_message& result,
                         time_point now);

} // namespace lovage
