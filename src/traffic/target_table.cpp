#include "lovage/traffic/target_table.h"

#include <algorithm>
#include <utility>

namespace lovage {

target_table::target_table(routing_policy policy, std::string zone, std::uint64_t seed)
    : m_policy(policy), m_zone(std::move(zone)), m_random(seed) {}

target_state& target_table::entry(const node_id& node) {
    const auto found = std::find_if(m_targets.begin(), m_targets.end(),
                                    [&node](const target_state& target) { return target.node == node; });
    if (found != m_targets.end()) {
        return *found;
    }
    m_targets.emplace_back();
    m_targets.back().node = node;
    return m_targets.back();
}

void target_table::update_members(const fleet_view& view) {
    const auto find_member = [&view](const node_id& node) {
        return std::find_if(view.members.begin(), view.members.end(), [&node](const member_info& member) {
            return member.node == node && member.role == node_role::agent;
        });
    };
    const std::lock_guard lock(m_mutex);
    for (const auto& member : view.members) {
        if (member.role == node_role::agent) {
            target_state& target = entry(member.node);
            target.zone = member.zone;
            target.leaving =
                target.leaving || member.state == member_state::leaving || member.state == member_state::left;
        }
    }
    m_targets.erase(std::remove_if(m_targets.begin(), m_targets.end(),
                                   [&](const target_state& target) {
                                       return !target.connected && target.in_flight == 0 &&
                                              find_member(target.node) == view.members.end();
                                   }),
                    m_targets.end());
}

void target_table::set_connected(const node_id& node, incarnation agent_incarnation) {
    const std::lock_guard lock(m_mutex);
    target_state& target = entry(node);
    target.connected = agent_incarnation != 0;
    target.incarnation = agent_incarnation;
    if (target.connected && target.drained == incarnation{0}) {
        target.drained = agent_incarnation;
    }
    if (target.connected && target.drained != agent_incarnation) {
        target.drained.reset();
    }
    // A new connection means that the agent has restarted or a partition has ended, so what it reported is
    // void until its next report.
    target.leaving = target.drained.has_value();
    target.report = {};
}

void target_table::set_leaving(const node_id& node) {
    const std::lock_guard lock(m_mutex);
    entry(node).leaving = true;
}

void target_table::set_drained(const node_id& node) {
    const std::lock_guard lock(m_mutex);
    target_state& target = entry(node);
    target.leaving = true;
    target.drained = target.incarnation;
}

void target_table::set_report(const node_id& node, const load_report_message& report, time_point now) {
    const std::lock_guard lock(m_mutex);
    target_state& target = entry(node);
    target.report = report;
    target.reported_at = now;
    target.in_flight_at_report = target.in_flight;
}

std::optional<node_id> target_table::acquire(const target_requirements& need, time_point now) {
    const std::lock_guard lock(m_mutex);
    const auto chosen = choose_target(m_targets, need, {m_policy, m_zone, now, m_sequence++}, m_random);
    if (!chosen) {
        return std::nullopt;
    }
    ++m_targets[*chosen].in_flight;
    return m_targets[*chosen].node;
}

std::optional<call_target> target_table::choose_service(const std::string& service,
                                                        const std::set<node_id>& excluded) {
    const std::lock_guard lock(m_mutex);
    std::vector<const target_state*> candidates;
    for (const auto& target : m_targets) {
        const auto& services = target.report.services;
        const bool serves = std::find(services.begin(), services.end(), service) != services.end();
        if (serves && target.connected && !target.leaving && !target.report.draining &&
            target.report.engine_up && excluded.count(target.node) == 0) {
            candidates.push_back(&target);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    const target_state* first = candidates[pick(m_random)];
    const target_state* second = candidates[pick(m_random)];
    const target_state* chosen = second->report.running < first->report.running ? second : first;
    return call_target{chosen->node, chosen->incarnation};
}

bool target_table::record_outcome(const node_id& node, bool succeeded, time_point now) {
    const std::lock_guard lock(m_mutex);
    target_state& target = entry(node);
    if (succeeded) {
        record_success(target.ejection);
        return false;
    }
    std::uint32_t ejected = 0;
    std::uint32_t total = 0;
    for (const auto& other : m_targets) {
        total += other.connected ? 1U : 0U;
        ejected += other.connected && is_ejected(other.ejection, now) ? 1U : 0U;
    }
    return record_failure(target.ejection, ejection_limits{}, ejected, total, now);
}

void target_table::add_in_flight(const node_id& node) {
    const std::lock_guard lock(m_mutex);
    ++entry(node).in_flight;
}

void target_table::release(const node_id& node) {
    const std::lock_guard lock(m_mutex);
    target_state& target = entry(node);
    if (target.in_flight > 0) {
        --target.in_flight;
    }
}

bool target_table::has_eligible(const target_requirements& need) const {
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_targets.begin(), m_targets.end(),
                       [&need](const target_state& target) { return is_eligible(target, need); });
}

std::vector<target_state> target_table::snapshot() const {
    const std::lock_guard lock(m_mutex);
    return m_targets;
}

} // namespace lovage
