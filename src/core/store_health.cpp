#include "lovage/core/store_health.h"

#include <utility>

namespace lovage {

namespace {

// Heartbeat intervals from the last heartbeat before an outage, which may just have been due, to the expiry.
constexpr double k_shortest_expiry_heartbeats = 1.75;

} // namespace

milliseconds shortest_expiry_outage(milliseconds target_heartbeat) {
    return milliseconds(static_cast<std::int64_t>(k_shortest_expiry_heartbeats *
                                                  static_cast<double>(target_heartbeat.count())));
}

bool record_unanswered_call(store_health& health) {
    return !std::exchange(health.is_lost, true);
}

void record_refused_call(store_health& health, time_point now) {
    health.last_answer = now;
}

store_return record_answered_call(store_health& health, milliseconds shortest_outage, time_point now) {
    const auto before = std::exchange(health.last_answer, now);
    if (!std::exchange(health.is_lost, false)) {
        return store_return::none;
    }
    if (before && now - *before < shortest_outage) {
        return store_return::interruption;
    }
    health.recovered_at = now;
    return store_return::outage;
}

bool are_removals_final(const store_health& health, time_point now) {
    return !health.is_lost && (!health.recovered_at || now - *health.recovered_at > k_reregistration_timeout);
}

} // namespace lovage
