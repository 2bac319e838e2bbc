#include "lovage/control/home_entry.h"

#include "lovage/core/rendezvous.h"

namespace lovage {

const member_info* home_entry(const fleet_view& view, const request_id& request, const std::string& region) {
    return reachable_home_entry(view, request, region, [](const node_id&) { return true; });
}

const member_info* reachable_home_entry(const fleet_view& view, const request_id& request,
                                        const std::string& region,
                                        const std::function<bool(const node_id&)>& is_reachable) {
    const std::uint64_t key = request.high ^ request.low;
    const member_info* best = nullptr;
    std::uint64_t best_rank = 0;
    for (const auto& member : view.members) {
        const bool is_serving = member.state == member_state::alive || member.state == member_state::suspect;
        if (member.role != node_role::entry || member.region != region || !is_serving ||
            !is_reachable(member.node)) {
            continue;
        }
        const std::uint64_t rank = rendezvous_rank(member.node, key);
        if (best == nullptr || rank > best_rank) {
            best = &member;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace lovage
