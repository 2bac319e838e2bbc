#include "lovage/core/ejection.h"

#include <algorithm>

namespace lovage {

namespace {

// 2^10 times the base exceeds any sensible maximum and cannot overflow.
constexpr std::uint32_t k_max_doublings = 10;

} // namespace

bool is_ejected(const ejection_state& state, time_point now) {
    return now < state.ejected_until;
}

void record_success(ejection_state& state) {
    state.consecutive_failures = 0;
    state.times_ejected = state.times_ejected > 0 ? state.times_ejected - 1 : 0;
}

bool record_failure(ejection_state& state, const ejection_limits& limits, std::uint32_t ejected_now,
                    std::uint32_t total, time_point now) {
    ++state.consecutive_failures;
    const double allowed = limits.max_share * static_cast<double>(total);
    if (state.consecutive_failures < limits.consecutive_failures || is_ejected(state, now) ||
        static_cast<double>(ejected_now + 1) > allowed) {
        return false;
    }
    const auto doublings = std::min(state.times_ejected, k_max_doublings);
    const auto duration = std::min(limits.base_duration * (1U << doublings), limits.max_duration);
    state.ejected_until = now + duration;
    ++state.times_ejected;
    state.consecutive_failures = 0;
    return true;
}

} // namespace lovage
