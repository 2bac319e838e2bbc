#include "lovage/control/home_change.h"

#include "lovage/control/home_entry.h"
#include "lovage/core/rendezvous.h"

#include <algorithm>

namespace lovage {

namespace {

// Converts the epoch of the clock, which stands for "never", to nothing.
std::optional<time_point> time_if_known(time_point moment) {
    return moment == time_point{} ? std::nullopt : std::optional<time_point>(moment);
}

} // namespace

std::optional<time_point> home_changed_at(const fleet_view& view, const request_id& request,
                                          const std::string& region) {
    const member_info* home = home_entry(view, request, region);
    const std::uint64_t key = request.high ^ request.low;
    const std::uint64_t home_rank = home != nullptr ? rendezvous_rank(home->node, key) : 0;
    time_point changed = home != nullptr ? home->state_since : time_point{};
    for (const auto& member : view.members) {
        // Only an entry that ranks above the current home can have been the home before it.
        if (member.role == node_role::entry && member.region == region &&
            rendezvous_rank(member.node, key) > home_rank) {
            changed = std::max(changed, member.state_since);
        }
    }
    return time_if_known(changed);
}

const member_info* former_home(const fleet_view& view, const request_id& request, const std::string& region,
                               const node_id& self, std::optional<time_point> paused_until, time_point now) {
    const std::uint64_t key = request.high ^ request.low;
    const std::uint64_t own_rank = rendezvous_rank(self, key);
    const bool was_paused_recently = paused_until && now - *paused_until < k_former_home_retention;
    bool has_joined_recently = false;
    const member_info* best = nullptr;
    std::uint64_t best_rank = 0;
    for (const auto& member : view.members) {
        if (member.role != node_role::entry || member.region != region) {
            continue;
        }
        if (member.node == self) {
            has_joined_recently =
                time_if_known(member.state_since) && now - member.state_since < k_former_home_retention;
            continue;
        }
        const bool is_running = member.state == member_state::alive ||
                                member.state == member_state::suspect ||
                                member.state == member_state::leaving;
        const std::uint64_t rank = rendezvous_rank(member.node, key);
        if (is_running && (best == nullptr || rank > best_rank)) {
            best = &member;
            best_rank = rank;
        }
    }
    // If an alive or suspect entry ranked above `self`, `self` would not be the home; so an entry that ranks
    // above is leaving.
    return best != nullptr && (best_rank > own_rank || has_joined_recently || was_paused_recently) ? best
                                                                                                   : nullptr;
}

std::optional<time_point> home_lost_at(const fleet_view& view, const request_id& request,
                                       const std::string& region, const node_id& self,
                                       const std::map<node_id, time_point>& lost) {
    const std::uint64_t key = request.high ^ request.low;
    const std::uint64_t own_rank = rendezvous_rank(self, key);
    time_point lost_at{};
    for (const auto& member : view.members) {
        const auto found = lost.find(member.node);
        if (found != lost.end() && member.role == node_role::entry && member.region == region &&
            rendezvous_rank(member.node, key) > own_rank) {
            lost_at = std::max(lost_at, found->second);
        }
    }
    return time_if_known(lost_at);
}

std::optional<time_point> entry_failed_at(const fleet_view& view) {
    time_point failed{};
    for (const auto& member : view.members) {
        if (member.role == node_role::entry) {
            failed = std::max(failed, member.failed_at);
        }
    }
    return time_if_known(failed);
}

} // namespace lovage
