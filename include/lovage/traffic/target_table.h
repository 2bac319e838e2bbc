#pragma once

#include "lovage/control/fleet_view.h"
#include "lovage/core/routing.h"
#include "lovage/traffic/plain_call.h"

#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lovage {

/// State of an entry's targets, from the fleet view, the connections and load reports. Thread-safe.
class target_table {
public:
    target_table(routing_policy policy, std::string zone, std::uint64_t seed);

    /// Applies the zone and the drain state of the agents in the view. Agents that are no longer in the view
    /// are dropped once they are disconnected and nothing is in flight there.
    void update_members(const fleet_view& view);
    /// Records a new connection, or its loss if `agent_incarnation` is 0. Both reset what the agent reported;
    /// a drain by operators ends with the incarnation that they drained.
    void set_connected(const node_id& node, incarnation agent_incarnation);
    void set_leaving(const node_id& node);
    /// Records that operators have drained the target, or the one that connects next under this name.
    void set_drained(const node_id& node);
    void set_report(const node_id& node, const load_report_message& report, time_point now);

    /// Chooses a target with `choose_target` and counts an attempt in flight there until `release`. Returns
    /// `nullopt` if no target is free.
    std::optional<node_id> acquire(const target_requirements& need, time_point now);
    /// Returns a connected agent of the plain service: of two random ones, the one that reported fewer
    /// running calls. `nullopt` if there is none.
    std::optional<call_target> choose_service(const std::string& service, const std::set<node_id>& excluded);
    /// Records the outcome of an attempt. Consecutive failures eject the target for a while. Returns whether
    /// this call ejected it.
    bool record_outcome(const node_id& node, bool succeeded, time_point now);
    /// Counts an attempt in flight that another entry has dispatched, until `release`.
    void add_in_flight(const node_id& node);
    void release(const node_id& node);
    /// Whether any connected target satisfies the need, regardless of exclusions.
    bool has_eligible(const target_requirements& need) const;

    std::vector<target_state> snapshot() const;

private:
    target_state& entry(const node_id& node);

    mutable std::mutex m_mutex;
    const routing_policy m_policy;
    const std::string m_zone;
    std::uint64_t m_sequence = 0;
    std::vector<target_state> m_targets;
    std::mt19937_64 m_random;
};

} // namespace lovage
