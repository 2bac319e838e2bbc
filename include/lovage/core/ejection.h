#pragma once

#include "lovage/core/time.h"

#include <cstdint>

namespace lovage {

/// Limits for ejecting slow or failing targets from routing.
struct ejection_limits {
    std::uint32_t consecutive_failures = 3;
    milliseconds base_duration{1'000};
    milliseconds max_duration{30'000};
    /// Most of a version's targets that may be ejected at a time, as a fraction, so that a failure with a
    /// common cause does not leave the version without targets.
    double max_share = 0.3;
};

/// The failure record of one target.
struct ejection_state {
    std::uint32_t consecutive_failures = 0;
    std::uint32_t times_ejected = 0;
    time_point ejected_until{};
};

bool is_ejected(const ejection_state& state, time_point now);

/// Resets the count of consecutive failures and shortens the target's next ejection.
void record_success(ejection_state& state);

/// Counts a failure or a slow first token. Ejects the target after enough consecutive failures, if the
/// `ejected_now` ejected ones of `total` targets leave room for another; returns whether it did.
bool record_failure(ejection_state& state, const ejection_limits& limits, std::uint32_t ejected_now,
                    std::uint32_t total, time_point now);

} // namespace lovage
