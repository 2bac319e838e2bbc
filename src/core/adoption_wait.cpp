#include "lovage/core/adoption_wait.h"

#include <algorithm>

namespace lovage {

std::optional<time_point> adoption_wait_end(const adoption_prospects& prospects, milliseconds wait,
                                            time_point now) {
    time_point end = now;
    if (prospects.home_lost_at) {
        end = *prospects.home_lost_at + k_offers_after_loss;
    } else if (prospects.holds_answer) {
        end = now + wait;
    }
    if (prospects.agent_joined_at) {
        end = std::max(end, *prospects.agent_joined_at + k_offers_after_connect);
    }
    return end > now ? std::optional<time_point>(end) : std::nullopt;
}

} // namespace lovage
